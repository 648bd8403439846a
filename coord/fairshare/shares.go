package fairshare

import "time"

const (
	// minShareInterval is the shortest time between two computations of the shares. With many
	// accounts it is shareTimePerAccount for each: 15,000 accounts took 0.8 ms. Without
	// competition, shares are only logged, and computed every idleShareInterval.
	minShareInterval    = 20 * time.Millisecond
	shareTimePerAccount = 10 * time.Microsecond
	idleShareInterval   = time.Second
	// maxLevelIterations bounds the iterations of levelOf, each of which can only raise the level.
	maxLevelIterations = 32
)

// shares is the result of the last computation. Usage is scaled by Table.scale, so that it stays
// valid as time passes.
type shares struct {
	at time.Duration
	// level is the usage up to which the accounts share the used time: those that have used
	// less and have no waiting requests keep what they use, and the others get equal parts of
	// the rest.
	level          float64
	total, largest float64
	// competing counts the accounts that use replicas or have waiting requests; waiting counts
	// the latter.
	competing, waiting int
}

// Summary describes the competition between accounts.
type Summary struct {
	// Accounts is the number of accounts that use replicas or have waiting requests.
	Accounts int
	// Waiting is the number of accounts with requests that wait or were refused recently.
	Waiting int
	// LargestShare is the part of the used replica time that the largest account has used.
	LargestShare float64
}

// Summary returns the state of the competition.
func (t *Table) Summary(now time.Duration) Summary {
	t.refreshShares(now)
	s := Summary{Accounts: t.shares.competing, Waiting: t.shares.waiting}
	if t.shares.total > 0 {
		s.LargestShare = t.shares.largest / t.shares.total
	}
	return s
}

// Share returns the part of the replica time used by all accounts that an account has used.
func (t *Table) Share(now time.Duration, name string) float64 {
	t.refreshShares(now)
	a := t.accounts[idOf(name)]
	if a == nil || t.shares.total <= 0 {
		return 0
	}
	return min(sum(a.all)/t.shares.total, 1)
}

// OverShare reports whether an account has used clearly more than its share while requests of
// other accounts wait or are refused, at any host.
func (t *Table) OverShare(now time.Duration, name string) bool {
	t.refreshShares(now)
	a := t.accounts[idOf(name)]
	if a == nil {
		return false
	}
	othersWaiting := t.shares.waiting
	if a.counted {
		othersWaiting--
	}
	return othersWaiting > 0 && sum(a.all) > t.config.OverShareFactor*t.shares.level
}

// weight returns the weight of an account in the round robin of this host. It corrects for what
// the account has used at all hosts.
func (t *Table) weight(now time.Duration, a *account) float64 {
	t.refreshShares(now)
	if !t.isContended(now) || t.shares.level <= 0 {
		return 1
	}
	used := sum(a.all)
	if used*t.config.MaxWeight <= t.shares.level {
		return t.config.MaxWeight
	}
	return max(t.shares.level/used, 1/t.config.MaxWeight)
}

// isContended reports whether requests have recently had to wait or were refused, at any host.
func (t *Table) isContended(now time.Duration) bool {
	return now-t.contendedAt < t.config.ContentionTime || t.shares.waiting > 0
}

// countWaiting counts an account as waiting before the next computation of the shares.
func (t *Table) countWaiting(a *account) {
	if !a.counted {
		a.counted = true
		t.shares.waiting++
	}
}

// refreshShares computes the shares if the last result is too old.
func (t *Table) refreshShares(now time.Duration) {
	t.advance(now)
	interval := max(minShareInterval, time.Duration(len(t.accounts))*shareTimePerAccount)
	if !t.isContended(now) {
		interval = idleShareInterval
	}
	if now-t.shares.at < interval {
		return
	}
	t.shares = shares{at: now}
	least := float64(minUsage) * t.scale(now)
	// Of the accounts without waiting requests, satisfied holds the usage.
	var satisfied []float64
	for _, a := range t.accounts {
		used := sum(a.all)
		a.counted = t.waits(now, a)
		if used < least && !a.counted {
			continue
		}
		t.shares.competing++
		t.shares.total += used
		t.shares.largest = max(t.shares.largest, used)
		if a.counted {
			t.shares.waiting++
		} else {
			satisfied = append(satisfied, used)
		}
	}
	t.shares.level = levelOf(t.shares.total, t.shares.competing, satisfied)
}

// levelOf divides a total between accounts. Accounts that have used less than an equal part and
// want no more keep what they have used; the others divide the rest.
func levelOf(total float64, accounts int, satisfied []float64) float64 {
	level := 0.0
	for range maxLevelIterations {
		if accounts == 0 {
			break
		}
		level = total / float64(accounts)
		above := satisfied[:0]
		for _, used := range satisfied {
			if used < level {
				total -= used
				accounts--
			} else {
				above = append(above, used)
			}
		}
		if len(above) == len(satisfied) {
			break
		}
		satisfied = above
	}
	return level
}
