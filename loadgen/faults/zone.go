package faults

import (
	"context"
	"fmt"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
)

// zoneCycle takes a zone out and back and lets a host leave and return.
func zoneCycle() scenario {
	return scenario{
		name:    "zone_cycle",
		cluster: cluster.Config{Topology: cluster.Topology{Gateways: 3, EnginesPerZone: 2}, EngineSwitches: warmEngineSwitches},
		run:     runZoneCycle,
	}
}

const (
	// drainGrace is the time in which a zone or host may still get new work.
	drainGrace        = 3 * time.Second
	drainObservation  = 3 * time.Second
	returnObservation = 4 * time.Second
)

// drainTarget is a part of the cluster that operators take out of service.
type drainTarget struct {
	name            string
	section         string
	outEdit, inEdit string
	endpoints       []string
}

func (s *scenarioRun) zoneTarget(zone string) drainTarget {
	p := drainTarget{name: "zone", section: "zone " + zone, outEdit: "state=" + string(config.ZoneOut), inEdit: "state=" + string(config.ZoneIn)}
	for _, e := range s.Layout.Endpoints {
		if e.Zone == zone && !e.Plain {
			p.endpoints = append(p.endpoints, e.Name)
		}
	}
	return p
}

func hostTarget(endpoint string) drainTarget {
	return drainTarget{name: "host", section: "host " + endpoint, outEdit: "state=leaving", inEdit: "state=in", endpoints: []string{endpoint}}
}

// startedRequests returns how many requests the endpoints of a place have started.
func (s *scenarioRun) startedRequests(ctx context.Context, p drainTarget) (int64, error) {
	counters, err := s.EngineCounters(ctx)
	var sum int64
	for _, name := range p.endpoints {
		sum += counters[name].Started
	}
	return sum, err
}

// runDrainCycle takes a place out and back and returns how many requests it started
// before, in the grace, after the grace and after its return.
func (s *scenarioRun) runDrainCycle(ctx context.Context, p drainTarget) ([]int64, error) {
	steps := []struct {
		edit string
		wait time.Duration
	}{{"", 0}, {p.outEdit, drainGrace}, {"", drainObservation}, {p.inEdit, returnObservation}}
	var counts []int64
	last := int64(0)
	for _, step := range steps {
		if step.edit != "" {
			if err := s.RunSiskinctl(ctx, "edit", string(config.TablePools), p.section, step.edit); err != nil {
				return nil, err
			}
		}
		if err := sleep(ctx, step.wait); err != nil {
			return nil, err
		}
		n, err := s.startedRequests(ctx, p)
		if err != nil {
			return nil, err
		}
		counts = append(counts, n-last)
		last = n
	}
	return counts, nil
}

func runZoneCycle(ctx context.Context, s *scenarioRun) error {
	const rate = 60
	cycles := 2
	if s.config.Short {
		cycles = 1
	}
	oneCycle := drainGrace + drainObservation + returnObservation
	background := s.startLoad(ctx, rate, time.Duration(cycles+1)*(oneCycle+time.Second)+time.Second, shortPromptMix())
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	places := []drainTarget{hostTarget(s.Layout.Endpoints[0].Name)}
	for i := range cycles {
		places = append(places, s.zoneTarget(cluster.Zones()[1+i%2]))
	}
	for i, p := range places {
		n, err := s.runDrainCycle(ctx, p)
		if err != nil {
			return err
		}
		s.report.comment(fmt.Sprintf("%s started %d requests before, %d within %s, %d in the next %s, %d after its return", p.section, n[0], n[1], drainGrace, n[2], drainObservation, n[3]))
		prefix := fmt.Sprintf("%s_%d_", p.name, i)
		s.report.record(prefix+"started_before", float64(n[0]), "requests", atLeast(1))
		s.report.record(prefix+"started_3s_after", float64(n[2]), "requests", exactly(0))
		s.report.record(prefix+"started_after_return", float64(n[3]), "requests", atLeast(1))
	}
	return s.reportLost(ctx, background)
}

// reportLost reports the background's requests that were admitted and did not
// get a whole answer in time.
func (s *scenarioRun) reportLost(ctx context.Context, background *backgroundLoad) error {
	results, lost, err := background.collect(ctx)
	if err != nil {
		return err
	}
	whole := load.CountComplete(results)
	s.report.record("requests", float64(len(results)), "requests", atLeast(100))
	s.report.record("whole", float64(whole)/float64(max(1, len(results))), "of requests", atLeast(0.5))
	s.report.record("lost_or_late", float64(lost), "requests", exactly(0))
	return nil
}
