package group

import (
	"time"

	"siskinstand.example/coord/verdict"
)

// Member is one endpoint of a group.
type Member struct {
	Endpoint string
	Address  string
	HoldID   string
	// Account is the client account for which the memory is held.
	Account string
	Tokens  int64
}

// Leader schedules the renewals of the holds of a group's members and detects
// lost members.
type Leader struct {
	members []memberState
	started bool
	ended   bool
}

type memberState struct {
	Member
	renewedAt   time.Time
	requestedAt time.Time
}

// NewLeader returns a leader whose members' holds were last renewed at now.
func NewLeader(now time.Time, members []Member) *Leader {
	l := &Leader{}
	for _, m := range members {
		l.members = append(l.members, memberState{Member: m, renewedAt: now, requestedAt: now})
	}
	return l
}

// MarkStarted records that the prompt was dispatched. If a member is lost
// afterwards, the prompt may have run.
func (l *Leader) MarkStarted() { l.started = true }

// DueRenewals returns the members whose holds must be renewed now. It records the
// requests, so it returns a member again only after RenewInterval.
func (l *Leader) DueRenewals(now time.Time) []Member {
	if l.ended {
		return nil
	}
	var due []Member
	for i := range l.members {
		m := &l.members[i]
		if now.Sub(m.requestedAt) >= RenewInterval {
			m.requestedAt = now
			due = append(due, m.Member)
		}
	}
	return due
}

// RecordRenewal records the response to a renewal that was requested at the
// given time. held is false if the member refuses, because it has lost the hold;
// RecordRenewal then ends the renewals and returns an error, or nil if they had
// already ended. A member that does not respond is lost once its hold must have
// expired.
func (l *Leader) RecordRenewal(requested time.Time, holdID string, held bool) *verdict.Error {
	for i := range l.members {
		m := &l.members[i]
		if m.HoldID != holdID {
			continue
		}
		if !held {
			return l.failMember(m.Endpoint)
		}
		if requested.After(m.renewedAt) {
			m.renewedAt = requested
		}
	}
	return nil
}

// CheckExpiry ends the renewals and returns an error if the hold of a member may
// have expired. It returns nil if the renewals had already ended.
func (l *Leader) CheckExpiry(now time.Time) *verdict.Error {
	for _, m := range l.members {
		if now.Sub(m.renewedAt) >= MaxTimeToLive {
			return l.failMember(m.Endpoint)
		}
	}
	return nil
}

func (l *Leader) failMember(endpoint string) *verdict.Error {
	if l.ended {
		return nil
	}
	l.ended = true
	v := verdict.NotRun
	if l.started {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.ReasonGroupMemberLost, "group member %s is lost", endpoint)
}

// End stops the renewals and returns all members, whose holds the caller must
// release.
func (l *Leader) End() []Member {
	l.ended = true
	members := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, m.Member)
	}
	return members
}
