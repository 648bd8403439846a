package control

import (
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/fairshare"
	"siskinstand.example/coord/placement"
	"siskinstand.example/edge/peer"
)

const (
	// contentionEnd is the time without a wait or refusal after which the requests to a service
	// no longer compete.
	contentionEnd = time.Second
	// lastSlotsShare is the share of a service's slots that accounts over their share leave to
	// others while these have waiting requests. In the simulation of coord/fairshare, an account
	// that sends ten times what others send gets 1.1 to 1.4 times an equal share with it.
	lastSlotsShare = 0.1
	// accountGaugeInterval is the shortest time between two updates of the gauges.
	accountGaugeInterval = time.Second
)

// RefusedAccountShare means that the account of the request has used more than its share of the
// replicas, of which few slots are free, and that requests of other accounts wait.
const RefusedAccountShare RefusalReason = "account_share"

// charge is what a running request has been charged to its account.
type charge struct {
	account string
	class   fairshare.Class
	cost    time.Duration
	prefill time.Duration
	slots   int
	sentAt  time.Duration
}

// contention is a period in which the requests to a service compete for replicas.
type contention struct{ startedAt, lastAt time.Duration }

// accounts divides replica time between client accounts. Without the setting fair_shares it is
// nil, and its methods do nothing.
type accounts struct {
	*fairshare.Table
	// charges holds the running requests by assignment ID.
	charges map[uint64]charge
	// contentions holds the services whose requests compete.
	contentions map[string]*contention
	gaugesAt    time.Duration
}

func newAccounts() *accounts {
	return &accounts{Table: fairshare.New(fairshare.DefaultConfig()), charges: map[uint64]charge{}, contentions: map[string]*contention{}}
}

// Type returns the type of the section of load reports.
func (*accounts) Type() peer.SectionType { return peer.SectionAccountUsage }

// share returns the part of all used replica time that an account has used.
func (a *accounts) share(now time.Duration, account string) float64 {
	if a == nil {
		return 0
	}
	return a.Share(now, account)
}

// requestCost returns the class of a prompt and the replica time that it is expected to take:
// that of the prefill and, since a replica decodes its streams together, one slot's part of the
// time for the mean answer.
func (l *Loop) requestCost(req PlacementRequest) (class fairshare.Class, prefill, decode time.Duration) {
	model, ok := l.models[req.Service.Name]
	if !ok || req.Request.PromptTokens <= 0 {
		return fairshare.Short, 0, 0
	}
	prefill = model.PartPrefill(req.Request.PromptTokens, 1)
	switch {
	case prefill > l.config.Placement.LargePromptPrefill:
		class = fairshare.Long
	case prefill > l.config.Placement.LongPromptPrefill:
		class = fairshare.Medium
	}
	e := req.Service.Engine
	output := req.Request.OutputTokens
	if e.MeanAnswerTokens > 0 {
		output = min(output, e.MeanAnswerTokens)
	}
	if e.StepsPerPass > 0 && e.Slots > 0 {
		decode = model.PassTime(e.Slots, 0) / time.Duration(e.StepsPerPass) * time.Duration(output) / time.Duration(e.Slots)
	}
	return class, prefill, decode
}

// chargeAccount charges the predicted cost of a placed prompt to its account. Calls to plain
// services use other replicas than prompts, and are not charged.
func (l *Loop) chargeAccount(now time.Duration, assignmentID uint64, req PlacementRequest) {
	class, prefill, decode := l.requestCost(req)
	if l.accounts == nil || prefill <= 0 {
		return
	}
	l.accounts.Charge(now, req.Account, class, prefill+decode)
	l.accounts.charges[assignmentID] = charge{account: req.Account, class: class, cost: prefill + decode, prefill: prefill, slots: max(1, req.Service.Engine.Slots), sentAt: now}
}

// correctCharge replaces the predicted cost of a request that has ended by the observed one.
func (l *Loop) correctCharge(now time.Duration, m sendEnded) {
	if l.accounts == nil {
		return
	}
	c, ok := l.accounts.charges[m.assignmentID]
	if !ok {
		return
	}
	delete(l.accounts.charges, m.assignmentID)
	took := now - c.sentAt
	observed := c.prefill + max(0, took-c.prefill)/time.Duration(c.slots)
	if !m.result.Began {
		// The replica may have run a part of the prefill.
		observed = min(observed, took)
	}
	l.accounts.Correct(now, c.account, c.class, observed-c.cost)
}

