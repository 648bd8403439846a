package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Waiting describes a request that waits for a replica.
type Waiting struct {
	Account string
	Class   Class
	Since   time.Duration
	// Cost is the predicted replica time.
	Cost time.Duration
}

// settle brings the deficits of an account and of one of its classes up to date.
func (t *Table) settle(now time.Duration, a *account, class Class) {
	a.creditRounds(now, t.rounds, t.weight(now, a), t.waitsHere(now, a), t.config)
	c := &a.classes[class]
	c.creditRounds(now, a.classRounds, 1, now-c.waitedAt < t.config.WaitTime, t.config)
}

// creditRounds credits the rounds that have passed since the last call. A flow without waiting requests
// saves nothing up, but debt remains. Deficit and debt decay as usage does.
func (f *flow) creditRounds(now time.Duration, rounds, weight float64, waits bool, c Config) {
	if f.settledAt != now {
		f.deficit *= Deficit(math.Exp(-float64(now-f.settledAt) / float64(c.TimeConstant)))
		f.settledAt = now
	}
	debt := min(f.deficit, 0)
	f.deficit.Credit(max(rounds-f.creditedTo, 0), weight)
	f.creditedTo = rounds
	if !waits {
		f.deficit = min(f.deficit, max(debt, 0))
	}
	f.deficit = min(f.deficit, Deficit(c.MaxDeficit))
}

// charge deducts a cost from the deficit and returns the rounds that pass until the flow has its
// turn. Unlike in package admission, work starts before the deficit covers its cost, and the flow
// goes into debt: at one of many hosts, the deficit of an account would hardly ever cover the cost
// of a long prompt before its objective has passed.
func (f *flow) charge(cost, weight float64) (rounds float64) {
	rounds = max(RoundsToCover(0, f.deficit, weight), 0)
	f.deficit.Credit(rounds, weight)
	f.deficit -= Deficit(cost)
	return rounds
}

// chargeOrder charges an account and one of its classes for a request that starts.
func (t *Table) chargeOrder(now time.Duration, a *account, class Class, cost float64) {
	t.settle(now, a, class)
	c := &a.classes[class]
	a.classRounds += c.charge(cost, 1)
	c.creditedTo = a.classRounds
	t.rounds += a.charge(cost, t.weight(now, a))
	a.creditedTo = t.rounds
}

// Compare returns the order of two waiting requests, as cmp.Compare does. While requests compete,
// it is that of deficit round robin between the accounts and between the classes of one account;
// otherwise the older request goes first. For a queue with several requests of an account, use
// Order.
func (t *Table) Compare(now time.Duration, a, b Waiting) int {
	t.advance(now)
	if t.isContended(now) {
		x, y := t.classRounds(now, a, 0), t.classRounds(now, b, 0)
		if a.Account != b.Account {
			x, y = t.accountRounds(now, a.Account, 0), t.accountRounds(now, b.Account, 0)
		}
		if c := cmp.Compare(x, y); c != 0 {
			return c
		}
	}
	return cmp.Compare(a.Since, b.Since)
}

// Order returns the indices of waiting requests in the order in which to place them. It records
// that they wait.
func (t *Table) Order(now time.Duration, waiting []Waiting) []int {
	order := make([]int, len(waiting))
	for i, w := range waiting {
		order[i] = i
		t.RecordWait(now, w.Account, w.Class)
	}
	bySince := func(i, j int) int { return cmp.Compare(waiting[i].Since, waiting[j].Since) }
	slices.SortStableFunc(order, bySince)
	rounds := make([]float64, len(waiting))
	byRounds := func(i, j int) int { return cmp.Or(cmp.Compare(rounds[i], rounds[j]), bySince(i, j)) }

	// Within an account, a request has its turn after those of its class that are older.
	type classKey struct {
		account string
		class   Class
	}
	ahead := map[classKey]time.Duration{}
	for _, i := range order {
		key := classKey{waiting[i].Account, waiting[i].Class}
		rounds[i] = t.classRounds(now, waiting[i], ahead[key])
		ahead[key] += waiting[i].Cost
	}
	slices.SortStableFunc(order, byRounds)
	total := map[string]time.Duration{}
	for _, i := range order {
		rounds[i] = t.accountRounds(now, waiting[i].Account, total[waiting[i].Account])
		total[waiting[i].Account] += waiting[i].Cost
	}
	slices.SortStableFunc(order, byRounds)
	return order
}

// classRounds returns the rounds between the classes of an account until a request has its turn,
// behind others of its class that cost the given time.
func (t *Table) classRounds(now time.Duration, w Waiting, ahead time.Duration) float64 {
	a := t.accounts[idOf(w.Account)]
	if a == nil {
		return float64(ahead)
	}
	t.settle(now, a, w.Class)
	return RoundsToCover(float64(ahead), a.classes[w.Class].deficit, 1)
}

// accountRounds returns the rounds between accounts until a request has its turn, behind others
// of its account that cost the given time.
func (t *Table) accountRounds(now time.Duration, name string, ahead time.Duration) float64 {
	a := t.accounts[idOf(name)]
	if a == nil {
		return float64(ahead)
	}
	return RoundsToCover(float64(ahead), a.deficit, t.weight(now, a))
}
