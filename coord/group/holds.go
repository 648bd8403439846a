// Package group manages the memory holds of groups of endpoints that run one
// prompt together. Holds is used by each member, Leader by the member that runs
// the prompt.
package group

import (
	"slices"
	"strings"
	"time"
)

// MaxTimeToLive is the longest time to live of a hold that is not renewed.
const MaxTimeToLive = 10 * time.Second

// RenewInterval is the time between renewals. A hold expires after three lost
// renewals in a row.
const RenewInterval = 3 * time.Second

// Hold is memory reserved for one group.
type Hold struct {
	ID      string
	Group   string
	Account string
	Tokens  int64
	Expires time.Time
}

// Outcome is the result of acquiring a hold.
type Outcome string

// Outcomes of Acquire.
const (
	Held            Outcome = "held"
	Renewed         Outcome = "renewed"
	RefusedMemory   Outcome = "memory"
	RefusedTooMany  Outcome = "too many holds"
	RefusedConflict Outcome = "the identifier has other terms"
	RefusedTokens   Outcome = "tokens must be positive"
)

// OK reports whether the memory is held.
func (o Outcome) OK() bool { return o == Held || o == Renewed }

// Config bounds Holds.
type Config struct {
	MaxHolds      int
	MaxPerAccount int
}

// DefaultConfig returns the production settings.
func DefaultConfig() Config { return Config{MaxHolds: 256, MaxPerAccount: 64} }

// Holds is the set of holds on one endpoint.
type Holds struct {
	config Config
	holds  map[string]Hold
	tokens int64
}

// NewHolds returns an empty set.
func NewHolds(c Config) *Holds { return &Holds{config: c, holds: map[string]Hold{}} }

// Acquire adds a hold if the free memory and the limits suffice, or renews it. The
// hold expires after at most MaxTimeToLive, whatever timeToLive requests.
func (h *Holds) Acquire(now time.Time, hold Hold, timeToLive time.Duration, freeTokens int64) Outcome {
	hold.Expires = now.Add(min(max(timeToLive, 0), MaxTimeToLive))
	if old, ok := h.holds[hold.ID]; ok && now.Before(old.Expires) {
		// A hold that a restarted sidecar found in the engine has no known
		// group.
		if (old.Group != "" && old.Group != hold.Group) || old.Tokens != hold.Tokens {
			return RefusedConflict
		}
		if hold.Account == "" {
			hold.Account = old.Account
		}
		h.holds[hold.ID] = hold
		return Renewed
	}
	switch {
	case hold.Tokens <= 0:
		return RefusedTokens
	case hold.Tokens > freeTokens:
		return RefusedMemory
	case len(h.holds) >= h.config.MaxHolds || h.countByAccount(hold.Account) >= h.config.MaxPerAccount:
		return RefusedTooMany
	}
	h.Release(hold.ID)
	h.holds[hold.ID] = hold
	h.tokens += hold.Tokens
	return Held
}

func (h *Holds) countByAccount(account string) int {
	n := 0
	for _, hold := range h.holds {
		if hold.Account == account {
			n++
		}
	}
	return n
}

// Release removes a hold and reports whether it existed.
func (h *Holds) Release(id string) bool {
	hold, ok := h.holds[id]
	if ok {
		h.tokens -= hold.Tokens
		delete(h.holds, id)
	}
	return ok
}

// Expire removes the holds that were not renewed in time and returns them
// sorted by ID.
func (h *Holds) Expire(now time.Time) []Hold {
	var out []Hold
	for _, hold := range h.holds {
		if !now.Before(hold.Expires) {
			out = append(out, hold)
		}
	}
	for _, hold := range out {
		h.Release(hold.ID)
	}
	slices.SortFunc(out, func(a, b Hold) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Get returns the hold with the given ID and whether it exists.
func (h *Holds) Get(id string) (Hold, bool) {
	hold, ok := h.holds[id]
	return hold, ok
}

// Tokens returns the total of the held tokens.
func (h *Holds) Tokens() int64 { return h.tokens }

// Clear removes all holds after the engine has lost its memory.
func (h *Holds) Clear() {
	clear(h.holds)
	h.tokens = 0
}
