// Package bytebudget divides a process's memory for callers' bytes: request bodies, buffered
// responses and header buffers. When it is exhausted, it decides by progress and age which
// caller gives way. It reads no clock; times are readings of the boot clock.
package bytebudget

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what a claim holds bytes for.
type Kind int

// The kinds of claims.
const (
	KindHeader Kind = iota
	KindBody
	KindResponse
	KindCount
)

func (k Kind) String() string { return [KindCount]string{"header", "body", "response"}[k] }

// Phase is what the bytes of a claim wait for. It decides whether the claim can give way.
type Phase int

const (
	// PhaseArriving claims wait for bytes of the caller. They give way if they have stalled, and
	// large ones also to older claims and to small ones.
	PhaseArriving Phase = iota
	// PhaseInUse claims are needed by a request that runs. They never give way.
	PhaseInUse
	// PhaseDelivering claims wait for the caller to read. They give way only if they have stalled.
	PhaseDelivering
)

// Config holds the limits of a Budget.
type Config struct {
	// Limit is the number of bytes that all claims may hold. Small claims may hold Reserve bytes
	// more, whatever the large ones hold.
	Limit, Reserve int64
	// SmallBytes is the size up to which a claim is small.
	SmallBytes int64
	// Share is the share of Limit that the large claims of one source, or of one client account,
	// may hold.
	Share float64
	// BodyShare is the share of Limit that all bodies may hold, so that the responses to requests
	// that have run find memory.
	BodyShare float64
	// MaxClaimBytes is the size of the largest claim, which all shares allow.
	MaxClaimBytes int64
	// A claim has stalled if it made less progress than ProgressBytes for StallTime.
	StallTime     time.Duration
	ProgressBytes int64
	// QuietTime is the time without a byte after which a claim gives way to a new connection.
	QuietTime time.Duration
	// MaxClaims is the maximum number of claims.
	MaxClaims int
}

// Claim is the part of a budget that one header, body or response holds. Its fields are only
// changed by the budget.
type Claim struct {
	Kind            Kind
	Source, Account string
	held            int64
	phase           Phase
	openedAt        time.Duration
	// progressAt is the time of the last progress of ProgressBytes, and progress the bytes since.
	progressAt time.Duration
	progress   int64
	// byteAt is the time of the last byte.
	byteAt time.Duration
	// isWaiting is set while the claim waits for the budget and not for its caller.
	isWaiting bool
	isEvicted bool
	isOpen    bool
}

// Held returns the bytes that the claim holds.
func (c *Claim) Held() int64 { return c.held }

// IsEvicted reports whether the claim must be closed because it gave way.
func (c *Claim) IsEvicted() bool { return c.isEvicted }

// Budget is the state of all claims of a process. It is not safe for concurrent use.
type Budget struct {
	config Config
	claims map[*Claim]struct{}
	// large and small are the bytes of the claims above and up to SmallBytes.
	large, small int64
	byKind       [KindCount]int64
	// sources and accounts hold the bytes of the large claims of each.
	sources, accounts map[string]int64
	// noVictimUntil is the time before which no claim can have stalled that has not been evicted.
	noVictimUntil time.Duration
}

// New returns a budget without claims.
func New(c Config) *Budget {
	return &Budget{config: c, claims: map[*Claim]struct{}{}, sources: map[string]int64{}, accounts: map[string]int64{}}
}

// Held returns the bytes that all claims of a kind hold.
func (b *Budget) Held(k Kind) int64 { return b.byKind[k] }

// Total returns the bytes that all claims hold.
func (b *Budget) Total() int64 { return b.large + b.small }

// Open adds a claim that holds nothing. It returns nil if there are too many.
func (b *Budget) Open(now time.Duration, kind Kind, source, account string) *Claim {
	if len(b.claims) >= b.config.MaxClaims {
		return nil
	}
	c := &Claim{Kind: kind, Source: source, Account: account, openedAt: now, progressAt: now, byteAt: now, isOpen: true}
	b.claims[c] = struct{}{}
	return c
}

// Decision is the result of Grow. Victims must be cut off; they have been evicted and still hold
// their bytes until they are closed.
type Decision struct {
	Granted bool
	Victims []*Claim
}

