package editor

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
	fake "siskinstand.example/fakes/kvstore"
	"siskinstand.example/fakes/server"
)

// startStore starts a fake store and returns it with a client.
func startStore(t *testing.T) (*fake.Store, *kvstore.Client) {
	t.Helper()
	var s *server.Server
	f := fake.New(fake.Config{OnRestart: func(d time.Duration) { s.StopFor(d) }})
	s, err := server.StartLoopback(f.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return f, kvstore.NewClient(s.Address(), kvstore.DefaultLimits())
}

// newEdit returns an edit that sets the state of zone a.
func newEdit(id string, base uint64, state string) config.Edit {
	return config.Edit{ID: id, Author: "ann", Base: base, Time: time.UnixMilli(1), Rows: []config.RowEdit{
		{RowID: config.RowID{Table: config.TablePools, Section: "zone a"}, Text: "state = " + state + "\n"},
	}}
}

// readAndApply applies an edit to the tables currently in the store.
func readAndApply(t *testing.T, store *kvstore.Client, e config.Edit) (uint64, error) {
	t.Helper()
	tables, err := Read(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	return Apply(t.Context(), store, tables, e)
}

// Guards against an edit that is reported as failed although the store accepted
// the write whose answer was lost, and against one that a retry applies twice.
func TestLostAnswer(t *testing.T) {
	f, store := startStore(t)
	for revision := uint64(1); revision <= 6; revision++ {
		if err := f.SetSwitches(fake.Switches{LoseAnswers: int(revision % 3)}); err != nil {
			t.Fatal(err)
		}
		got, err := readAndApply(t, store, newEdit(fmt.Sprint(revision), revision-1, []string{"in", "out"}[revision%2]))
		if err != nil || got != revision {
			t.Fatalf("Apply = %d, %v, want %d", got, err, revision)
		}
	}
	if got, err := readAndApply(t, store, newEdit("3", 2, "out")); err != nil || got != 3 {
		t.Errorf("repeated change 3 = revision %d, %v; want revision 3", got, err)
	}
	tables, err := Read(t.Context(), store)
	if err != nil || tables.Head.Revision != 6 || len(tables.Head.Changes) != 6 {
		t.Fatalf("head has revision %d and %d changes, %v; want 6 of each", tables.Head.Revision, len(tables.Head.Changes), err)
	}
	pairs, err := store.List(t.Context(), config.ShardPrefix)
	if err != nil || len(pairs) != 1 {
		t.Errorf("%d shards are stored, %v, want only the one in use", len(pairs), err)
	}
}

// Guards against two concurrent edits with the same base that are both accepted,
// and against a conflict error that does not name the accepted change.
func TestRace(t *testing.T) {
	_, store := startStore(t)
	tables, err := Read(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	var winner string
	losers := map[string]string{}
	for i := range 5 {
		group.Go(func() {
			id := fmt.Sprint("c", i)
			_, err := Apply(t.Context(), store, tables, newEdit(id, 0, "out"))
			mu.Lock()
			defer mu.Unlock()
			var conflict *config.ConflictError
			switch {
			case err == nil && winner == "":
				winner = id
			case errors.As(err, &conflict):
				losers[id] = conflict.ConflictingChange.ID
			default:
				t.Errorf("%s: got error %v with accepted change %q, want a ConflictError", id, err, winner)
			}
		})
	}
	group.Wait()
	for id, conflicting := range losers {
		if conflicting != winner || len(losers) != 4 {
			t.Errorf("%s conflicts with %q; want %q to win over 4 losers, got %d", id, conflicting, winner, len(losers))
		}
	}
}

// Guards against an edit during a store outage that is reported as accepted or as
// having an unknown outcome.
func TestOutage(t *testing.T) {
	store := kvstore.NewClient("127.0.0.1:1", kvstore.DefaultLimits())
	_, err := Apply(t.Context(), store, Tables{Head: config.EmptyHead(), Document: config.EmptyDocument()}, newEdit("c", 0, "out"))
	var notAccepted *NotAcceptedError
	if !errors.As(err, &notAccepted) {
		t.Errorf("error %v, want not accepted", err)
	}
}

// Guards against a head that references shards which the garbage collection of
// orphaned shards has deleted or is about to delete.
func TestShardsOfLateEdit(t *testing.T) {
	_, store := startStore(t)
	key := config.ShardPrefix + "d"
	lastVersion := int64(0)
	for range 2 {
		if err := writeShard(t.Context(), store, "d", []byte("x")); err != nil {
			t.Fatal(err)
		}
		pair, err := store.Get(t.Context(), key)
		if err != nil || pair.Version <= lastVersion {
			t.Errorf("version %d, %v, want more than %d", pair.Version, err, lastVersion)
		}
		lastVersion = pair.Version
	}
	tables := Tables{Head: config.EmptyHead(), Document: config.EmptyDocument()}
	err := swapHead(t.Context(), store, tables, newEdit("c", 0, "out"), []byte("{}"), time.Now().Add(-maxShardAge-time.Second))
	var notAccepted *NotAcceptedError
	if !errors.As(err, &notAccepted) {
		t.Errorf("swap after maxShardAge = %v, want a NotAcceptedError", err)
	}
}
