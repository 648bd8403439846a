package kvstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"siskinstand.example/adapters/kvstore"
)

// memStore is an in-memory key-value store that can simulate outages and lost
// responses.
type memStore struct {
	mu      sync.Mutex
	changed chan struct{}
	pairs   map[string]kvstore.Pair
	leases  map[int64]time.Time
	ttl     map[int64]time.Duration
	lastID  int64
	down    bool
	// loseResponse decides whether the response to a write is lost, and whether the
	// write took effect. It may be nil.
	loseResponse func() (lost, written bool)
	// swaps counts compare-and-swap calls, including those that failed.
	swaps int
}

func newMemStore() *memStore {
	return &memStore{changed: make(chan struct{}), pairs: map[string]kvstore.Pair{}, leases: map[int64]time.Time{}, ttl: map[int64]time.Duration{}}
}

func (m *memStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.notify()
}

func (m *memStore) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// lockAndExpire locks the store and drops expired leases. During an outage it
// returns kvstore.ErrUnavailable. The store is locked on return in either case.
func (m *memStore) lockAndExpire() error {
	m.mu.Lock()
	for id, until := range m.leases {
		if !until.After(time.Now()) {
			m.dropLease(id)
		}
	}
	if m.down {
		return kvstore.ErrUnavailable
	}
	return nil
}

func (m *memStore) dropLease(id int64) {
	delete(m.leases, id)
	for key, p := range m.pairs {
		if p.LeaseID == id {
			delete(m.pairs, key)
		}
	}
	m.notify()
}

func (m *memStore) Get(_ context.Context, key string) (kvstore.Pair, error) {
	defer m.mu.Unlock()
	if err := m.lockAndExpire(); err != nil {
		return kvstore.Pair{}, err
	}
	if p, ok := m.pairs[key]; ok {
		return p, nil
	}
	return kvstore.Pair{}, kvstore.ErrNotFound
}

func (m *memStore) List(_ context.Context, prefix string) ([]kvstore.Pair, error) {
	defer m.mu.Unlock()
	if err := m.lockAndExpire(); err != nil {
		return nil, err
	}
	var list []kvstore.Pair
	for key, p := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Key < list[k].Key })
	return list, nil
}

func (m *memStore) CompareAndSwap(_ context.Context, key string, value []byte, version, leaseID int64) (int64, error) {
	defer m.mu.Unlock()
	err := m.lockAndExpire()
	m.swaps++
	if err != nil {
		return 0, err
	}
	lost, written := false, true
	if m.loseResponse != nil {
		lost, written = m.loseResponse()
	}
	if lost && !written {
		return 0, kvstore.ErrOutcomeUnknown
	}
	if m.pairs[key].Version != version {
		return 0, kvstore.ErrConflict
	}
	if _, ok := m.leases[leaseID]; !ok && leaseID != 0 {
		return 0, kvstore.ErrLeaseLost
	}
	m.lastID++
	m.pairs[key] = kvstore.Pair{Key: key, Value: append([]byte(nil), value...), Version: m.lastID, LeaseID: leaseID}
	m.notify()
	if lost {
		return 0, kvstore.ErrOutcomeUnknown
	}
	return m.lastID, nil
}

func (m *memStore) CompareAndDelete(_ context.Context, key string, version int64) error {
	defer m.mu.Unlock()
	if err := m.lockAndExpire(); err != nil {
		return err
	}
	if m.pairs[key].Version != version {
		return kvstore.ErrConflict
	}
	delete(m.pairs, key)
	m.notify()
	return nil
}

func (m *memStore) Watch(ctx context.Context, key string, version int64) (kvstore.Pair, error) {
	for {
		err := m.lockAndExpire()
		p, changed := m.pairs[key], m.changed
		m.mu.Unlock()
		if err != nil {
			return kvstore.Pair{}, err
		}
		if p.Version != version {
			return p, nil
		}
		select {
		case <-ctx.Done():
			return kvstore.Pair{}, ctx.Err()
		case <-changed:
		}
	}
}

func (m *memStore) GrantLease(_ context.Context, ttl time.Duration) (kvstore.Lease, error) {
	defer m.mu.Unlock()
	if err := m.lockAndExpire(); err != nil {
		return kvstore.Lease{}, err
	}
	m.lastID++
	m.leases[m.lastID], m.ttl[m.lastID] = time.Now().Add(ttl), ttl
	return kvstore.Lease{ID: m.lastID, TimeToLive: ttl}, nil
}

func (m *memStore) KeepAlive(_ context.Context, id int64) (time.Duration, error) {
	defer m.mu.Unlock()
	if err := m.lockAndExpire(); err != nil {
		return 0, err
	}
	if _, ok := m.leases[id]; !ok {
		return 0, kvstore.ErrLeaseLost
	}
	m.leases[id] = time.Now().Add(m.ttl[id])
	return m.ttl[id], nil
}

func (m *memStore) RevokeLease(_ context.Context, id int64) error {
	defer m.mu.Unlock()
	if err := m.lockAndExpire(); err != nil {
		return err
	}
	m.dropLease(id)
	return nil
}
