package inflight

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	maxBytes    = 64 << 20
	reportDelay = 35 * time.Millisecond
	sectionSize = 512
	step        = 5 * time.Millisecond
)

// fleet is a number of hosts that exchange reports, of which every second one is lost.
type fleet struct {
	rng      *rand.Rand
	hosts    []*Tracker
	names    []string
	actual   map[uint32]int64
	peak     int64
	now      time.Duration
	number   uint64
	transit  []report
	running  []running
	refused  int
	replicas int
}

type report struct {
	from int
	at   time.Duration
	data []byte
}

type running struct {
	host    int
	number  uint64
	replica uint32
	bytes   int64
	endsAt  time.Duration
}

func newFleet(seed uint64, hosts, replicas int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), actual: map[uint32]int64{}, replicas: replicas, now: time.Second}
	for i := range hosts {
		f.names = append(f.names, fmt.Sprintf("edge-%d", i))
		f.hosts = append(f.hosts, New(Config{MaxBytes: maxBytes, Expiry: 4 * time.Second}))
	}
	return f
}

// place places a request at the first replica, from a random one on, that takes it.
func (f *fleet) place(host int, bytes int64, took time.Duration) {
	start := f.rng.IntN(f.replicas)
	for i := range f.replicas {
		r := Replica{Index: (start + i) % f.replicas, Count: f.replicas}
		r.ID = uint32(r.Index)
		by := f.hosts[host].Admit(f.now, r, bytes, Hosts{Index: host, Count: len(f.hosts), Delay: 2 * reportDelay})
		if by == Refused {
			continue
		}
		f.number++
		f.hosts[host].Add(f.now, f.number, r.ID, bytes, by)
		f.running = append(f.running, running{host, f.number, r.ID, bytes, f.now + took})
		f.actual[r.ID] += bytes
		f.peak = max(f.peak, f.actual[r.ID])
		return
	}
	f.refused++
}

// advance ends requests, delivers reports and sends new ones. A host reports every 30 ms at
// most; reports at odd steps are lost.
func (f *fleet) advance() {
	f.now += step
	rest := f.running[:0]
	for _, r := range f.running {
		if r.endsAt > f.now {
			rest = append(rest, r)
			continue
		}
		f.hosts[r.host].Remove(f.now, r.number)
		f.actual[r.replica] -= r.bytes
	}
	f.running = rest
	pending := f.transit[:0]
	for _, r := range f.transit {
		if r.at > f.now {
			pending = append(pending, r)
			continue
		}
		for i, h := range f.hosts {
			if i != r.from {
				if err := h.Merge(f.now, f.names[r.from], r.data); err != nil {
					panic(err)
				}
			}
		}
	}
	f.transit = pending
	if n := f.now / step; n%6 == 0 {
		for i, h := range f.hosts {
			data := h.Append(f.now, nil, sectionSize)
			if n%12 == 0 {
				f.transit = append(f.transit, report{i, f.now + step, data})
			}
		}
	}
}

var sizes = []int64{2 << 10, 20 << 10, 180 << 10, 1200 << 10, 4 << 20}

// Guards against a replica that is given more bytes than it can hold by hosts that know of
// each other only by delayed reports, half of which are lost.
func TestLimitHoldsUnderDelayedReports(t *testing.T) {
	t.Run("all hosts at once", func(t *testing.T) {
		for seed := range uint64(20) {
			f := newFleet(seed, 22, 1)
			for range 4 {
				for host := range f.hosts {
					for range 10 {
						f.place(host, sizes[f.rng.IntN(len(sizes))], time.Minute)
					}
				}
				for range 60 {
					f.advance()
				}
			}
			if f.peak > maxBytes || f.peak < maxBytes/2 {
				t.Errorf("seed %d: %d bytes at the replica at most, want between half of %d and all of it", seed, f.peak, maxBytes)
			}
		}
	})
	t.Run("steady overload", func(t *testing.T) {
		for seed := range uint64(5) {
			f := newFleet(seed, 22, 5)
			for range 1200 {
				for range 5 {
					f.place(f.rng.IntN(len(f.hosts)), sizes[f.rng.IntN(len(sizes))], time.Duration(f.rng.IntN(4000))*time.Millisecond)
				}
				f.advance()
			}
			if f.peak > maxBytes || f.refused == 0 {
				t.Errorf("seed %d: %d bytes at a replica at most with %d requests refused, want %d at most and some refused", seed, f.peak, f.refused, maxBytes)
			}
			for range 2000 { // the longest request, and twice the expiry
				f.advance()
			}
			for i, h := range f.hosts {
				if got := h.Fullest(f.now); got != 0 || h.JobCount() != 0 || len(h.own) != 0 || len(h.peers) != 0 {
					t.Fatalf("seed %d: host %d still counts %d bytes, %d requests, %d replicas, %d hosts", seed, i, got, h.JobCount(), len(h.own), len(h.peers))
				}
			}
		}
	})
}

// Guards against refusing a single request inside the limits on idle replicas, at any host.
func TestSingleLargeBodyIsTaken(t *testing.T) {
	f := newFleet(1, 22, 3)
	for host := range f.hosts {
		f.place(host, 4<<20, 10*time.Millisecond)
		for range 60 {
			f.advance()
		}
	}
	if f.refused > 0 {
		t.Errorf("%d of %d hosts refused a body of 4 MiB for three idle replicas", f.refused, len(f.hosts))
	}
}

// Guards against bytes that count for ever after a host has gone, and against forgetting those
// of a host whose value has not changed.
func TestReportsExpire(t *testing.T) {
	a, b := New(Config{MaxBytes: maxBytes, Expiry: 4 * time.Second}), New(Config{MaxBytes: maxBytes, Expiry: 4 * time.Second})
	for i := range uint32(200) { // more than a section holds
		a.Add(0, uint64(i), i, 1<<20, ByShare)
	}
	now := time.Duration(0)
	for now = time.Second; now < 20*time.Second; now += 500 * time.Millisecond {
		if err := b.Merge(now, "a", a.Append(now, nil, sectionSize)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range uint32(200) {
		if got := b.Bytes(now, i); got != 1<<20 {
			t.Fatalf("%d bytes at replica %d, want 1 MiB", got, i)
		}
	}
	if got := b.Bytes(now+5*time.Second, 1); got != 0 {
		t.Errorf("%d bytes after 5 s of silence, want 0", got)
	}
	if err := b.Merge(now, "a", make([]byte, entryBytes+1)); err == nil {
		t.Error("half an entry was accepted")
	}
}

// Guards against requests that exceed the limit of a replica because they come about as slowly as
// the other hosts learn of them: as the earlier ones become known, the two halves of what is free
// shrink, and one of them may hold more than that already.
func TestLimitOverTime(t *testing.T) {
	const maxBytes, bytes, delay = 8 << 20, 900 << 10, 200 * time.Millisecond
	for _, hosts := range []int{1, 2, 5} {
		for step := time.Millisecond; step <= delay; step += time.Millisecond {
			tracker := New(Config{MaxBytes: maxBytes, Expiry: time.Hour})
			var held int64
			for i := range 200 {
				now := time.Second + time.Duration(i)*step
				r := Replica{ID: 1, Count: 1}
				if by := tracker.Admit(now, r, bytes, Hosts{Count: hosts, Delay: delay}); by != Refused {
					tracker.Add(now, uint64(i), r.ID, bytes, by)
					held += bytes
				}
			}
			if held > maxBytes {
				t.Errorf("%d hosts, a request every %v: %d bytes admitted, want at most %d", hosts, step, held, maxBytes)
			}
		}
	}
}
