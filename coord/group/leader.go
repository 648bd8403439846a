package group

import (
	"time"

	"siskinstand.example/coord/verdict"
)

// Member is one endpoint of a group as its leader sees it.
type Member struct {
	Endpoint string
	Address  string
	HoldID   string
	Tokens   int64
}

// Leader renews the holds of a group's members from the dispatch on.
type Leader struct {
	members []memberState
	started bool
	ended   bool
}

type memberState struct {
	Member
	renewed time.Time
	asked   time.Time
}

// NewLeader returns a leader whose members' holds were last renewed at now.
func NewLeader(now time.Time, members []Member) *Leader {
	l := &Leader{}
	for _, m := range members {
		l.members = append(l.members, memberState{Member: m, renewed: now, asked: now})
	}
	return l
}

// MarkStarted records the dispatch, after which a lost member may have run.
func (l *Leader) MarkStarted() { l.started = true }

// DueRenewals returns the members whose holds have to be renewed now.
func (l *Leader) DueRenewals(now time.Time) []Member {
	if l.ended {
		return nil
	}
	var due []Member
	for i := range l.members {
		m := &l.members[i]
		if now.Sub(m.asked) >= RenewInterval {
			m.asked = now
			due = append(due, m.Member)
		}
	}
	return due
}

// RecordRenewal records the answer to a renewal that was requested at the given
// time. A member that refuses has lost the hold; one that does not answer is
// lost when its hold must have expired.
func (l *Leader) RecordRenewal(requested time.Time, holdID string, held bool) *verdict.Error {
	for i := range l.members {
		m := &l.members[i]
		if m.HoldID != holdID {
			continue
		}
		if !held {
			return l.lost(m.Endpoint)
		}
		if requested.After(m.renewed) {
			m.renewed = requested
		}
	}
	return nil
}

// CheckExpiry returns the failure of a group with a member whose hold has expired.
func (l *Leader) CheckExpiry(now time.Time) *verdict.Error {
	for _, m := range l.members {
		if now.Sub(m.renewed) >= MaxTimeToLive {
			return l.lost(m.Endpoint)
		}
	}
	return nil
}

func (l *Leader) lost(endpoint string) *verdict.Error {
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

// End stops the renewals and returns all members, whose holds are released.
func (l *Leader) End() []Member {
	l.ended = true
	members := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, m.Member)
	}
	return members
}
