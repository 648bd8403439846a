// Package membudget applies the decisions of coord/bytebudget to the connections of a process: it
// lets readers wait for memory, cuts off the callers that give way, and records both.
package membudget

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/bytebudget"
	"siskinstand.example/service/bootclock"
)

var (
	// ErrExhausted is the error of a claim that gets no further bytes.
	ErrExhausted = errors.New("the memory for callers is in use")
	// ErrEvicted is the error of a claim that gave way to another one.
	ErrEvicted = errors.New("cut off because the memory for callers is in use")
)

const (
	// maxWait is how long a claim waits for bytes. Meanwhile its caller is not read, so that TCP
	// slows it down.
	maxWait = time.Second
	// pollInterval is the time after which a waiting claim asks again, since claims stall without
	// an event.
	pollInterval = 50 * time.Millisecond
	// logInterval is the shortest time between two lines about callers that were cut off.
	logInterval = 5 * time.Second
)

// Budget is the byte budget of a process. It is safe for concurrent use. A nil Budget grants
// everything.
type Budget struct {
	mu        sync.Mutex
	decisions *bytebudget.Budget
	// cutOffs holds the function that cuts off the caller of each claim.
	cutOffs map[*bytebudget.Claim]func()
	// changed is closed and replaced when bytes were returned while claims wait.
	changed chan struct{}
	waiting int

	metrics
	// cutOffCount counts the callers cut off since the last log line, at lastLog.
	cutOffCount [bytebudget.KindCount]int
	lastLog     time.Duration
}

type metrics struct {
	held     [bytebudget.KindCount]tally.Gauge
	cutOff   [bytebudget.KindCount]tally.Counter
	refusals [bytebudget.KindCount]tally.Counter
}

// New returns a budget without claims.
func New(c bytebudget.Config, scope tally.Scope) *Budget {
	b := &Budget{decisions: bytebudget.New(c), cutOffs: map[*bytebudget.Claim]func(){}, changed: make(chan struct{})}
	for k := range bytebudget.KindCount {
		tagged := scope.Tagged(map[string]string{"kind": k.String()})
		b.held[k], b.cutOff[k], b.refusals[k] = tagged.Gauge("caller_bytes"), tagged.Counter("callers_cut_off"), tagged.Counter("memory_refusals")
	}
	return b
}

// Held returns the bytes that all claims hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decisions.Total()
}

// Claim is the part of a budget that one header, body or response holds. A nil Claim is granted
// everything.
type Claim struct {
	budget *Budget
	claim  *bytebudget.Claim
	// isRefused is set if the budget had too many claims.
	isRefused bool
	isEvicted atomic.Bool
}

// Open adds a claim that holds nothing. cutOff is called if the claim gives way to another one. It
// must not block nor use the budget, and makes the owner of the claim close it soon.
func (b *Budget) Open(kind bytebudget.Kind, source, account string, cutOff func()) *Claim {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &Claim{budget: b, claim: b.decisions.Open(bootclock.Now(), kind, source, account)}
	if c.claim == nil {
		c.isRefused = true
		b.refusals[kind].Inc(1)
		return c
	}
	b.cutOffs[c.claim] = func() {
		c.isEvicted.Store(true)
		cutOff()
	}
	return c
}

// TryGrow asks for n further bytes without waiting for them.
func (c *Claim) TryGrow(n int64) error {
	if c == nil {
		return nil
	}
	if c.isRefused {
		return ErrExhausted
	}
	_, err := c.ask(n, false)
	return err
}

