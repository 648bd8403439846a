package caller

import (
	"context"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/health"
	"siskinstand.example/edge/control"
	"siskinstand.example/edge/replica"
)

// destination is a replica to which a request is sent, and the connection to it, if that is open
// already.
type destination struct {
	assignment control.Assignment
	connection *replica.Connection
}

// giveUp releases a destination to which the request is not sent; nil for none.
func (q *request) giveUp(d *destination) {
	if d == nil {
		return
	}
	d.connection.Close()
	q.server.config.Loop.RecordSendEnd(d.assignment, control.SendResult{Outcome: health.Moved}, q.fingerprint)
}

// moveResult says how the offer to move a request ended.
type moveResult string

const (
	moveDone moveResult = "moved"
	// moveNotAllowed means that the request must not be sent again.
	moveNotAllowed moveResult = "not_allowed"
	// moveNoReplica means that no other replica takes the request, moveNoConnection that there is
	// no connection to that one.
	moveNoReplica    moveResult = "no_replica"
	moveNoConnection moveResult = "no_connection"
	// moveNotNeeded means that the replica has sent something or the send has ended.
	moveNotNeeded moveResult = "not_needed"
)

// move is the possibility that a request that is at a silent replica continues at another one.
// Silence does not show that a replica is dead, so the send ends only once another replica has
// accepted the request and a connection to it is open.
type move struct {
	q      *request
	ctx    context.Context
	from   control.Target
	cancel context.CancelFunc

	mu      sync.Mutex
	isOver  bool
	isBusy  bool
	pending *destination
}

// newMove returns the move of a request that is about to be sent. cancel ends that send.
func (q *request) newMove(ctx context.Context, a control.Assignment, cancel context.CancelFunc) *move {
	return &move{q: q, ctx: ctx, from: a.Target, cancel: cancel}
}

// offer moves the request if it can. It is called when the replica has not answered the opening of
// another connection and nothing has arrived from it since.
func (m *move) offer(isSilent func() bool) {
	r, ok := m.begin()
	if !ok {
		return
	}
	result, to := moveNotAllowed, ""
	if r != nil {
		result, to = m.run(*r, isSilent)
	}
	m.mu.Lock()
	m.isBusy = false
	m.mu.Unlock()
	m.q.server.metrics.scope.Tagged(map[string]string{"result": string(result)}).Counter("moves").Inc(1)
	klog.V(1).InfoS("replica is silent", "request_id", m.q.headers.AttemptID, "replica", m.from.ID, "result", result, "to", to)
}

// begin reports whether the move can begin now. The request for the other replica is nil if the
// request must not be sent again.
func (m *move) begin() (*control.PlacementRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isBusy || m.isOver || m.pending != nil {
		return nil, false
	}
	m.isBusy = true
	// The send uses these fields only after end.
	q := m.q
	if !q.route.Repeatable() || q.lacksEventID.Load() || q.sendCount+1 >= q.route.MaxAttempts || len(q.triedReplicas)+1 >= maxReplicasTried {
		return nil, true
	}
	r := q.placementRequest()
	r.Excluded, r.IsRetry = append(slices.Clip(r.Excluded), m.from.ID), true
	return &r, true
}

// run finds another replica, connects to it and ends the send.
func (m *move) run(r control.PlacementRequest, isSilent func() bool) (result moveResult, to string) {
	loop, pool := m.q.server.config.Loop, m.q.server.config.Pool
	assignment, refusal, err := loop.Place(m.ctx, r)
	if err != nil {
		return moveNotNeeded, ""
	}
	if refusal.Reason != "" {
		return moveNoReplica, ""
	}
	to = assignment.Target.ID
	if len(assignment.HelperReservations) > 0 {
		// The memory may turn out not to be free.
		loop.RecordSendEnd(assignment, control.SendResult{Outcome: health.Moved}, m.q.fingerprint)
		return moveNoReplica, to
	}
	connection, err := pool.Connect(m.ctx, replica.Request{Address: assignment.Target.Address, AttemptID: m.q.headers.AttemptID, Kind: m.q.route.Name, Connections: assignment.Connections})
	if err != nil {
		loop.RecordSendEnd(assignment, control.SendResult{Outcome: sendFailureOutcome(err), ConnectionErr: err}, m.q.fingerprint)
		return moveNoConnection, to
	}
	d := &destination{assignment, connection}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isOver || !isSilent() {
		m.q.giveUp(d)
		return moveNotNeeded, to
	}
	m.pending = d
	m.cancel()
	return moveDone, to
}

// end ends the move with the send and returns the destination to which the request moves, or nil.
func (m *move) end() *destination {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isOver = true
	return m.pending
}