// leavesLastSlots reports whether a request leaves the last free slots to the requests of other
// accounts that wait, because its account is over its share.
func (l *Loop) leavesLastSlots(now time.Duration, req PlacementRequest, candidates []placement.Candidate) bool {
	if l.accounts == nil {
		return false
	}
	if _, prefill, _ := l.requestCost(req); prefill <= 0 {
		return false
	}
	slots, free := 0, 0
	for _, c := range candidates {
		slots += c.Slots
		free += max(0, c.Slots-c.Load.Streams)
	}
	return float64(free) <= max(1, lastSlotsShare*float64(slots)) && l.accounts.OverShare(now, req.Account)
}

// shareRefusal refuses a request of an account that is over its share. Large prompts can wait,
// and short ones with WaitForSlots.
func (l *Loop) shareRefusal(req PlacementRequest, replicaCount int) decision {
	class, _, _ := l.requestCost(req)
	return decision{refusal: Refusal{Reason: RefusedAccountShare, RetryAfter: req.Request.Objective / 2, ReplicaCount: replicaCount, mayQueue: class == fairshare.Long, waitsForSlot: class == fairshare.Short && l.config.Placement.WaitForSlots}}
}

// recordContention records that a request has to wait or is refused because replicas are busy,
// and adds the share of its account to the refusal.
func (l *Loop) recordContention(now time.Duration, req PlacementRequest, r *Refusal) {
	if l.accounts == nil {
		return
	}
	r.AccountShare = l.accounts.Share(now, req.Account)
	class, prefill, _ := l.requestCost(req)
	switch r.Reason {
	case RefusalReason(placement.RefusedNoPlace), RefusalReason(placement.RefusedTooLate), RefusedAccountShare:
	default:
		return
	}
	if prefill <= 0 {
		return
	}
	if l.accounts.RecordWait(now, req.Account, class) {
		l.scheduleReport(reportSoon)
	}
	c := l.accounts.contentions[req.Service.Name]
	if c == nil {
		c = &contention{startedAt: now}
		l.accounts.contentions[req.Service.Name] = c
		s := l.accounts.Summary(now)
		klog.InfoS("requests compete for replicas", "service", req.Service.Name, "accounts", s.Accounts, "waiting_accounts", s.Waiting, "largest_share", s.LargestShare)
	}
	c.lastAt = now
}

// endContention ends the contention of services without recent waits and refusals, and updates
// the gauges.
func (l *Loop) endContention(now time.Duration) {
	if l.accounts == nil || now-l.accounts.gaugesAt < accountGaugeInterval {
		return
	}
	l.accounts.gaugesAt = now
	s := l.accounts.Summary(now)
	for service, c := range l.accounts.contentions {
		if now-c.lastAt >= contentionEnd {
			delete(l.accounts.contentions, service)
			klog.InfoS("requests no longer compete for replicas", "service", service, "lasted_ms", (c.lastAt - c.startedAt).Milliseconds(), "accounts", s.Accounts, "largest_share", s.LargestShare)
		}
	}
	if l.config.Scope == nil {
		return
	}
	competing := 0
	if s.Waiting > 0 || len(l.accounts.contentions) > 0 {
		competing = s.Accounts
	}
	l.config.Scope.Gauge("competing_accounts").Update(float64(competing))
	l.config.Scope.Gauge("largest_account_share").Update(s.LargestShare)
}

// fairOrder returns queued requests in the order in which to place them. The result is valid
// until the queue changes.
func (l *Loop) fairOrder(now time.Duration, queue []placementMessage) []placementMessage {
	if l.accounts == nil || len(queue) < 2 {
		return queue
	}
	waiting := make([]fairshare.Waiting, len(queue))
	for i, m := range queue {
		class, prefill, decode := l.requestCost(m.request)
		waiting[i] = fairshare.Waiting{Account: m.request.Account, Class: class, Since: m.receivedAt, Cost: prefill + decode}
	}
	ordered := make([]placementMessage, len(queue))
	for i, j := range l.accounts.Order(now, waiting) {
		ordered[i] = queue[j]
	}
	return ordered
}