// Grow asks for n further bytes. If they are not granted, the claim keeps what it holds and may
// ask again when others have returned bytes.
func (b *Budget) Grow(now time.Duration, c *Claim, n int64) Decision {
	if c.isEvicted || !c.isOpen {
		return Decision{}
	}
	if b.fits(c, n) {
		if c.isWaiting {
			c.isWaiting, c.progressAt, c.byteAt = false, now, now
		}
		b.add(c, n)
		return Decision{Granted: true}
	}
	if c.isWaiting = true; now < b.noVictimUntil && c.held+n > b.config.SmallBytes && !b.isOldestArriving(c) {
		return Decision{}
	}
	return Decision{Victims: b.evictFor(now, c, n)}
}

// fits reports whether n further bytes for a claim are within all limits.
func (b *Budget) fits(c *Claim, n int64) bool {
	total := b.large + b.small + n
	if c.held+n <= b.config.SmallBytes {
		return b.small+n <= b.config.Reserve || total <= b.config.Limit+b.config.Reserve
	}
	return total <= b.config.Limit && b.excessOf(c, n).none()
}

// excess is by how much bytes exceed the shares that apply to a claim.
type excess struct{ bodies, source, account int64 }

func (e excess) none() bool { return e.bodies <= 0 && e.source <= 0 && e.account <= 0 }

// excessOf returns the excess with n further bytes for a claim that will be large.
func (b *Budget) excessOf(c *Claim, n int64) excess {
	e := excess{source: b.overShare(b.sources, c.Source, b.largeGrowth(c, n)), account: b.overShare(b.accounts, c.Account, b.largeGrowth(c, n))}
	if c.Kind == KindBody {
		e.bodies = b.byKind[KindBody] + n - b.shareOf(b.config.BodyShare)
	}
	return e
}

// largeGrowth returns by how much the bytes of large claims grow with n further bytes for c.
func (b *Budget) largeGrowth(c *Claim, n int64) int64 {
	if c.held > b.config.SmallBytes {
		return n
	}
	return c.held + n
}

// overShare returns by how much n further bytes exceed the share of a source or an account. An
// unknown one, the empty name, has no share.
func (b *Budget) overShare(held map[string]int64, name string, n int64) int64 {
	if name == "" {
		return 0
	}
	return held[name] + n - b.shareOf(b.config.Share)
}

func (b *Budget) shareOf(share float64) int64 {
	return max(int64(share*float64(b.config.Limit)), b.config.MaxClaimBytes)
}

func (b *Budget) isOldestArriving(c *Claim) bool {
	for other := range b.claims {
		if other != c && other.phase == PhaseArriving && !other.isEvicted && b.isLarge(other) && other.openedAt < c.openedAt {
			return false
		}
	}
	return true
}

func (b *Budget) isLarge(c *Claim) bool { return c.held > b.config.SmallBytes }

// evictFor evicts claims until n further bytes for c will fit: stalled ones first, by bytes and
// time, and then large arriving ones that are younger than c, the youngest first. Small claims and
// responses take from large arriving ones of any age.
func (b *Budget) evictFor(now time.Duration, c *Claim, n int64) []*Claim {
	isSmall := c.held+n <= b.config.SmallBytes
	need, over := b.large+b.small+n-b.config.Limit, excess{}
	if isSmall {
		need -= b.config.Reserve
	} else {
		over = b.excessOf(c, n)
	}
	// returned counts the bytes of a victim, once evicted, as returned. It reports whether they
	// are of use.
	returned := func(v *Claim) bool {
		sameSource, sameAccount, isBody := b.isLarge(v) && v.Source == c.Source, b.isLarge(v) && v.Account == c.Account, v.Kind == KindBody
		isUseful := need > 0 || over.source > 0 && sameSource || over.account > 0 && sameAccount || over.bodies > 0 && isBody
		if !isUseful {
			return false
		}
		need -= v.held
		if sameSource {
			over.source -= v.held
		}
		if sameAccount {
			over.account -= v.held
		}
		if isBody {
			over.bodies -= v.held
		}
		return true
	}
	for v := range b.claims {
		if v.isEvicted {
			returned(v)
		}
	}
	var victims []*Claim
	for _, v := range b.candidates(now, c, isSmall || c.Kind == KindResponse) {
		if returned(v) {
			v.isEvicted = true
			victims = append(victims, v)
		} else if b.hasStalled(now, v) {
			b.noVictimUntil = now // for the next request
		}
	}
	return victims
}

