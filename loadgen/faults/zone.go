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
		cluster: cluster.Config{Shape: cluster.Shape{Gateways: 3, EnginesByZone: 2}, EngineSwitches: warmEngines},
		run:     runZoneCycle,
	}
}

const (
	// placeGrace is the time in which a zone or host may still get new work.
	placeGrace = 3 * time.Second
	placeWatch = 3 * time.Second
	placeBack  = 4 * time.Second
)

// place is a part of the cluster that operators take out of service.
type place struct {
	name      string
	section   string
	out, in   string
	endpoints []string
}

func (s *stage) zonePlace(zone string) place {
	p := place{name: "zone", section: "zone " + zone, out: "state=" + string(config.ZoneOut), in: "state=" + string(config.ZoneIn)}
	for _, e := range s.Layout.Endpoints {
		if e.Zone == zone && !e.Plain {
			p.endpoints = append(p.endpoints, e.Name)
		}
	}
	return p
}

func hostPlace(endpoint string) place {
	return place{name: "host", section: "host " + endpoint, out: "state=leaving", in: "state=in", endpoints: []string{endpoint}}
}

// started returns how many requests the endpoints of a place have started.
func (s *stage) started(ctx context.Context, p place) (int64, error) {
	counters, err := s.EngineCounters(ctx)
	var sum int64
	for _, name := range p.endpoints {
		sum += counters[name].Started
	}
	return sum, err
}

// cycle takes a place out and back and returns how many requests it started
// before, in the grace, after the grace and after its return.
func (s *stage) cycle(ctx context.Context, p place) ([]int64, error) {
	steps := []struct {
		edit string
		wait time.Duration
	}{{"", 0}, {p.out, placeGrace}, {"", placeWatch}, {p.in, placeBack}}
	var counts []int64
	last := int64(0)
	for _, step := range steps {
		if step.edit != "" {
			if err := s.Control(ctx, "edit", string(config.TablePools), p.section, step.edit); err != nil {
				return nil, err
			}
		}
		if err := rest(ctx, step.wait); err != nil {
			return nil, err
		}
		n, err := s.started(ctx, p)
		if err != nil {
			return nil, err
		}
		counts = append(counts, n-last)
		last = n
	}
	return counts, nil
}

func runZoneCycle(ctx context.Context, s *stage) error {
	const rate = 60
	cycles := 2
	if s.config.Short {
		cycles = 1
	}
	oneCycle := placeGrace + placeWatch + placeBack
	background := s.sendLoad(ctx, rate, time.Duration(cycles+1)*(oneCycle+time.Second)+time.Second, shortMix())
	if err := rest(ctx, 2*time.Second); err != nil {
		return err
	}
	places := []place{hostPlace(s.Layout.Endpoints[0].Name)}
	for i := range cycles {
		places = append(places, s.zonePlace(cluster.Zones()[1+i%2]))
	}
	for i, p := range places {
		n, err := s.cycle(ctx, p)
		if err != nil {
			return err
		}
		s.report.note(fmt.Sprintf("%s started %d requests before, %d within %s, %d in the next %s, %d after its return", p.section, n[0], n[1], placeGrace, n[2], placeWatch, n[3]))
		prefix := fmt.Sprintf("%s_%d_", p.name, i)
		s.report.figure(prefix+"started_before", float64(n[0]), "requests", atLeast(1))
		s.report.figure(prefix+"started_3s_after", float64(n[2]), "requests", exactly(0))
		s.report.figure(prefix+"started_after_return", float64(n[3]), "requests", atLeast(1))
	}
	return s.reportLost(ctx, background)
}

// reportLost reports the background's requests that were admitted and did not
// get a whole answer in time.
func (s *stage) reportLost(ctx context.Context, background *traffic) error {
	results, lost, err := background.judge(ctx)
	if err != nil {
		return err
	}
	whole := load.CountComplete(results)
	s.report.figure("requests", float64(len(results)), "requests", atLeast(100))
	s.report.figure("whole", float64(whole)/float64(max(1, len(results))), "of requests", atLeast(0.5))
	s.report.figure("lost_or_late", float64(lost), "requests", exactly(0))
	return nil
}
