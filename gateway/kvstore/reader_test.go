package kvstore

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/invariant"
)

// writeEdit writes an edit of a zone's state to the store, as siskinctl does.
func writeEdit(t *testing.T, m *memStore, state string) uint64 {
	t.Helper()
	ctx := t.Context()
	head, version := config.EmptyHead(), int64(0)
	if pair, err := m.Get(ctx, config.HeadKey); err == nil {
		if head, err = config.DecodeHead(pair.Value); err != nil {
			t.Fatal(err)
		}
		version = pair.Version
	}
	doc := config.EmptyDocument()
	if version != 0 {
		var err error
		doc, err = config.Assemble(doc, head, func(ref config.ShardRef) ([]config.RowEdit, error) {
			pair, err := m.Get(ctx, config.ShardPrefix+ref.Digest)
			if err != nil {
				return nil, err
			}
			return config.DecodeShard(pair.Value, ref)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	plan, err := config.PlanEdit(head, doc, config.Edit{
		ID: fmt.Sprint(version), Author: "a", Base: head.Revision, Time: time.Now(),
		Rows: []config.RowEdit{{RowID: config.RowID{Table: config.TablePools, Section: "zone a"}, Text: "state = " + state + "\n"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for digest, value := range plan.Shards {
		if _, err := m.CompareAndSwap(ctx, config.ShardPrefix+digest, value, 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	value, _ := plan.Head.Encode()
	if _, err := m.CompareAndSwap(ctx, config.HeadKey, value, version, 0); err != nil {
		t.Fatal(err)
	}
	return plan.Head.Revision
}

type runningReader struct {
	*Reader
	isReader atomic.Bool
	stop     func()
}

func startReader(t *testing.T, m *memStore, id string) *runningReader {
	t.Helper()
	running := &runningReader{}
	running.Reader = NewReader(ReaderConfig{
		Store: m, Zone: "z", ProcessID: id, ActiveConfig: config.NewActive(invariant.NewRegistry(nil)),
		OnReaderRole: func(isReader bool) { running.isReader.Store(isReader) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = running.Run(ctx)
	}()
	running.stop = func() { cancel(); <-done }
	return running
}

func (r *runningReader) assertRevision(t *testing.T, want uint64) {
	t.Helper()
	synctest.Wait()
	if got := r.ActiveConfig.Current().Revision; got != want {
		t.Errorf("%s: revision %d in force, want %d", r.ProcessID, got, want)
	}
}

// Guards against two configuration readers in one availability zone, and against
// a lease that a stopped process does not release.
func TestReaderLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemStore()
		writeEdit(t, m, "out")
		a, b := startReader(t, m, "a"), startReader(t, m, "b")
		a.RequestLease()
		synctest.Wait()
		b.RequestLease()
		time.Sleep(time.Minute)
		a.assertRevision(t, 1)
		b.assertRevision(t, 0)
		writeEdit(t, m, "in")
		a.assertRevision(t, 2)
		a.stop()
		b.RequestLease()
		b.assertRevision(t, 2)
		b.stop()
	})
}

// Guards against a reader that keeps its role or reverts the configuration during
// a store outage, and against one that misses edits made afterwards.
func TestReaderOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemStore()
		writeEdit(t, m, "out")
		a := startReader(t, m, "a")
		a.RequestLease()
		a.assertRevision(t, 1)
		m.setDown(true)
		time.Sleep(10 * time.Second)
		if a.isReader.Load() {
			t.Error("still the reader 10 s into an outage, although the lease of 5 s has expired")
		}
		a.assertRevision(t, 1)
		if len(a.Alarms.List()) == 0 {
			t.Error("no alarm during the outage")
		}
		m.setDown(false)
		writeEdit(t, m, "in")
		a.RequestLease()
		a.assertRevision(t, 2)
		a.stop()
	})
}

// Guards against a zone without a configuration reader for the time to live of
// the lease after the response to the lease write was lost.
func TestReaderLeaseResponseLost(t *testing.T) {
	for _, written := range []bool{true, false} {
		t.Run(fmt.Sprintf("written %t", written), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemStore()
				writeEdit(t, m, "out")
				lose := true
				m.loseResponse = func() (bool, bool) { defer func() { lose = false }(); return lose, written }
				a := startReader(t, m, "a")
				a.RequestLease()
				synctest.Wait()
				if a.isReader.Load() != written {
					t.Errorf("reader role held: %t, want %t", a.isReader.Load(), written)
				}
				a.RequestLease()
				a.assertRevision(t, 1)
				a.stop()
			})
		})
	}
}

// Guards against replacing the configuration in force by that of a store that is
// older, has no head or has an unreadable head, and against a missing alarm.
func TestReaderKeepsNewest(t *testing.T) {
	for name, tc := range map[string]struct {
		head string
		want AlarmName
	}{
		"older":      {"", AlarmStoreOlder},
		"no head":    {"none", AlarmStoreOlder},
		"unreadable": {`{"format":99}`, AlarmConfigUnreadable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemStore()
				if tc.head != "none" {
					writeEdit(t, m, "out")
				}
				if name == "unreadable" {
					p := m.pairs[config.HeadKey]
					p.Value = []byte(tc.head)
					m.pairs[config.HeadKey] = p
				}
				a := startReader(t, m, "a")
				doc, err := config.NewDocument(7, 0, nil)
				if err != nil {
					t.Fatal(err)
				}
				a.ActiveConfig.ActivateIfNewer(doc)
				a.RequestLease()
				a.assertRevision(t, 7)
				if alarms := a.Alarms.List(); len(alarms) != 1 || alarms[0].Name != tc.want {
					t.Errorf("alarms %v, want %s", alarms, tc.want)
				}
				a.stop()
			})
		})
	}
}

// Guards against a damaged shard that is retried without an alarm or is partly put
// in force.
func TestReaderDamagedShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemStore()
		writeEdit(t, m, "out")
		for key, p := range m.pairs {
			if key != config.HeadKey {
				p.Value = []byte(`{"format":1}`)
				m.pairs[key] = p
			}
		}
		a := startReader(t, m, "a")
		a.RequestLease()
		a.assertRevision(t, 0)
		if alarms := a.Alarms.List(); len(alarms) != 1 || alarms[0].Name != AlarmConfigUnreadable {
			t.Errorf("alarms %v, want config_unreadable", alarms)
		}
		a.stop()
	})
}
