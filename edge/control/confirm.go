package control

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/placement"
)

const (
	// confirmMargin is added to the reporting delay before a placement is confirmed. Hosts with
	// little processor time handle reports late.
	confirmMargin = 10 * time.Millisecond
	// maxPlacements is the maximum number of placements of a request of which none is confirmed.
	maxPlacements = 4
)

// confirmationDue asks the control goroutine to confirm or give up a placement.
type confirmationDue struct {
	message  placementMessage
	decision decision
}

func (confirmationDue) isMessage() {}

// answer sends a decision to the request. A placement that may exceed the memory of its replica
// together with those that other hosts have not reported yet is sent once it is confirmed.
func (l *Loop) answer(now time.Duration, m placementMessage, d decision) {
	if !l.mustConfirm(m.request, d) {
		m.reply <- d
		return
	}
	l.scheduleReport(reportNow)
	time.AfterFunc(l.reportingDelay()+confirmMargin, func() {
		_ = l.post(l.ctx, confirmationDue{m, d}) // fails only when the loop has ended
	})
}

func (l *Loop) mustConfirm(req PlacementRequest, d decision) bool {
	if !l.config.ConfirmMemory || d.assignment.ID == 0 || len(l.peers) == 0 {
		return false
	}
	model, ok := l.models[req.Service.Name]
	return ok && req.Request.PromptTokens > 0 && model.MustConfirm(req.Request.PromptTokens+req.Request.OutputTokens)
}

// confirm sends a placement to the request, or places the request at another replica if the
// memory of this one does not suffice.
func (l *Loop) confirm(now time.Duration, c confirmationDue) {
	m, a := c.message, c.decision.assignment
	load := l.ledger.Loads(now)[placement.ShortID(a.Target.ID)]
	for _, tokens := range a.HelperReservations {
		load.Tokens -= tokens // the part of the prompt that its helpers hold
	}
	model, ok := l.models[m.request.Service.Name]
	if !ok || m.ctx.Err() != nil || model.FitsMemory(l.config.Placement, load) {
		m.reply <- c.decision
		return
	}
	klog.V(1).InfoS("placement not confirmed", "request_id", m.request.ID, "replica", a.Target.ID, "tokens", load.Tokens, "placements", m.placements+1)
	l.handleSendEnded(now, sendEnded{assignmentID: a.ID}) // without a target, no outcome is recorded
	l.scheduleReport(reportNow)
	m.request.Excluded = append(slices.Clone(m.request.Excluded), a.Target.ID)
	if m.placements++; m.placements == maxPlacements {
		m.reply <- decision{refusal: Refusal{Reason: RefusalReason(placement.RefusedNoPlace), RetryAfter: m.request.Request.Objective / 2}}
		return
	}
	m.request.isReplaced = true
	l.placeOrQueue(now, m)
}