// Grow asks for n further bytes and waits for them until the deadline, but at most for maxWait.
func (c *Claim) Grow(n int64, deadline time.Time) error {
	if c == nil {
		return nil
	}
	if c.isRefused {
		return ErrExhausted
	}
	changed, err := c.ask(n, true)
	if !errors.Is(err, ErrExhausted) {
		return err
	}
	defer c.budget.endWait()
	if end := time.Now().Add(maxWait); deadline.IsZero() || end.Before(deadline) {
		deadline = end
	}
	for time.Now().Before(deadline) {
		timer := time.NewTimer(min(pollInterval, time.Until(deadline)))
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
		if changed, err = c.ask(n, false); !errors.Is(err, ErrExhausted) {
			return err
		}
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.refusals[c.claim.Kind].Inc(1)
	return ErrExhausted
}

// ask asks once. If the bytes are not granted, changed is closed when others have returned bytes;
// willWait counts the claim as waiting then.
func (c *Claim) ask(n int64, willWait bool) (changed <-chan struct{}, err error) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := bootclock.Now()
	d := b.decisions.Grow(now, c.claim, n)
	for _, v := range d.Victims {
		b.cutOffCaller(now, v, "memory")
	}
	switch {
	case d.Granted:
		b.recordHeld(c.claim.Kind)
		return nil, nil
	case c.claim.IsEvicted():
		return nil, ErrEvicted
	}
	if willWait {
		b.waiting++
	}
	return b.changed, ErrExhausted
}

func (b *Budget) endWait() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}

func (b *Budget) recordHeld(k bytebudget.Kind) { b.held[k].Update(float64(b.decisions.Held(k))) }

// cutOffCaller cuts off the caller of an evicted claim. It holds mu, so that the claim is not
// closed meanwhile and its connection serves no other request.
func (b *Budget) cutOffCaller(now time.Duration, v *bytebudget.Claim, reason string) {
	b.cutOffs[v]()
	b.cutOff[v.Kind].Inc(1)
	b.cutOffCount[v.Kind]++
	if b.lastLog != 0 && now-b.lastLog < logInterval {
		return
	}
	klog.InfoS("callers cut off", "reason", reason, "headers", b.cutOffCount[bytebudget.KindHeader], "bodies", b.cutOffCount[bytebudget.KindBody], "responses", b.cutOffCount[bytebudget.KindResponse],
		"last_caller", v.Source, "last_account", v.Account, "last_kind", v.Kind.String(), "last_bytes", v.Held(), "bytes_held", b.decisions.Total())
	b.cutOffCount, b.lastLog = [bytebudget.KindCount]int{}, now
}

// EvictStalled cuts off the caller that has been stalled for the longest time, to make room for a
// new connection. It reports whether there was one.
func (b *Budget) EvictStalled() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := bootclock.Now()
	v := b.decisions.EvictStalled(now)
	if v != nil {
		b.cutOffCaller(now, v, "connections")
	}
	return v != nil
}

// isUsable reports whether there is state to change.
func (c *Claim) isUsable() bool { return c != nil && !c.isRefused }

// Progress records that n bytes came from the caller, or were read by it.
func (c *Claim) Progress(n int64) {
	if !c.isUsable() {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.decisions.Progress(bootclock.Now(), c.claim, n)
}

// SetPhase sets what the bytes of the claim wait for. It fails if the claim gave way before.
func (c *Claim) SetPhase(p bytebudget.Phase) error {
	if !c.isUsable() {
		return nil
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.claim.IsEvicted() {
		return ErrEvicted
	}
	c.budget.decisions.SetPhase(bootclock.Now(), c.claim, p)
	return nil
}

// Revive takes back that the claim gave way, because its caller made progress before it was cut
// off.
func (c *Claim) Revive() {
	if !c.isUsable() {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.decisions.Revive(c.claim)
	c.isEvicted.Store(false)
}

// IsEvicted reports whether the claim gave way to another one.
func (c *Claim) IsEvicted() bool { return c != nil && c.isEvicted.Load() }

// Shrink returns n bytes.
func (c *Claim) Shrink(n int64) {
	if c.isUsable() {
		c.release(func(d *bytebudget.Budget) { d.Shrink(c.claim, n) })
	}
}

// Close returns all bytes. Closing a claim again has no effect.
func (c *Claim) Close() {
	if !c.isUsable() {
		return
	}
	c.release(func(d *bytebudget.Budget) {
		d.Close(c.claim)
		delete(c.budget.cutOffs, c.claim)
	})
}

func (c *Claim) release(change func(*bytebudget.Budget)) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b.decisions)
	b.recordHeld(c.claim.Kind)
	if b.waiting > 0 {
		close(b.changed)
		b.changed = make(chan struct{})
	}
}
