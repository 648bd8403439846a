package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Candidate is a replica that may get the request, with its load.
type Candidate struct {
	ID    string
	Slots int
	Load  Load
}

// Request is a prompt to place.
type Request struct {
	Service      string
	PromptTokens int
	OutputTokens int
	// Objective is the time to the first event that earns full credit, Left the
	// time until the caller's or the route's limit.
	Objective time.Duration
	TimeLeft  time.Duration
	// MaxGap is the longest pause between events that earns full credit.
	MaxGap time.Duration
	// HostCount is the number of processes that place requests.
	HostCount int
	// Hash spreads requests over replicas that are equally good.
	Hash uint64
	// Waited is the time for which the prompt has waited for replicas.
	Waited time.Duration
	// QueuedPrefill is the reading time of the prompts that wait before this one.
	QueuedPrefill time.Duration
	// OlderPromptQueued says that an older large prompt waits for replicas.
	OlderPromptQueued bool
}

// Helper reads a part of a prompt for another replica.
type Helper struct{ ID string }

// Plan says where a prompt runs.
type Plan struct {
	Service string
	Primary string
	Helpers []Helper
	// ReservedTokens is the memory in tokens that is reserved at some helpers, by id.
	ReservedTokens map[string]int
	// MaxGap is the longest pause between the stream's events.
	MaxGap time.Duration
	// PartPrefill is the reading time of each replica's part, FirstEvent the predicted
	// time to the first event.
	PartPrefill      time.Duration
	TimeToFirstEvent time.Duration
}

// Policy holds the constants of placement.
type Policy struct {
	// SlotFillShare is the share of a replica's slots that short prompts fill before the
	// next replica of the order writes for them. Reserve is the number of streams for
	// which each host keeps a slot open beyond those that run: the starts of the
	// other hosts that it has not heard of.
	SlotFillShare        float64
	ReservedSlotsPerHost float64
	// ShortTargetShare is the share of the objective within which a short prompt's first
	// event is soon enough.
	ShortTargetShare float64
	// ShortReplicaShare is the part of the replicas, the first of the order, that large
	// prompts leave to short ones even if these have no streams yet.
	ShortReplicaShare float64
	// LongPromptPrefill is the reading time from which a prompt is long and is read by
	// several replicas.
	LongPromptPrefill time.Duration
	// PassGapShare is the share of the shortest allowed pause that a pass with its
	// reading may take.
	PassGapShare float64
	// LargePromptPrefill is the reading time from which a prompt reads only at replicas
	// without other reading: a replica reads the newest part first, so that a
	// large part would hold up all earlier ones.
	LargePromptPrefill time.Duration
	// MinLargePart is the reading time below which parts of a large prompt are not
	// made smaller.
	MinLargePart time.Duration
	// MaxLargePart is the reading time above which parts of a large prompt are made
	// smaller, if need be by waiting for more replicas: a replica that reads for
	// long is missing from the next prompts.
	MaxLargePart time.Duration
	// DecoderWaitShare is the share of its objective for which a large prompt waits
	// for a replica that writes already.
	DecoderWaitShare float64
	// RelaxedGap is the pause from which a stream is loose: its replica may read
	// for others. Replicas of tighter streams read for others only if no other
	// replica is left.
	RelaxedGap time.Duration
	// MinPart is the reading time below which parts are not made smaller.
	MinPart time.Duration
	// MaxHelpers is the number of helpers that a replica accepts.
	MaxHelpers int
	// ShortLateFactor and LateLong are the multiples of the objective beyond which a
	// prompt is refused. A late answer earns a part of the credit; a short prompt
	// costs little, a long one takes the time of many.
	ShortLateFactor float64
	LongLateFactor  float64
	// MemoryShare is the part of a replica's memory that placement fills.
	MemoryShare float64
}

// DefaultPolicy returns the constants used in production.
func DefaultPolicy() Policy {
	return Policy{
		SlotFillShare: 0.88, ReservedSlotsPerHost: 0.3, ShortTargetShare: 0.7, ShortReplicaShare: 0.12, LongPromptPrefill: 100 * time.Millisecond, PassGapShare: 0.65, LargePromptPrefill: time.Second, MinLargePart: 150 * time.Millisecond, MaxLargePart: 900 * time.Millisecond, DecoderWaitShare: 0.1, RelaxedGap: 600 * time.Millisecond, MinPart: 15 * time.Millisecond,
		MaxHelpers:      16, // limit of the replicas' protocol
		ShortLateFactor: 5, LongLateFactor: 1.2, MemoryShare: 0.97,
	}
}

// Refusal says why no replica gets a prompt.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the time after which the prompt has a chance; 0 if it has none.
	RetryAfter          time.Duration
	PredictedFirstEvent time.Duration
	// CanWait says that the prompt can still be in time if it waits for a replica.
	CanWait bool
	// BlockedByOlderPrompt says that only an older prompt stands before it.
	BlockedByOlderPrompt bool
}

