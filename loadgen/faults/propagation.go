package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/cluster"
)

// propagation edits the tables of 100 processes while the store has outages, and
// measures how long the edits take to reach every process.
func propagation() scenario {
	return scenario{
		name:    "propagation",
		cluster: cluster.Config{Topology: cluster.Topology{Gateways: 10, PlainServicesPerZone: 30, SharePlainBackend: true}},
		run:     runPropagation,
	}
}

type acceptedEdit struct {
	revision   uint64
	acceptedAt time.Time
}

func runPropagation(ctx context.Context, s *scenarioRun) error {
	const inForceLimit = 15 * time.Second
	rounds := 6
	if s.config.Short {
		rounds = 2
	}
	tracker := newRevisionTracker(s)
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() { defer close(done); tracker.watch(watchCtx) }()
	var edits []acceptedEdit
	raceErrors := 0
	for range rounds {
		accepted, failedRaces, err := s.runRound(ctx, tracker)
		if err != nil {
			return err
		}
		raceErrors += failedRaces
		edits = append(edits, accepted...)
		tracker.awaitInForce(ctx, accepted, 2*inForceLimit)
	}
	alarms, err := s.checkOlderStoreAlarm(ctx)
	if err != nil {
		return err
	}
	stop()
	<-done
	delays := tracker.propagationDelays(edits)
	s.report.record("processes", float64(len(tracker.adminAddresses)), "processes", atLeast(100))
	s.report.record("changes", float64(len(edits)), "changes", atLeast(float64(rounds)))
	s.report.record("in_force_p50", quantile(delays, 0.50).Seconds(), "s", noTarget)
	s.report.record("in_force_p99", quantile(delays, 0.99).Seconds(), "s", atMost(inForceLimit.Seconds()))
	s.report.record("in_force_max", quantile(delays, 1).Seconds(), "s", noTarget)
	s.report.record("never_in_force", float64(tracker.countNotInForce(edits)), "process changes", exactly(0))
	s.report.record("older_store_alarm", alarms, "alarms", atLeast(1))
	s.report.record("reverts", float64(tracker.reverts), "reverts", exactly(0))
	s.report.record("races_with_two_or_no_winner", float64(raceErrors), "races", exactly(0))
	return nil
}

// runRound makes two racing edits, then interrupts the store while processes
// restart. It returns the accepted edits, and 1 as raceErrors unless exactly one edit
// was accepted.
func (s *scenarioRun) runRound(ctx context.Context, tracker *revisionTracker) (accepted []acceptedEdit, raceErrors int, err error) {
	if s.random.IntN(2) == 0 {
		// The edits have to find out whether writes without a response took effect.
		// siskinctl reports an edit as not accepted if too many responses in a row
		// are lost, so no more than 3 are.
		switches := fmt.Sprintf(`{"lose_answers":%d,"lose_prefix":"config/"}`, 1+s.random.IntN(3))
		if err := cluster.PostControl(ctx, s.Layout.StoreAddress, "/control", switches); err != nil {
			return nil, 0, err
		}
	}
	accepted = s.raceEdits(ctx, tracker)
	if len(accepted) != 1 {
		raceErrors++
		s.report.comment(fmt.Sprintf("race ended with %d winners", len(accepted)))
	}
	outage := randomDuration(s.random, 2*time.Second, 5*time.Second)
	var group sync.WaitGroup
	victims := []string{s.randomGateway(s.random).Name}
	for range 2 {
		victims = append(victims, s.randomEndpoint(s.random, config.KindPlain).Name)
	}
	errs := make(chan error, len(victims)+1)
	group.Go(func() {
		errs <- setSwitchesFor(ctx, s.Layout.StoreAddress, `{"outage":true,"lose_answers":0}`, `{"outage":false}`, outage)
	})
	for _, name := range victims {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 4))
		group.Go(func() {
			tracker.reset(name)
			errs <- s.killAndRestart(ctx, name, randomDuration(random, 100*time.Millisecond, time.Second))
			tracker.reset(name)
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

// raceEdits makes two concurrent edits of one row, both based on the same
// revision, and returns those that were accepted.
func (s *scenarioRun) raceEdits(ctx context.Context, tracker *revisionTracker) []acceptedEdit {
	var mu sync.Mutex
	var accepted []acceptedEdit
	var group sync.WaitGroup
	base := tracker.newestRevision()
	for range 2 {
		weight := 2 + s.random.IntN(1000)
		group.Go(func() {
			out, err := s.SiskinctlOutput(ctx, "edit", "--base", fmt.Sprint(base), "routes", "account demo", fmt.Sprintf("weight=%d", weight))
			var edit acceptedEdit
			at := strings.Index(out, "accepted: revision")
			if err == nil && at >= 0 {
				_, err = fmt.Sscanf(out[at:], "accepted: revision %d", &edit.revision)
			}
			if err != nil || edit.revision == 0 {
				s.report.comment(fmt.Sprintf("edit based on %d: %s", base, strings.ReplaceAll(strings.TrimSpace(out), "\n", " ")))
				return
			}
			edit.acceptedAt = time.Now()
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, edit)
		})
	}
	group.Wait()
	return accepted
}

// checkOlderStoreAlarm restarts the store without its latest edit and returns 1
// once a gateway raises the alarm for an older store, or 0 if none does so within
// 15 s. The processes have to keep their newer revision meanwhile.
func (s *scenarioRun) checkOlderStoreAlarm(ctx context.Context) (float64, error) {
	const alarmTimeout = 15 * time.Second
	if err := s.rollBackStore(ctx); err != nil {
		return 0, err
	}
	arguments := []string{}
	for _, g := range s.Layout.Gateways {
		arguments = append(arguments, "--gateway", g.PeerAddress)
	}
	for begin := time.Now(); time.Since(begin) < alarmTimeout; {
		if err := sleep(ctx, time.Second); err != nil {
			return 0, err
		}
		out, _ := s.SiskinctlOutput(ctx, append(arguments, "status")...)
		if strings.Contains(out, "config_store_older") {
			s.report.comment(fmt.Sprintf("alarm for the older store after %s", time.Since(begin).Round(time.Second)))
			return 1, nil
		}
	}
	return 0, nil
}

// rollBackStore restarts the store without its latest changes until its
// configuration head has an older revision. Lease updates are changes too, so
// losing a fixed number of changes may not affect the head.
func (s *scenarioRun) rollBackStore(ctx context.Context) error {
	const firstLost, maxLost = 6, 1_000
	before, err := s.storeRevision(ctx)
	if err != nil {
		return err
	}
	for lost := firstLost; lost <= maxLost; lost *= 2 {
		body := fmt.Sprintf(`{"lost_changes":%d,"down":"500ms"}`, lost)
		if err := cluster.PostControl(ctx, s.Layout.StoreAddress, "/control/restart", body); err != nil {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		now, err := s.storeRevision(ctx)
		if err != nil {
			return err
		}
		if now < before {
			s.report.comment(fmt.Sprintf("the store went back from revision %d to %d", before, now))
			return nil
		}
	}
	return fmt.Errorf("roll back store: configuration head is still at revision %d", before)
}

// storeRevision returns the revision of the tables in the store.
func (s *scenarioRun) storeRevision(ctx context.Context) (uint64, error) {
	out, err := s.SiskinctlOutput(ctx, "get", "pools")
	if err != nil {
		return 0, err
	}
	var revision uint64
	_, err = fmt.Sscanf(out, "# revision %d", &revision)
	return revision, err
}
