package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/peerpb"
)

// tableBook is a LocalBook on a shared table, and counts its appends.
type tableBook struct {
	mu      *sync.Mutex
	records map[claim.Key]claim.Record
	ids     map[claim.Key]string
	appends int
}

func (b *tableBook) Claim(ctx context.Context, key claim.Key, id string, hash uint64) (claim.Record, error) {
	return b.ClaimFor(ctx, "local", key, id, hash)
}

func (b *tableBook) ClaimFor(_ context.Context, holder string, key claim.Key, id string, hash uint64) (claim.Record, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.appends++
	if r, ok := b.records[key]; ok && b.ids[key] != id {
		return r, nil
	}
	b.ids[key], b.records[key] = id, claim.Record{State: claim.StateHeld, Holder: holder, BodyHash: hash}
	return claim.Record{State: claim.StateClaimed, Holder: holder, BodyHash: hash}, nil
}

func (b *tableBook) Release(context.Context, claim.Key, string) error {
	return errors.New("store is down")
}

func (b *tableBook) Complete(_ context.Context, key claim.Key, _ string, result claim.Result) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[key]
	r.State, r.Result = claim.StateDone, result
	b.records[key] = r
	return nil
}

// Guards against claims that bypass the preferred gateway, lose a field on the
// way, or fail while the preferred gateway is gone.
func TestClaimsPreferAppender(t *testing.T) {
	f := &fleet{invariants: invariant.NewRegistry(nil)}
	var mu sync.Mutex
	records, ids := map[claim.Key]claim.Record{}, map[claim.Key]string{}
	bookA, bookB := &tableBook{mu: &mu, records: records, ids: ids}, &tableBook{mu: &mu, records: records, ids: ids}
	a, b := f.start(t, "a", bookA), f.start(t, "b", bookB)
	waitForPeers(t, a, 1)
	waitForPeers(t, b, 1)
	var key claim.Key
	for i := 0; ; i++ {
		key = claim.NewKey("acc", "route", fmt.Sprint(i))
		if _, ok := a.ClaimForwarder().preferred(claim.PartitionOf(key)); ok {
			break
		}
	}
	r, err := a.ClaimForwarder().Claim(t.Context(), key, "id", 9)
	if err != nil || r.State != claim.StateClaimed || bookA.appends != 0 || bookB.appends != 1 {
		t.Fatalf("Claim = %+v, %v; appends %d and %d", r, err, bookA.appends, bookB.appends)
	}
	want := claim.Result{HTTPStatus: 201, ContentType: "application/json", Body: []byte("{}"), Truncated: true}
	if err := a.ClaimForwarder().Complete(t.Context(), key, "id", want); err != nil {
		t.Fatal(err)
	}
	r, err = a.ClaimForwarder().Claim(t.Context(), key, "other", 9)
	if diff := cmp.Diff(want, r.Result); err != nil || diff != "" || r.State != claim.StateDone || r.Holder != "a" || r.BodyHash != 9 {
		t.Errorf("Claim = %+v, %v (-want +got):\n%s", r, err, diff)
	}
	if err := a.ClaimForwarder().Release(t.Context(), key, "id"); err == nil {
		t.Error("a failed release was reported as done")
	}
	b.stop()
	if r, err := a.ClaimForwarder().Claim(t.Context(), key, "third", 9); err != nil || r.State != claim.StateDone || bookA.appends != 1 {
		t.Errorf("Claim without the preferred gateway = %+v, %v", r, err)
	}
}

func waitForPeers(t *testing.T, m *member, n int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for len(*m.peers.Load()) < n {
		if time.Now().After(deadline) {
			t.Fatalf("%s knows %d peers after 10 s, want %d", m.ID, len(*m.peers.Load()), n)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func FuzzClaimRequest(f *testing.F) {
	key := claim.NewKey("a", "r", "k")
	f.Add(key[:], "id", "claim")
	f.Fuzz(func(t *testing.T, key []byte, id, op string) {
		n := New(Config{ID: "n", InForce: config.NewActive(nil), ClaimLog: &tableBook{mu: &sync.Mutex{}, records: map[claim.Key]claim.Record{}, ids: map[claim.Key]string{}}})
		response, err := n.Claim(t.Context(), &peerpb.ClaimRequest{KeyHash: key, ClaimId: id, Op: op})
		if (err == nil) != (len(key) == 32) || err == nil && response.GetOutcome() == "" {
			t.Fatalf("Claim = %v, %v", response, err)
		}
	})
}
