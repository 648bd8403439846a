package kvstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/budget"
)

// WeightLoadBudgetLeaseKey is the lease key of the weight-load budget.
const WeightLoadBudgetLeaseKey = "lease/weight_budget"

// Timing of the budget. 380 gateways read the lease key every 15 to 20 s, some
// 22 reads a second, and a new holder is found within the 60 s after which
// endpoints load without a permit.
const (
	budgetInterval = 15 * time.Second
	budgetSpread   = 5 * time.Second
	rateInterval   = time.Minute
	// maxSizes bounds the models whose size is kept.
	maxSizes = 1024
)

// WeightLoadBudgetConfig names the process and its stores.
type WeightLoadBudgetConfig struct {
	Store     Store
	Weights   WeightStore
	ProcessID string
	// LeaseTTL is DefaultLeaseTTL if zero.
	LeaseTTL time.Duration
	// Burst is budget.DefaultBurst if zero.
	Burst time.Duration
}

// WeightLoadRequest is a sidecar's request for a permit. Without a size the holder
// looks up the size of the model.
type WeightLoadRequest struct {
	Process budget.Requester
	Model   string
	Bytes   int64
}

// PermitDecision is the holder's decision, or only the name of the holder if that
// is another process.
type PermitDecision struct {
	budget.Permit
	Fence  uint64
	Holder string
}

var errNoBudget = errors.New("no process holds the weight-load budget")

// WeightLoadBudget holds the weight-load budget while it has the lease.
type WeightLoadBudget struct {
	config WeightLoadBudgetConfig
	mu     sync.Mutex
	holder string
	lease  *heldLease
	state  *budget.Budget
	// sizes caches the size of each model in the weight store.
	sizes map[string]int64
}

// NewWeightLoadBudget returns a budget that is not held.
func NewWeightLoadBudget(c WeightLoadBudgetConfig) *WeightLoadBudget {
	if c.LeaseTTL == 0 {
		c.LeaseTTL = DefaultLeaseTTL
	}
	if c.Burst == 0 {
		c.Burst = budget.DefaultBurst
	}
	return &WeightLoadBudget{config: c, sizes: map[string]int64{}}
}

// RequestPermit decides on a load of a process if the budget is held here.
func (b *WeightLoadBudget) RequestPermit(ctx context.Context, r WeightLoadRequest) (PermitDecision, error) {
	if holder := b.otherHolder(); holder != "" {
		return PermitDecision{Holder: holder}, nil
	}
	if r.Bytes == 0 {
		var err error
		if r.Bytes, err = b.size(ctx, r.Model); err != nil {
			return PermitDecision{}, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease == nil || !b.lease.usable() {
		return PermitDecision{}, errNoBudget
	}
	return PermitDecision{
		Permit: b.state.Request(time.Now(), r.Process, r.Bytes),
		Fence:  uint64(b.lease.id), Holder: b.config.ProcessID,
	}, nil
}

// otherHolder names the process that holds the budget if it is not this one.
func (b *WeightLoadBudget) otherHolder() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease != nil || b.holder == b.config.ProcessID {
		return ""
	}
	return b.holder
}

// size asks the weight store once for each model. Weights of a model version do
// not change.
func (b *WeightLoadBudget) size(ctx context.Context, model string) (int64, error) {
	b.mu.Lock()
	bytes, known := b.sizes[model]
	b.mu.Unlock()
	if known {
		return bytes, nil
	}
	object, err := b.config.Weights.Stat(ctx, model)
	if err != nil {
		return 0, eris.Wrap(err, "size of the model")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.sizes) >= maxSizes {
		clear(b.sizes)
	}
	b.sizes[model] = object.Bytes
	return object.Bytes, nil
}

// Run tries to get the lease now and then, and holds it as long as it can.
func (b *WeightLoadBudget) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		held, err := acquireLease(ctx, b.config.Store, WeightLoadBudgetLeaseKey, b.config.ProcessID, b.config.LeaseTTL)
		if err == nil {
			b.hold(ctx, held)
			continue
		}
		var elsewhere *heldElsewhereError
		if errors.As(err, &elsewhere) {
			b.set(elsewhere.holder, nil, nil)
		}
		pause(ctx, budgetInterval+rand.N(budgetSpread))
	}
	return nil
}

func (b *WeightLoadBudget) set(holder string, lease *heldLease, state *budget.Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder, b.lease, b.state = holder, lease, state
}

// hold renews the lease until it is lost. Without a rate nothing is granted.
func (b *WeightLoadBudget) hold(ctx context.Context, held *heldLease) {
	klog.InfoS("holder of the weight-load budget", "fence", held.id)
	b.set(b.config.ProcessID, held, budget.New(time.Now(), 0, b.config.Burst))
	defer func() {
		b.set("", nil, nil)
		held.release()
	}()
	var read time.Time
	for ctx.Err() == nil {
		if time.Since(read) >= rateInterval && b.readRate(ctx, held) {
			read = time.Now()
		}
		pause(ctx, held.interval())
		b.renew(ctx, held)
		b.mu.Lock()
		usable := held.usable()
		b.mu.Unlock()
		if !usable {
			return
		}
	}
}

// renew calls the store without the lock and records the renewal under it,
// since Request reads the lease.
func (b *WeightLoadBudget) renew(ctx context.Context, held *heldLease) {
	requested, err := held.call(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	held.record(requested, err)
}

// readRate asks the weight store within the time of one renewal.
func (b *WeightLoadBudget) readRate(ctx context.Context, held *heldLease) bool {
	ctx, cancel := context.WithTimeout(ctx, held.interval()/2)
	defer cancel()
	rate, err := b.config.Weights.ReadRateLimit(ctx)
	if err != nil {
		klog.ErrorS(err, "rate of the weight store not read")
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetRate(rate)
	return true
}
