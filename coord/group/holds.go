// Package group decides on the memory holds of groups of endpoints that run
// one prompt together: Holds is the side of each member, Leader the side of
// the member that runs the prompt.
package group

import (
	"slices"
	"strings"
	"time"
)

// MaxTimeToLive is the longest hold without renewal.
const MaxTimeToLive = 10 * time.Second

// RenewInterval is the time between renewals; three may be lost before a hold
// expires.
const RenewInterval = 3 * time.Second

// Hold is memory reserved for one group.
type Hold struct {
	ID      string
	Group   string
	Account string
	Tokens  int64
	Expires time.Time
}

// Outcome answers a request for a hold.
type Outcome string

// The outcomes of a hold.
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

// DefaultConfig returns the bounds used in production.
func DefaultConfig() Config { return Config{MaxHolds: 256, MaxPerAccount: 64} }

// Holds are the holds on one endpoint.
type Holds struct {
	config Config
	holds  map[string]Hold
	tokens int64
}

// NewHolds returns an empty set.
func NewHolds(c Config) *Holds { return &Holds{config: c, holds: map[string]Hold{}} }

// Acquire adds a hold if the free memory suffices, or renews it. The expiry is
// at most MaxTimeToLive away, whatever was asked for.
func (h *Holds) Acquire(now time.Time, want Hold, timeToLive time.Duration, free int64) Outcome {
	want.Expires = now.Add(min(max(timeToLive, 0), MaxTimeToLive))
	if old, ok := h.holds[want.ID]; ok && now.Before(old.Expires) {
		// A hold that a successor found in the engine has no known group.
		if (old.Group != "" && old.Group != want.Group) || old.Tokens != want.Tokens {
			return RefusedConflict
		}
		h.holds[want.ID] = want
		return Renewed
	}
	switch {
	case want.Tokens <= 0:
		return RefusedTokens
	case want.Tokens > free:
		return RefusedMemory
	case len(h.holds) >= h.config.MaxHolds || h.ofAccount(want.Account) >= h.config.MaxPerAccount:
		return RefusedTooMany
	}
	h.Release(want.ID)
	h.holds[want.ID] = want
	h.tokens += want.Tokens
	return Held
}

func (h *Holds) ofAccount(account string) int {
	n := 0
	for _, hold := range h.holds {
		if hold.Account == account {
			n++
		}
	}
	return n
}

// Release ends a hold and reports whether there was one.
func (h *Holds) Release(id string) bool {
	hold, ok := h.holds[id]
	if ok {
		h.tokens -= hold.Tokens
		delete(h.holds, id)
	}
	return ok
}

// Expire ends the holds that were not renewed and returns them by identifier.
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

// Get returns a hold.
func (h *Holds) Get(id string) (Hold, bool) {
	hold, ok := h.holds[id]
	return hold, ok
}

// Tokens returns the memory held.
func (h *Holds) Tokens() int64 { return h.tokens }

// Clear drops all holds, after the engine has lost its memory.
func (h *Holds) Clear() {
	clear(h.holds)
	h.tokens = 0
}
