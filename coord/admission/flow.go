package admission

import (
	"math"
	"time"

	"siskinstand.example/coord/fairshare"
)

// entry is a queued item.
type entry struct {
	Item
	class     int
	arrivedAt time.Time
}

// flow is the queue of one account in one length class, in order of arrival.
type flow struct {
	entries []*entry
	tokens  int64
	deficit fairshare.Deficit
}

func (f *flow) remove(e *entry) {
	for i := range f.entries {
		if f.entries[i] == e {
			f.entries = append(f.entries[:i], f.entries[i+1:]...)
			f.tokens -= e.Cost()
			break
		}
	}
	if len(f.entries) == 0 {
		f.deficit = 0
	}
}

// account is a client account with queued items. It is removed together with
// its deficit when its last item leaves, so that the bound on the queue also
// bounds this state.
type account struct {
	name    string
	weight  float64
	flows   [classCount]flow
	cursor  int
	tokens  int64
	items   int
	deficit fairshare.Deficit
}

// forEachHead calls visit for the first item of each class, starting at the
// class whose turn it is.
func (a *account) forEachHead(visit func(class int, e *entry)) {
	for i := range classCount {
		class := (a.cursor + i) % classCount
		if f := &a.flows[class]; len(f.entries) > 0 {
			visit(class, f.entries[0])
		}
	}
}

// choose returns the account's next eligible item and the number of rounds after
// which the deficit of its class covers its cost. An item past the age bound goes
// first, after 0 rounds; otherwise the classes share by deficit.
func (a *account) choose(q *Queue, now time.Time, eligible func(*entry) bool) (best *entry, rounds float64) {
	rounds = math.Inf(1)
	var oldest *entry
	a.forEachHead(func(class int, e *entry) {
		if !eligible(e) {
			return
		}
		if q.pastAgeBound(now, e) && (oldest == nil || e.arrivedAt.Before(oldest.arrivedAt)) {
			oldest = e
		}
		if r := roundsFor(e.Cost(), a.flows[class].deficit, q.quantum(1)); r < rounds {
			best, rounds = e, r
		}
	})
	if oldest != nil {
		return oldest, 0
	}
	return best, rounds
}

// charge credits the classes whose first item is eligible with the rounds and
// deducts the cost of e from its class.
func (a *account) charge(q *Queue, e *entry, rounds float64, eligible func(*entry) bool) {
	a.forEachHead(func(class int, head *entry) {
		if eligible(head) {
			a.flows[class].deficit.Credit(rounds, q.quantum(1))
		}
	})
	f := &a.flows[e.class]
	f.deficit.Charge(float64(e.Cost()))
	if float64(f.deficit) < q.quantum(1) {
		a.cursor = (e.class + 1) % classCount
	}
}

// roundsFor returns the number of rounds after which a deficit covers a cost.
func roundsFor(cost int64, deficit fairshare.Deficit, quantum float64) float64 {
	return fairshare.WholeRounds(float64(cost), deficit, quantum)
}