// RefusalReason is the cause of a refusal.
type RefusalReason string

// The causes of refusals.
const (
	RefusedNone     RefusalReason = ""
	RefusedNoPlace  RefusalReason = "no_place"
	RefusedTooLate  RefusalReason = "too_late"
	RefusedTooLarge RefusalReason = "too_large"
)

// Rank orders the replicas of a service in the same way at each process.
func Rank(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	// FNV leaves the high bits of similar names alike; this mixes them.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

type chooser struct {
	model   Model
	policy  Policy
	request Request
	whole   time.Duration
	// nodes are in the order in which they write for short prompts.
	nodes []Candidate
}

// Choose returns the plan for a prompt, or the reason why there is none.
func Choose(m Model, p Policy, nodes []Candidate, r Request) (Plan, Refusal) {
	c := chooser{model: m, policy: p, request: r, nodes: slices.Clone(nodes), whole: m.PartPrefill(r.PromptTokens, 1)}
	slices.SortFunc(c.nodes, func(a, b Candidate) int { return cmp.Compare(Rank(a.ID), Rank(b.ID)) })
	switch {
	case c.need() > c.memory():
		return c.chooseBeyond()
	case c.whole <= p.LongPromptPrefill:
		return c.chooseShort()
	case c.whole <= p.LargePromptPrefill:
		return c.chooseMiddle()
	}
	return c.chooseLarge()
}

func (c *chooser) memory() int {
	return int(float64(c.model.engine.MemoryTokens) * c.policy.MemoryShare)
}

func (c *chooser) need() int { return c.request.PromptTokens + c.request.OutputTokens }

func (c *chooser) hasRoom(n Candidate) bool {
	return n.Load.Streams < n.Slots && n.Load.Tokens+c.need() <= c.memory()
}

// chooseShort fills replicas in order, so that the others stay free to read
// long prompts. Among as many as the streams need it takes the better of two by
// the request's hash: hosts hear of each other's starts after milliseconds and
// would all fill the same one.
func (c *chooser) chooseShort() (Plan, Refusal) {
	open := c.open()
	if n, ok := c.betterOfTwo(open); ok {
		return c.plan(n, nil), Refusal{}
	}
	for _, loose := range []bool{false, true} {
		for _, n := range c.nodes {
			if c.fitsShort(n) && (loose || !c.loose(n)) {
				return c.plan(n, nil), Refusal{}
			}
		}
	}
	var best Plan
	for _, n := range c.nodes {
		if !c.hasRoom(n) {
			continue
		}
		if p := c.plan(n, nil); best.Primary == "" || p.TimeToFirstEvent < best.TimeToFirstEvent {
			best = p
		}
	}
	return c.judge(best, c.policy.ShortLateFactor)
}

func (c *chooser) fitsShort(n Candidate) bool {
	target := time.Duration(c.policy.ShortTargetShare * float64(c.request.Objective))
	return c.hasRoom(n) && c.first(n, 1) <= target
}

// open returns the replicas that short prompts may fill now: the first ones of
// the order whose slots take the streams there are and a reserve.
func (c *chooser) open() []Candidate {
	streams := 0
	for _, n := range c.nodes {
		if !c.loose(n) {
			streams += n.Load.Streams
		}
	}
	need := c.policy.ReservedSlotsPerHost*float64(max(1, c.request.HostCount)) + float64(streams)
	var open []Candidate
	for _, n := range c.nodes {
		if need <= 0 {
			break
		}
		if c.loose(n) {
			continue
		}
		need -= c.policy.SlotFillShare * float64(n.Slots)
		if c.fitsShort(n) {
			open = append(open, n)
		}
	}
	return open
}

func (c *chooser) betterOfTwo(nodes []Candidate) (Candidate, bool) {
	switch len(nodes) {
	case 0:
		return Candidate{}, false
	case 1:
		return nodes[0], true
	}
	n := uint64(len(nodes))
	i := c.request.Hash % n
	a, b := nodes[i], nodes[(i+1+(c.request.Hash>>32)%(n-1))%n]
	if b.Load.Streams*a.Slots < a.Load.Streams*b.Slots {
		a = b
	}
	return a, true
}

// loose reports whether a replica writes streams that bear long pauses only.
func (c *chooser) loose(n Candidate) bool {
	return n.Load.Streams > 0 && (n.Load.MaxGap == 0 || n.Load.MaxGap >= c.policy.RelaxedGap)
}

// budget is the reading that fits into a pass of a replica without a pause that
// is too long for its streams, or for one of the given gap.
func (c *chooser) budget(n Candidate, gap time.Duration, writers int) time.Duration {
	gap = tighter(n.Load.MaxGap, gap)
	if gap == 0 {
		return time.Hour
	}
	return time.Duration(c.policy.PassGapShare*float64(gap)) - c.model.PassTime(writers, n.Load.Tokens)
}

// chooseMiddle spreads the reading over several replicas, which read its small
// parts ahead of larger ones. Replicas that write already are taken first, so
// that the others read without pauses for anyone.
func (c *chooser) chooseMiddle() (Plan, Refusal) {
	helpers, last := c.helpers()
	order := slices.Clone(c.nodes)
	if c.request.MaxGap == 0 || c.request.MaxGap >= c.policy.RelaxedGap {
		slices.Reverse(order)
	}
	// A stable sort keeps the order among writers and among readers.
	slices.SortStableFunc(order, func(a, b Candidate) int { return cmp.Compare(min(b.Load.Streams, 1), min(a.Load.Streams, 1)) })
	var best Plan
	var bestCost time.Duration
	for _, n := range order {
		if !c.hasRoom(n) {
			continue
		}
		p := c.spread(n, helpers, last)
		part := c.model.PartPrefill(c.request.PromptTokens, len(p.Helpers)+1)
		over := max(0, part+n.Load.QueuedPrefill-c.budget(n, c.request.MaxGap, n.Load.Streams+1))
		if p.TimeToFirstEvent <= c.request.Objective && over == 0 {
			return p, Refusal{}
		}
		// A pass that is too long delays all streams of the replica.
		cost := p.TimeToFirstEvent + over*time.Duration(n.Load.Streams)
		if best.Primary == "" || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return c.judge(best, c.policy.LongLateFactor)
}

// helpers returns the replicas that read for others, the least loaded first, and
// those that do so only if the first ones do not suffice.
func (c *chooser) helpers() (free, last []Candidate) {
	for _, n := range slices.Backward(c.nodes) {
		switch {
		case n.Load.HelpedPrompts >= n.Slots-1:
		case n.Load.Streams == 0 || c.loose(n):
			free = append(free, n)
		default:
			last = append(last, n)
		}
	}
	byWork := func(a, b Candidate) int { return cmp.Compare(a.Load.QueuedPrefill, b.Load.QueuedPrefill) }
	slices.SortStableFunc(free, byWork)
	slices.SortStableFunc(last, byWork)
	return free, last
}

// spread returns the plan whose parts end first.
func (c *chooser) spread(first Candidate, free, last []Candidate) Plan {
	best := c.plan(first, nil)
	var helpers []Candidate
	consider := func(n Candidate) {
		part := c.model.PartPrefill(c.request.PromptTokens, len(helpers)+2)
		if n.ID == first.ID || len(helpers) == c.policy.MaxHelpers || part < c.policy.MinPart ||
			part+n.Load.QueuedPrefill > c.budget(n, 0, n.Load.Streams) {
			return
		}
		helpers = append(helpers, n)
		if p := c.plan(first, helpers); p.TimeToFirstEvent < best.TimeToFirstEvent {
			best = p
		}
	}
	for _, n := range free {
		consider(n)
	}
	if best.TimeToFirstEvent <= c.request.Objective {
		return best
	}
	for _, n := range last {
		consider(n)
	}
	return best
}

// first returns the time to the first event of a replica that reads one of
// several parts.
func (c *chooser) first(n Candidate, parts int) time.Duration {
	return c.model.TimeToFirstEvent(c.model.PartPrefill(c.request.PromptTokens, parts), n.Load.QueuedPrefill, n.Load.Streams, n.Load.Tokens+c.request.PromptTokens)
}

func (c *chooser) plan(first Candidate, helpers []Candidate) Plan {
	p := Plan{Service: c.request.Service, Primary: first.ID, MaxGap: c.request.MaxGap}
	part := c.model.PartPrefill(c.request.PromptTokens, len(helpers)+1)
	pass := c.model.PassTime(first.Load.Streams+1, first.Load.Tokens+c.request.PromptTokens)
	p.TimeToFirstEvent = c.first(first, len(helpers)+1)
	p.PartPrefill = part
	for _, h := range helpers {
		// A replica reads the newest part for another first.
		read := part
		if h.Load.Streams > 0 {
			read += c.model.PassTime(h.Load.Streams, h.Load.Tokens) / 2
		}
		p.Helpers = append(p.Helpers, Helper{ID: h.ID})
		p.TimeToFirstEvent = max(p.TimeToFirstEvent, read+pass)
	}
	return p
}

// judge refuses a plan that comes too late.
func (c *chooser) judge(best Plan, late float64) (Plan, Refusal) {
	if best.Primary == "" {
		return Plan{}, Refusal{Reason: RefusedNoPlace, RetryAfter: c.request.Objective / 2}
	}
	limit := min(time.Duration(late*float64(c.request.Objective)), c.request.TimeLeft)
	if best.TimeToFirstEvent > limit {
		return Plan{}, Refusal{Reason: RefusedTooLate, RetryAfter: best.TimeToFirstEvent - limit/2, PredictedFirstEvent: best.TimeToFirstEvent}
	}
	return best, Refusal{}
}
