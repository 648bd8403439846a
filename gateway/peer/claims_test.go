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

// memClaimLog is a LocalClaimLog on shared in-memory records. It counts its claims,
// and its releases always fail.
type memClaimLog struct {
	mu      *sync.Mutex
	records map[claim.Key]claim.Record
	ids     map[claim.Key]string
	appends int
}

func (l *memClaimLog) Claim(ctx context.Context, key claim.Key, id string, hash uint64) (claim.Record, error) {
	return l.ClaimFor(ctx, "local", key, id, hash)
}

func (l *memClaimLog) ClaimFor(_ context.Context, holder string, key claim.Key, id string, hash uint64) (claim.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if r, ok := l.records[key]; ok && l.ids[key] != id {
		return r, nil
	}
	l.ids[key], l.records[key] = id, claim.Record{State: claim.StateHeld, Holder: holder, BodyHash: hash}
	return claim.Record{State: claim.StateClaimed, Holder: holder, BodyHash: hash}, nil
}

func (l *memClaimLog) Release(context.Context, claim.Key, string) error {
	return errors.New("store is down")
}

func (l *memClaimLog) Complete(_ context.Context, key claim.Key, _ string, result claim.Result) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[key]
	r.State, r.Result = claim.StateDone, result
	l.records[key] = r
	return nil
}

// Guards against claims that bypass the preferred appender, lose a field in
// transit, or fail while the preferred appender is down, and against a failed
// release that is reported as successful.
func TestClaimsAreForwarded(t *testing.T) {
	cluster := &testCluster{invariants: invariant.NewRegistry(nil)}
	var mu sync.Mutex
	records, ids := map[claim.Key]claim.Record{}, map[claim.Key]string{}
	logA, logB := &memClaimLog{mu: &mu, records: records, ids: ids}, &memClaimLog{mu: &mu, records: records, ids: ids}
	a, b := cluster.start(t, "a", logA), cluster.start(t, "b", logB)
	waitForPeers(t, a, 1)
	waitForPeers(t, b, 1)
	var key claim.Key
	for i := 0; ; i++ {
		key = claim.NewKey("acc", "route", fmt.Sprint(i))
		if _, ok := a.ClaimForwarder().preferredAddress(claim.PartitionOf(key)); ok {
			break
		}
	}
	r, err := a.ClaimForwarder().Claim(t.Context(), key, "id", 9)
	if err != nil || r.State != claim.StateClaimed || logA.appends != 0 || logB.appends != 1 {
		t.Fatalf("Claim = %+v, %v; appends %d and %d; want claimed, 0 and 1", r, err, logA.appends, logB.appends)
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
		t.Error("Release returned no error although the append failed")
	}
	b.stop()
	if r, err := a.ClaimForwarder().Claim(t.Context(), key, "third", 9); err != nil || r.State != claim.StateDone || logA.appends != 1 {
		t.Errorf("Claim without the preferred appender = %+v, %v, want done after one local append", r, err)
	}
}

func waitForPeers(t *testing.T, m *testNode, n int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for len(*m.peers.Load()) < n {
		if time.Now().After(deadline) {
			t.Fatalf("%s has %d peers after 10 s, want %d", m.ID, len(*m.peers.Load()), n)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func FuzzClaimRequest(f *testing.F) {
	key := claim.NewKey("a", "r", "k")
	f.Add(key[:], "id", "claim")
	f.Fuzz(func(t *testing.T, key []byte, id, op string) {
		n := New(Config{ID: "n", ActiveConfig: config.NewActive(nil), ClaimLog: &memClaimLog{mu: &sync.Mutex{}, records: map[claim.Key]claim.Record{}, ids: map[claim.Key]string{}}})
		response, err := n.Claim(t.Context(), &peerpb.ClaimRequest{KeyHash: key, ClaimId: id, Op: op})
		if (err == nil) != (len(key) == 32) || err == nil && response.GetOutcome() == "" {
			t.Fatalf("Claim = %v, %v, want an outcome for a key of 32 bytes, otherwise an error", response, err)
		}
	})
}
