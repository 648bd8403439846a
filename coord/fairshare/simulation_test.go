package fairshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	simSlots = 120
	simTick  = 10 * time.Millisecond
	// simLastSlots are left to other accounts by those over their share.
	simLastSlots = simSlots / 10
)

// classLoads describes the requests of each class: their part of the load, how long they occupy
// a slot, and how long they can wait for one.
var classLoads = [classCount]struct {
	part       float64
	hold, wait time.Duration
}{{0.6, 500 * time.Millisecond, 250 * time.Millisecond}, {0.25, 1500 * time.Millisecond, 1200 * time.Millisecond}, {0.15, 4 * time.Second, 3 * time.Second}}

type simRequest struct {
	Waiting
	hold  time.Duration
	endAt time.Duration
}

type simReport struct {
	arrivesAt time.Duration
	from, to  int
	sequence  int
	data      []byte
}

// simHost is an entry host. While it is frozen, it handles nothing; while it is down, its
// callers use other hosts.
type simHost struct {
	table        *Table
	queue        []simRequest
	running      []simRequest
	frozen, down bool
	sequence     int
	lastSequence map[int]int
}

// simulation plays hosts that share replicas and exchange delayed reports.
type simulation struct {
	rng   *rand.Rand
	fair  bool
	now   time.Duration
	hosts []*simHost
	// weights is what each account sends, relative to the others; load is the sum of all load,
	// relative to the load that fits.
	weights []float64
	load    float64
	reports []simReport
	lossy   bool
	// served is the slot time given to each account and class, offered what they asked for;
	// refused counts refusals, and waits requests that were not placed at once.
	served, offered [][classCount]float64
	refused, waits  int
	free            int
}

func newSimulation(seed uint64, hosts int, load float64, weights []float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), fair: true, load: load, weights: weights, free: simSlots}
	for range hosts {
		s.hosts = append(s.hosts, &simHost{table: New(DefaultConfig()), lastSequence: map[int]int{}})
	}
	s.resetCounts()
	return s
}

func (s *simulation) resetCounts() {
	s.served, s.offered = make([][classCount]float64, len(s.weights)), make([][classCount]float64, len(s.weights))
	s.refused, s.waits = 0, 0
}

// run plays the given time.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simTick {
		s.arrive()
		// The host that learns first of a free slot differs from tick to tick.
		first := s.rng.IntN(len(s.hosts))
		for i := range s.hosts {
			h := s.hosts[(i+first)%len(s.hosts)]
			s.finish(h)
			if !h.frozen && !h.down {
				s.place(h)
			}
		}
		s.exchange()
	}
}

func (s *simulation) arrive() {
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	for account, w := range s.weights {
		for class, c := range classLoads {
			perTick := s.load * simSlots * simTick.Seconds() * w / total * c.part / c.hold.Seconds()
			for p := perTick; p > 0; p-- {
				if s.rng.Float64() >= p {
					continue
				}
				h := s.hosts[s.rng.IntN(len(s.hosts))]
				for h.down {
					h = s.hosts[s.rng.IntN(len(s.hosts))]
				}
				hold := time.Duration((0.6 + 0.8*s.rng.Float64()) * float64(c.hold))
				s.offered[account][class] += hold.Seconds()
				h.queue = append(h.queue, simRequest{Waiting: Waiting{Account: fmt.Sprint(account), Class: Class(class), Since: s.now, Cost: c.hold}, hold: hold})
			}
		}
	}
}

// place places the requests of a host. As in edge/control, a request is queued if it can't be
// placed at once or others wait at its host.
func (s *simulation) place(h *simHost) {
	var queue []simRequest
	for _, r := range h.queue {
		if r.Since != s.now || len(queue) > 0 || !s.tryPlace(h, r) {
			if r.Since == s.now {
				s.waits++
			}
			queue = append(queue, r)
		}
	}
	h.queue = nil
	for _, r := range s.order(h, queue) {
		if !s.tryPlace(h, r) {
			if s.now-r.Since < classLoads[r.Class].wait {
				h.queue = append(h.queue, r)
			} else {
				s.refused++
			}
		}
	}
	slices.SortStableFunc(h.queue, func(x, y simRequest) int { return int(x.Since - y.Since) })
}

func (s *simulation) order(h *simHost, queue []simRequest) []simRequest {
	if !s.fair || len(queue) == 0 {
		return queue
	}
	var waiting []Waiting
	for _, r := range queue {
		waiting = append(waiting, r.Waiting)
	}
	var ordered []simRequest
	for _, i := range h.table.Order(s.now, waiting) {
		ordered = append(ordered, queue[i])
	}
	return ordered
}

func (s *simulation) tryPlace(h *simHost, r simRequest) bool {
	if s.free == 0 || s.fair && s.free <= simLastSlots && h.table.OverShare(s.now, r.Account) {
		return false
	}
	s.free--
	h.table.Charge(s.now, r.Account, r.Class, r.Cost)
	r.endAt = s.now + r.hold
	h.running = append(h.running, r)
	return true
}

func (s *simulation) finish(h *simHost) {
	h.running = slices.DeleteFunc(h.running, func(r simRequest) bool {
		if r.endAt > s.now {
			return false
		}
		s.free++
		var account int
		_, _ = fmt.Sscan(r.Account, &account)
		s.served[account][r.Class] += r.hold.Seconds()
		h.table.Correct(s.now, r.Account, r.Class, r.hold-r.Cost)
		return true
	})
}

// exchange sends a report of each host every 100 ms, which arrives after 5 to 45 ms. On a lossy
// network, one in five is lost and one in five arrives twice.
func (s *simulation) exchange() {
	for i, h := range s.hosts {
		if h.frozen || h.down || (int(s.now/simTick)+3*i)%10 != 0 {
			continue
		}
		h.sequence++
		data := h.table.Append(s.now, nil)
		for to := range s.hosts {
			for copies := 1; to != i && copies > 0; copies-- {
				if s.lossy && s.rng.IntN(5) == 0 {
					continue
				}
				if s.lossy && s.rng.IntN(5) == 0 {
					copies++
				}
				s.reports = append(s.reports, simReport{s.now + simTick + time.Duration(s.rng.Int64N(int64(40*time.Millisecond))), i, to, h.sequence, data})
			}
		}
	}
	s.reports = slices.DeleteFunc(s.reports, func(r simReport) bool {
		to := s.hosts[r.to]
		if r.arrivesAt > s.now || to.frozen {
			return false
		}
		if !to.down && r.sequence > to.lastSequence[r.from] {
			to.lastSequence[r.from] = r.sequence
			_ = to.table.Merge(s.now, fmt.Sprint(r.from), r.data)
		}
		return true
	})
}

// restart replaces the process of a host. Its requests end and the others notice the restart.
func (s *simulation) restart(i int) {
	s.free += len(s.hosts[i].running)
	s.hosts[i] = &simHost{table: New(DefaultConfig()), lastSequence: map[int]int{}}
	for _, h := range s.hosts {
		h.table.RemoveHost(fmt.Sprint(i))
		delete(h.lastSequence, i)
	}
}

// share returns the served part of the capacity of a period, for an account or a class of it.
func (s *simulation) share(account int, period time.Duration, classes ...Class) float64 {
	sum := 0.0
	for c, v := range s.served[account] {
		if len(classes) == 0 || slices.Contains(classes, Class(c)) {
			sum += v
		}
	}
	return sum / simSlots / period.Seconds()
}
