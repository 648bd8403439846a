package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"siskinstand.example/loadgen/cluster"
)

// propagation edits the tables of 100 processes while the store fails.
func propagation() scenario {
	return scenario{
		name:    "propagation",
		cluster: cluster.Config{Shape: cluster.Shape{Gateways: 10, PlainByZone: 30, SharedBackend: true}},
		run:     runPropagation,
	}
}

// change is an accepted edit.
type change struct {
	revision uint64
	at       time.Time
}

func runPropagation(ctx context.Context, s *stage) error {
	const limit = 15 * time.Second
	rounds := 6
	if s.config.Short {
		rounds = 2
	}
	f := newFleet(s)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() { defer close(done); f.watch(watching) }()
	var changes []change
	raceErrors := 0
	for range rounds {
		accepted, races, err := s.round(ctx, f)
		if err != nil {
			return err
		}
		raceErrors += races
		changes = append(changes, accepted...)
		f.await(ctx, accepted, 2*limit)
	}
	alarmed, err := s.olderStore(ctx)
	if err != nil {
		return err
	}
	stop()
	<-done
	delays := f.delays(changes)
	s.report.figure("processes", float64(len(f.admins)), "processes", atLeast(100))
	s.report.figure("changes", float64(len(changes)), "changes", atLeast(float64(rounds)))
	s.report.figure("in_force_p50", quantile(delays, 0.50).Seconds(), "s", none)
	s.report.figure("in_force_p99", quantile(delays, 0.99).Seconds(), "s", atMost(limit.Seconds()))
	s.report.figure("in_force_max", quantile(delays, 1).Seconds(), "s", none)
	s.report.figure("never_in_force", float64(f.missing(changes)), "process changes", exactly(0))
	s.report.figure("older_store_alarm", alarmed, "alarms", atLeast(1))
	s.report.figure("reverts", float64(f.reverts), "reverts", exactly(0))
	s.report.figure("races_with_two_or_no_winner", float64(raceErrors), "races", exactly(0))
	return nil
}

// round makes two racing edits, then an outage of the store during which
// processes restart. It returns the accepted edits.
func (s *stage) round(ctx context.Context, f *fleet) (accepted []change, raceErrors int, err error) {
	if s.random.IntN(2) == 0 {
		// The edits must find out what became of these writes. After more lost
		// answers in a row siskinctl refuses an edit as not accepted.
		lost := fmt.Sprintf(`{"lose_answers":%d,"lose_prefix":"config/"}`, 1+s.random.IntN(3))
		if err := cluster.Switch(ctx, s.Layout.Store, "/control", lost); err != nil {
			return nil, 0, err
		}
	}
	accepted = s.race(ctx, f)
	if len(accepted) != 1 {
		raceErrors++
		s.report.note(fmt.Sprintf("race ended with %d winners", len(accepted)))
	}
	outage := between(s.random, 2*time.Second, 5*time.Second)
	var group sync.WaitGroup
	victims := []string{s.anyGateway(s.random).Name}
	for range 2 {
		victims = append(victims, s.anyEndpoint(s.random, true).Name)
	}
	errs := make(chan error, len(victims)+1)
	group.Go(func() {
		errs <- window(ctx, s.Layout.Store, `{"outage":true,"lose_answers":0}`, `{"outage":false}`, outage)
	})
	for _, name := range victims {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 4))
		group.Go(func() {
			f.restarts(name)
			errs <- s.kill(ctx, name, between(random, 100*time.Millisecond, time.Second))
			f.restarts(name)
		})
	}
	group.Wait()
	close(errs)
	for e := range errs {
		if e != nil {
			return nil, 0, e
		}
	}
	return accepted, raceErrors, nil
}

// race makes two edits of one row that are based on the same revision.
func (s *stage) race(ctx context.Context, f *fleet) []change {
	var mu sync.Mutex
	var accepted []change
	var group sync.WaitGroup
	base := f.newest()
	for range 2 {
		weight := 2 + s.random.IntN(1000)
		group.Go(func() {
			out, err := s.ControlOutput(ctx, "edit", "--base", fmt.Sprint(base), "routes", "account demo", fmt.Sprintf("weight=%d", weight))
			var c change
			at := strings.Index(out, "accepted: revision")
			if err == nil && at >= 0 {
				_, err = fmt.Sscanf(out[at:], "accepted: revision %d", &c.revision)
			}
			if err != nil || c.revision == 0 {
				s.report.note(fmt.Sprintf("edit based on %d: %s", base, strings.ReplaceAll(strings.TrimSpace(out), "\n", " ")))
				return
			}
			c.at = time.Now()
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, c)
		})
	}
	group.Wait()
	return accepted
}

// olderStore restarts the store without its latest edit and returns 1 once a
// gateway raises the alarm for it. The processes must stay where they are.
func (s *stage) olderStore(ctx context.Context) (float64, error) {
	const limit = 15 * time.Second
	if err := s.loseEdit(ctx); err != nil {
		return 0, err
	}
	arguments := []string{}
	for _, g := range s.Layout.Gateways {
		arguments = append(arguments, "--gateway", g.Peers)
	}
	for begin := time.Now(); time.Since(begin) < limit; {
		if err := rest(ctx, time.Second); err != nil {
			return 0, err
		}
		out, _ := s.ControlOutput(ctx, append(arguments, "status")...)
		if strings.Contains(out, "config_store_older") {
			s.report.note(fmt.Sprintf("alarm for the older store after %s", time.Since(begin).Round(time.Second)))
			return 1, nil
		}
	}
	return 0, nil
}

// loseEdit restarts the store without its latest changes until the head is an
// older one. Leases are changes of the store too, so a fixed number of lost
// changes may leave the head as it was.
func (s *stage) loseEdit(ctx context.Context) error {
	const firstLost, maxLost = 6, 1_000
	before, err := s.storeRevision(ctx)
	if err != nil {
		return err
	}
	for lost := firstLost; lost <= maxLost; lost *= 2 {
		body := fmt.Sprintf(`{"lost_changes":%d,"down":"500ms"}`, lost)
		if err := cluster.Switch(ctx, s.Layout.Store, "/control/restart", body); err != nil {
			return err
		}
		if err := rest(ctx, time.Second); err != nil {
			return err
		}
		now, err := s.storeRevision(ctx)
		if err != nil {
			return err
		}
		if now < before {
			s.report.note(fmt.Sprintf("the store went back from revision %d to %d", before, now))
			return nil
		}
	}
	return fmt.Errorf("the store kept revision %d", before)
}

// storeRevision reads the revision of the tables in the store.
func (s *stage) storeRevision(ctx context.Context) (uint64, error) {
	out, err := s.ControlOutput(ctx, "get", "pools")
	if err != nil {
		return 0, err
	}
	var revision uint64
	_, err = fmt.Sscanf(out, "# revision %d", &revision)
	return revision, err
}
