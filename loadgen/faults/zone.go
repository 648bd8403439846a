package faults

import (
	"context"
	"fmt"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/cluster"
)

// zoneCycle takes availability zones and a host out of service and back.
func zoneCycle() scenario {
	return scenario{
		name:    "zone_cycle",
		cluster: cluster.Config{Topology: cluster.Topology{Gateways: 3, EnginesPerZone: 2}, EngineSwitches: warmEngineSwitches},
		run:     runZoneCycle,
	}
}

const (
	// drainGrace is how long an availability zone or host may still receive new
	// requests after it was taken out of service.
	drainGrace        = 3 * time.Second
	drainObservation  = 3 * time.Second
	returnObservation = 4 * time.Second
)

// drainTarget is an availability zone or host that an operator takes out of
// service.
type drainTarget struct {
	kind            string
	section         string
	outEdit, inEdit string
	endpoints       []string
}

func (s *scenarioRun) zoneTarget(zone string) drainTarget {
	t := drainTarget{kind: "zone", section: "zone " + zone, outEdit: "state=" + string(config.ZoneOut), inEdit: "state=" + string(config.ZoneIn)}
	for _, e := range s.Layout.Endpoints {
		if e.Zone == zone && !e.IsPlain {
			t.endpoints = append(t.endpoints, e.Name)
		}
	}
	return t
}

func hostTarget(endpoint string) drainTarget {
	return drainTarget{kind: "host", section: "host " + endpoint, outEdit: "state=leaving", inEdit: "state=in", endpoints: []string{endpoint}}
}

// startedRequests returns the number of requests that the endpoints of a target
// have started.
func (s *scenarioRun) startedRequests(ctx context.Context, t drainTarget) (int64, error) {
	counters, err := s.EngineCounters(ctx)
	var sum int64
	for _, name := range t.endpoints {
		sum += counters[name].Started
	}
	return sum, err
}

// runDrainCycle takes a target out of service and back. It returns the number of
// requests that the target started before, during the grace period, after it, and
// after the return to service.
func (s *scenarioRun) runDrainCycle(ctx context.Context, t drainTarget) ([]int64, error) {
	steps := []struct {
		edit string
		wait time.Duration
	}{{"", 0}, {t.outEdit, drainGrace}, {"", drainObservation}, {t.inEdit, returnObservation}}
	var counts []int64
	last := int64(0)
	for _, step := range steps {
		if step.edit != "" {
			if err := s.RunSiskinctl(ctx, "edit", string(config.TablePools), t.section, step.edit); err != nil {
				return nil, err
			}
		}
		if err := sleep(ctx, step.wait); err != nil {
			return nil, err
		}
		n, err := s.startedRequests(ctx, t)
		if err != nil {
			return nil, err
		}
		counts = append(counts, n-last)
		last = n
	}
	return counts, nil
}

func runZoneCycle(ctx context.Context, s *scenarioRun) error {
	const requestsPerSecond = 60
	cycles := 2
	if s.config.Short {
		cycles = 1
	}
	cycleDuration := drainGrace + drainObservation + returnObservation
	background := s.startLoad(ctx, requestsPerSecond, time.Duration(cycles+1)*(cycleDuration+time.Second)+time.Second, shortPromptMix())
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	targets := []drainTarget{hostTarget(s.Layout.Endpoints[0].Name)}
	for i := range cycles {
		targets = append(targets, s.zoneTarget(cluster.Zones()[1+i%2]))
	}
	for i, t := range targets {
		started, err := s.runDrainCycle(ctx, t)
		if err != nil {
			return err
		}
		s.report.comment(fmt.Sprintf("%s started %d requests before, %d within %s, %d in the next %s, %d after its return", t.section, started[0], started[1], drainGrace, started[2], drainObservation, started[3]))
		prefix := fmt.Sprintf("%s_%d_", t.kind, i)
		s.report.record(prefix+"started_before", float64(started[0]), "requests", atLeast(1))
		s.report.record(prefix+"started_3s_after", float64(started[2]), "requests", exactly(0))
		s.report.record(prefix+"started_after_return", float64(started[3]), "requests", atLeast(1))
	}
	return s.reportLost(ctx, background)
}
