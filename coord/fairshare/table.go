// Package fairshare divides the replica time of all hosts between client accounts while requests
// compete for it, and the time of an account between classes of prompt lengths. It reads no
// clock and performs no I/O.
//
// Each host keeps the replica time that each account has used as a sum that decays
// exponentially, and reports it to the other hosts. The share of an account is computed from the
// sums of all hosts. At one host, waiting requests go in the order of deficit round robin, in
// which accounts below their share have a larger weight than those above it.
package fairshare

import (
	"hash/fnv"
	"math"
	"time"
)

// Class is a class of prompt lengths.
type Class uint8

// Classes by the prefill time of the prompt.
const (
	Short Class = iota
	Medium
	Long
	classCount
)

// Config holds the constants of a Table.
type Config struct {
	// TimeConstant is the time in which used replica time decays to 1/e.
	TimeConstant time.Duration
	// ReportTimeout is the silence of another host after which its usage is ignored.
	ReportTimeout time.Duration
	// ContentionTime is how long after a wait or refusal requests count as competing.
	ContentionTime time.Duration
	// WaitTime is how long after a wait or refusal an account counts as having requests that
	// wait at this host; PeerWaitTime is the same for what another host has reported, but at
	// least two intervals between its reports.
	WaitTime     time.Duration
	PeerWaitTime time.Duration
	// OverShareFactor is the multiple of its share above which an account is over it.
	OverShareFactor float64
	// MaxWeight and its inverse bound the weight by which an account below or above its share
	// is preferred or deferred. The bound keeps accounts that have used much from being
	// starved by accounts that return from a pause.
	MaxWeight float64
	// MaxDeficit bounds what an account or class can save up while its requests wait.
	MaxDeficit time.Duration
	// MaxAccounts bounds the accounts of one host, MaxAllAccounts those of all hosts together,
	// and MaxHosts the hosts.
	MaxAccounts    int
	MaxAllAccounts int
	MaxHosts       int
}

// DefaultConfig returns the production settings.
func DefaultConfig() Config {
	return Config{
		TimeConstant: 5 * time.Second, ReportTimeout: 2 * time.Second,
		ContentionTime: time.Second, WaitTime: 250 * time.Millisecond, PeerWaitTime: 750 * time.Millisecond,
		OverShareFactor: 1.25, MaxWeight: 2, MaxDeficit: time.Second,
		MaxAccounts: 512, MaxAllAccounts: 16_384, MaxHosts: 1_024,
	}
}

const (
	never = time.Duration(math.MinInt64 / 2)
	// minUsage is the replica time below which usage counts as none.
	minUsage = 100 * time.Microsecond
	// rebaseAfter is the number of time constants after which the sums are scaled anew. It
	// keeps the scaled sums, which grow by e per time constant, in the range of float32.
	rebaseAfter = 20
	// expiryInterval is the shortest time between two searches for expired entries.
	expiryInterval = time.Second
	// sweepInterval is the shortest time between two searches for decayed entries of other hosts.
	sweepInterval = 10 * time.Second
)

// accountID identifies an account in the table and in reports: a hash of its name.
type accountID uint32

func idOf(account string) accountID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(account)) // hash writes never fail
	return accountID(h.Sum32())
}

// flow is the state of an account or a class in the round robin between its siblings.
type flow struct {
	deficit Deficit
	// creditedTo is the round of the siblings up to which the deficit is credited, settledAt the
	// time up to which it has decayed.
	creditedTo float64
	settledAt  time.Duration
	// waitedAt is the time at which a request last had to wait or was refused at this host.
	waitedAt time.Duration
}

// account is what is known of a client account. Usage is scaled by Table.scale.
type account struct {
	flow
	classes [classCount]flow
	// classRounds is the round of the round robin between the account's classes.
	classRounds float64
	// own is the usage of this host, all that of all hosts.
	own, all [classCount]float64
	// chargedAt is the time of the last change at this host.
	chargedAt time.Duration
	// counted is set if shares.waiting includes the account.
	counted bool
	// peerWaitUntil is the time until which another host's report of waiting requests holds.
	peerWaitUntil time.Duration
}

func sum(usage [classCount]float64) float64 { return usage[Short] + usage[Medium] + usage[Long] }

// Table holds the usage of all accounts and the state of the order at this host.
type Table struct {
	config   Config
	accounts map[accountID]*account
	hosts    map[string]*host
	ownCount int
	// epoch is the time to which scaled usage refers; see scale.
	epoch time.Duration
	// rounds is the round of the round robin between accounts.
	rounds      float64
	contendedAt time.Duration
	expiredAt   time.Duration
	sweptAt     time.Duration
	appendedAt  time.Duration
	shares      shares
	// cursor is the last account that was reported in rotation.
	cursor accountID
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, accounts: map[accountID]*account{}, hosts: map[string]*host{}, contendedAt: never, expiredAt: never, sweptAt: never, appendedAt: never, shares: shares{at: never}}
}

// scale returns the factor by which usage at the given time is multiplied before it is added to
// a sum. Scaled sums need no change as time passes: all of them decay by the same factor.
func (t *Table) scale(now time.Duration) float64 {
	return math.Exp(float64(now-t.epoch) / float64(t.config.TimeConstant))
}

