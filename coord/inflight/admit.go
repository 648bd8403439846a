package inflight

import "time"

// Admission is the rule by which a replica takes a request.
type Admission int

const (
	// Refused means that the request may exceed the limit of the replica.
	Refused Admission = iota
	// ByShare divides half of what is free equally between all hosts.
	ByShare
	// ByOwnership divides the other half between the owners of the replica, a few hosts, for
	// requests beyond an equal share.
	ByOwnership
)

// minOwners is the number of hosts that own each replica, unless more are needed for each host
// to own one.
const minOwners = 4

// Hosts describes the hosts that place requests.
type Hosts struct {
	// Index is the position of this host in the sorted list of all, Count their number.
	Index, Count int
	// Delay is the time after which the other hosts know of a request, also if one of two
	// reports is lost.
	Delay time.Duration
}

// Replica identifies a replica by its ShortID, and by its position in the list of the replicas
// of its service, which has the same order at all hosts.
type Replica struct {
	ID           uint32
	Index, Count int
}

// Admit decides by which rule a replica takes a request of the given size. What all hosts add
// until they know of each other's requests is at most what was free before, so together they
// stay within the limit while their reports take at most Hosts.Delay and they agree on the
// lists of hosts and replicas.
func (t *Tracker) Admit(now time.Duration, r Replica, bytes int64, hosts Hosts) Admission {
	byShare, byOwnership := t.recent(now, r.ID, hosts.Delay)
	half := (t.config.MaxBytes - (t.Bytes(now, r.ID) - byShare - byOwnership)) / 2
	share, owned := half/int64(max(1, hosts.Count)), int64(0)
	if owners, isOwner := hosts.owners(r); isOwner {
		owned = half / int64(owners)
	}
	switch {
	case byShare+byOwnership+bytes > share+owned:
		// What was admitted by one rule, when more was free, may exceed its part by now.
		return Refused
	case byShare+bytes <= share:
		return ByShare
	case byOwnership+bytes <= owned:
		return ByOwnership
	}
	return Refused
}

// owners returns how many hosts own a replica, and whether this host does. The owners of a
// replica follow each other in the list of hosts, and the first ones of all replicas are spread
// evenly over it, so that every host owns a replica.
func (h Hosts) owners(r Replica) (int, bool) {
	if h.Count <= 1 || r.Count == 0 {
		return 1, true
	}
	owners := max((h.Count+r.Count-1)/r.Count, min(minOwners, h.Count))
	first := r.Index * h.Count / r.Count
	return owners, (h.Index-first+h.Count)%h.Count < owners
}

// recent returns the bytes of the requests of this host that other hosts may not know of, by
// the rule by which they were admitted.
func (t *Tracker) recent(now time.Duration, replica uint32, delay time.Duration) (byShare, byOwnership int64) {
	e := t.own[replica]
	if e == nil {
		return 0, 0
	}
	for number, j := range e.recent {
		switch {
		case now-j.addedAt > delay:
			delete(e.recent, number)
		case j.by == ByShare:
			byShare += j.bytes
		default:
			byOwnership += j.bytes
		}
	}
	return byShare, byOwnership
}