// candidates returns the claims that can give way to c, in order. If takesAny is set, large
// arriving ones of any age can.
func (b *Budget) candidates(now time.Duration, c *Claim, takesAny bool) []*Claim {
	var stalled, younger []*Claim
	next := now + b.config.StallTime
	for v := range b.claims {
		switch {
		case v == c || v.isEvicted || v.phase == PhaseInUse || v.held == 0:
		case b.hasStalled(now, v):
			stalled = append(stalled, v)
		default:
			if !v.isWaiting {
				next = min(next, v.progressAt+b.config.StallTime)
			}
			if v.phase == PhaseArriving && b.isLarge(v) && (takesAny || v.openedAt > c.openedAt) {
				younger = append(younger, v)
			}
		}
	}
	b.noVictimUntil = next
	weight := func(v *Claim) float64 { return float64(v.held) * (now - v.progressAt).Seconds() }
	slices.SortFunc(stalled, func(x, y *Claim) int { return cmp.Compare(weight(y), weight(x)) })
	slices.SortFunc(younger, func(x, y *Claim) int { return cmp.Compare(y.openedAt, x.openedAt) })
	return append(stalled, younger...)
}

func (b *Budget) hasStalled(now time.Duration, c *Claim) bool {
	return c.phase != PhaseInUse && !c.isWaiting && now-c.progressAt >= b.config.StallTime
}

// EvictStalled evicts the claim without any byte for the longest time, for a new connection beyond
// the maximum. Connections are scarcer than bytes: a crowd that reconnects takes each free one at
// once, so a claim gives way here after QuietTime. It returns nil if there is none.
func (b *Budget) EvictStalled(now time.Duration) *Claim {
	var longest *Claim
	for c := range b.claims {
		if c.isEvicted || c.isWaiting || c.phase == PhaseInUse {
			continue
		}
		isQuiet := now-c.byteAt >= b.config.QuietTime || b.hasStalled(now, c)
		if isQuiet && (longest == nil || c.byteAt < longest.byteAt) {
			longest = c
		}
	}
	if longest != nil {
		longest.isEvicted = true
	}
	return longest
}

// Progress records that n bytes came from the caller, or were read by it.
func (b *Budget) Progress(now time.Duration, c *Claim, n int64) {
	if n > 0 {
		c.byteAt = now
	}
	if c.progress += n; c.progress >= b.config.ProgressBytes {
		c.progress, c.progressAt = 0, now
	}
}

// SetPhase sets what the claim waits for, which counts as progress.
func (b *Budget) SetPhase(now time.Duration, c *Claim, p Phase) {
	c.phase, c.progressAt, c.byteAt, c.progress, c.isWaiting = p, now, now, 0, false
}

// Revive takes back the eviction of a claim whose caller made progress before it was cut off.
func (b *Budget) Revive(c *Claim) { c.isEvicted = false }

// Shrink returns n bytes of a claim.
func (b *Budget) Shrink(c *Claim, n int64) { b.add(c, -min(n, c.held)) }

// Close returns all bytes of a claim and removes it. Closing it again has no effect.
func (b *Budget) Close(c *Claim) {
	if !c.isOpen {
		return
	}
	b.add(c, -c.held)
	c.isOpen = false
	delete(b.claims, c)
}

// add changes the bytes of a claim in all totals.
func (b *Budget) add(c *Claim, n int64) {
	wasLarge, before := b.isLarge(c), c.held
	c.held += n
	b.byKind[c.Kind] += n
	var large int64
	if wasLarge {
		large -= before
	} else {
		b.small -= before
	}
	if b.isLarge(c) {
		large += c.held
	} else {
		b.small += c.held
	}
	b.large += large
	addTo(b.sources, c.Source, large)
	addTo(b.accounts, c.Account, large)
}

func addTo(held map[string]int64, name string, n int64) {
	if n == 0 || name == "" {
		return
	}
	if held[name] += n; held[name] == 0 {
		delete(held, name)
	}
}