// advance rebases the scaled sums if necessary, and drops what has expired.
func (t *Table) advance(now time.Duration) {
	if now-t.epoch > rebaseAfter*t.config.TimeConstant {
		t.rebase(now)
	}
	if now-t.expiredAt < expiryInterval {
		return
	}
	t.expiredAt = now
	t.expireHosts(now)
	least := float64(minUsage) * t.scale(now)
	for id, a := range t.accounts {
		if sum(a.own) < least && a.own != [classCount]float64{} && !t.waitsHere(now, a) {
			t.dropOwn(a)
		}
		if sum(a.all) < least && !t.waits(now, a) {
			delete(t.accounts, id)
		}
	}
}

// rebase refers all sums to the given time. The sums over hosts are added up anew, so that
// rounding errors do not accumulate.
func (t *Table) rebase(now time.Duration) {
	factor := 1 / t.scale(now)
	t.epoch = now
	t.shares.at = never
	for _, a := range t.accounts {
		for c := range a.own {
			a.own[c] *= factor
		}
		a.all = a.own
	}
	for _, h := range t.hosts {
		for id, usage := range h.usage {
			for c := range usage {
				usage[c] *= float32(factor)
			}
			h.usage[id] = usage
			if a := t.accounts[id]; a != nil {
				a.add(usage, 1)
			}
		}
	}
}

// add adds what another host has reported to the sums over all hosts, or with a negative sign
// removes it.
func (a *account) add(usage [classCount]float32, sign float64) {
	for c, u := range usage {
		a.all[c] = max(a.all[c]+sign*float64(u), 0)
	}
}

// dropOwn removes this host's usage of an account.
func (t *Table) dropOwn(a *account) {
	for c := range a.own {
		a.all[c] = max(a.all[c]-a.own[c], 0)
	}
	a.own = [classCount]float64{}
	t.ownCount--
}

// ensure returns the state of an account, or nil if the table is full.
func (t *Table) ensure(id accountID) *account {
	a := t.accounts[id]
	if a != nil || len(t.accounts) >= t.config.MaxAllAccounts {
		return a
	}
	a = &account{chargedAt: never, peerWaitUntil: never}
	a.waitedAt = never
	for c := range a.classes {
		a.classes[c].waitedAt = never
	}
	t.accounts[id] = a
	return a
}

// Charge adds the predicted cost of a request to the usage of its account, at its placement.
func (t *Table) Charge(now time.Duration, name string, class Class, cost time.Duration) {
	t.advance(now)
	a := t.ensure(idOf(name))
	if a == nil || cost <= 0 {
		return
	}
	t.addOwn(now, a, class, cost)
	t.chargeOrder(now, a, class, float64(cost))
}

// Correct changes the usage by the difference between the observed and the predicted cost.
func (t *Table) Correct(now time.Duration, name string, class Class, delta time.Duration) {
	t.advance(now)
	if a := t.accounts[idOf(name)]; a != nil && (delta > 0 || a.own[class] > 0) {
		t.addOwn(now, a, class, delta)
	}
}

func (t *Table) addOwn(now time.Duration, a *account, class Class, cost time.Duration) {
	if a.own == [classCount]float64{} {
		if t.ownCount >= t.config.MaxAccounts {
			t.dropLightest()
		}
		t.ownCount++
	}
	others := max(a.all[class]-a.own[class], 0)
	// The smallest positive number marks an account whose usage was corrected to nothing.
	a.own[class] = max(a.own[class]+float64(cost)*t.scale(now), math.SmallestNonzeroFloat64)
	a.all[class] = others + a.own[class]
	a.chargedAt = now
}

// dropLightest removes this host's usage of the account that has the least of it.
func (t *Table) dropLightest() {
	var lightest *account
	for _, a := range t.accounts {
		if u := sum(a.own); u > 0 && (lightest == nil || u < sum(lightest.own)) {
			lightest = a
		}
	}
	if lightest != nil {
		t.dropOwn(lightest)
	}
}

// Contended records that a request had to wait or was refused now.
func (t *Table) Contended(now time.Duration) { t.contendedAt = now }

// RecordWait records that a request of an account had to wait or was refused now. It reports
// whether the account did not wait before, which other hosts should learn soon.
func (t *Table) RecordWait(now time.Duration, name string, class Class) (isNew bool) {
	t.advance(now)
	t.Contended(now)
	a := t.ensure(idOf(name))
	if a == nil {
		return false
	}
	isNew = !t.waitsHere(now, a)
	t.countWaiting(a)
	t.settle(now, a, class)
	a.waitedAt, a.classes[class].waitedAt = now, now
	return isNew
}

func (t *Table) waitsHere(now time.Duration, a *account) bool {
	return now-a.waitedAt < t.config.WaitTime
}

// waits reports whether requests of the account wait or have been refused recently, at any host.
func (t *Table) waits(now time.Duration, a *account) bool {
	return t.waitsHere(now, a) || now < a.peerWaitUntil
}
