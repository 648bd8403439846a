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

// WeightLoadBudgetLeaseKey is the store key of the lease held by the process
// that manages the weight-load budget.
const WeightLoadBudgetLeaseKey = "lease/weight_budget"

// Intervals between attempts to acquire the budget's lease and between reads of the
// rate. With 380 gateways that each read the lease key every 15 to 20 s, the store
// sees about 22 reads per second, and a new holder is found within the 60 s after
// which endpoints load weights without a permit.
const (
	leaseAttemptInterval = 15 * time.Second
	leaseAttemptJitter   = 5 * time.Second
	rateRefreshInterval  = time.Minute
	// maxCachedSizes limits the number of models in the size cache.
	maxCachedSizes = 1024
)

// WeightLoadBudgetConfig configures a WeightLoadBudget.
type WeightLoadBudgetConfig struct {
	Store     Store
	Weights   WeightStore
	ProcessID string
	// LeaseTTL is the time to live of the lease; DefaultLeaseTTL if zero.
	LeaseTTL time.Duration
	// Burst is how far the granted loads may exceed the weight store's rate, as
	// time at that rate; budget.DefaultBurst if zero.
	Burst time.Duration
}

// WeightLoadRequest is a sidecar's request for a permit to load model weights.
// If Bytes is zero, the holder looks up the size of the model.
type WeightLoadRequest struct {
	Requester budget.Requester
	Model     string
	Bytes     int64
}

// PermitDecision is the decision of the budget's holder. If another process
// holds the budget, only Holder is set.
type PermitDecision struct {
	budget.Permit
	Fence  uint64
	Holder string
}

var errNoBudgetHolder = errors.New("no process holds the weight-load budget")

// WeightLoadBudget grants permits from the fleet-wide budget for loading model
// weights while this process holds the budget's lease.
type WeightLoadBudget struct {
	config WeightLoadBudgetConfig
	mu     sync.Mutex
	holder string
	lease  *heldLease
	state  *budget.Budget
	// sizes caches the size in bytes of each model in the weight store.
	sizes map[string]int64
}

// NewWeightLoadBudget returns a budget whose lease is not held; Run acquires it.
func NewWeightLoadBudget(c WeightLoadBudgetConfig) *WeightLoadBudget {
	if c.LeaseTTL == 0 {
		c.LeaseTTL = DefaultLeaseTTL
	}
	if c.Burst == 0 {
		c.Burst = budget.DefaultBurst
	}
	return &WeightLoadBudget{config: c, sizes: map[string]int64{}}
}

// RequestPermit decides on a weight load if this process holds the budget;
// otherwise it returns the name of the holder, or an error if none is known.
func (b *WeightLoadBudget) RequestPermit(ctx context.Context, r WeightLoadRequest) (PermitDecision, error) {
	if holder := b.otherHolder(); holder != "" {
		return PermitDecision{Holder: holder}, nil
	}
	if r.Bytes == 0 {
		var err error
		if r.Bytes, err = b.modelSize(ctx, r.Model); err != nil {
			return PermitDecision{}, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease == nil || !b.lease.usable() {
		return PermitDecision{}, errNoBudgetHolder
	}
	return PermitDecision{
		Permit: b.state.Request(time.Now(), r.Requester, r.Bytes),
		Fence:  uint64(b.lease.id), Holder: b.config.ProcessID,
	}, nil
}

// otherHolder returns the process that holds the budget, or an empty string if
// that is this process or is not known.
func (b *WeightLoadBudget) otherHolder() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease != nil || b.holder == b.config.ProcessID {
		return ""
	}
	return b.holder
}

// modelSize returns the size of a model, which it reads from the weight store
// once. It may be cached because the weights of a model version do not change.
func (b *WeightLoadBudget) modelSize(ctx context.Context, model string) (int64, error) {
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
	if len(b.sizes) >= maxCachedSizes {
		clear(b.sizes)
	}
	b.sizes[model] = object.Bytes
	return object.Bytes, nil
}

// Run periodically tries to acquire the lease, and manages the budget while the
// lease is held.
func (b *WeightLoadBudget) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := acquireLease(ctx, b.config.Store, WeightLoadBudgetLeaseKey, b.config.ProcessID, b.config.LeaseTTL)
		if err == nil {
			b.holdLease(ctx, lease)
			continue
		}
		var heldErr *leaseHeldError
		if errors.As(err, &heldErr) {
			b.setHolder(heldErr.holder, nil, nil)
		}
		sleep(ctx, leaseAttemptInterval+rand.N(leaseAttemptJitter))
	}
	return nil
}

func (b *WeightLoadBudget) setHolder(holder string, lease *heldLease, state *budget.Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder, b.lease, b.state = holder, lease, state
}

// holdLease renews the lease until it is lost or the context is cancelled. No
// load is granted before the rate has been read from the weight store.
func (b *WeightLoadBudget) holdLease(ctx context.Context, lease *heldLease) {
	klog.InfoS("weight-load budget lease acquired", "fence", lease.id)
	b.setHolder(b.config.ProcessID, lease, budget.New(time.Now(), 0, b.config.Burst))
	defer func() {
		b.setHolder("", nil, nil)
		lease.release()
	}()
	var lastRefresh time.Time
	for ctx.Err() == nil {
		if time.Since(lastRefresh) >= rateRefreshInterval && b.refreshRate(ctx, lease) {
			lastRefresh = time.Now()
		}
		sleep(ctx, lease.renewInterval())
		b.renewLease(ctx, lease)
		b.mu.Lock()
		usable := lease.usable()
		b.mu.Unlock()
		if !usable {
			return
		}
	}
}

// renewLease calls the store without holding the mutex, and records the result
// while holding it because RequestPermit reads the lease concurrently.
func (b *WeightLoadBudget) renewLease(ctx context.Context, lease *heldLease) {
	requested, err := lease.keepAlive(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	lease.recordRenewal(requested, err)
}

// refreshRate sets the budget's rate to the rate limit of the weight store and
// reports whether it could be read. Its timeout is half a renewal interval, so
// that it cannot delay the next renewal for long.
func (b *WeightLoadBudget) refreshRate(ctx context.Context, lease *heldLease) bool {
	ctx, cancel := context.WithTimeout(ctx, lease.renewInterval()/2)
	defer cancel()
	rate, err := b.config.Weights.ReadRateLimit(ctx)
	if err != nil {
		klog.ErrorS(err, "failed to read the rate limit from the weight store")
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetRate(rate)
	return true
}
