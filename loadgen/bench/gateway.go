package bench

import (
	"slices"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/routing"
	"siskinstand.example/coord/verdict"
	sidecarapi "siskinstand.example/gateway/sidecar"
	pb "siskinstand.example/peerpb"
)

// policyVersion holds the parts of the policy that differ between versions.
type policyVersion struct {
	label       string
	routing     routing.Policy
	routingKeys func(*request) routing.Keys
}

// currentVersion uses the default settings of the gateway. previousVersion
// predates two changes: long prompts no longer use the prefix key, and routing
// takes into account the prefill time of the request itself.
var (
	currentVersion = policyVersion{
		label:   "ours",
		routing: routing.Policy{PrefixShare: 0.5, DefaultRate: 10_000, IncludeOwnPrefill: true},
		routingKeys: func(r *request) routing.Keys {
			return routing.NewKeys(r.prefixID, r.fingerprint, bytesPerToken*r.promptTokens)
		},
	}
	previousVersion = policyVersion{
		label:   "previous",
		routing: routing.Policy{PrefixShare: 0.5, DefaultRate: 10_000},
		routingKeys: func(r *request) routing.Keys {
			return routing.Keys{Prefix: r.prefixID, Fingerprint: r.fingerprint}
		},
	}
)

// bytesPerToken is the gateway's initial estimate of the bytes per token.
const bytesPerToken = 4

// maxRefusals matches gateway/dispatch, maxOffers the default of the gateway
// setting max_attempts.
const (
	maxRefusals = 2
	maxOffers   = 8
)

// maxConfigDelay is the longest time until a configuration change reaches a
// process.
const maxConfigDelay = 1500 * time.Millisecond

// siskinPolicy combines the gateways' routing and the sidecars' admission. It
// runs the same decision code as the real processes.
type siskinPolicy struct {
	simulation *simulation
	version    policyVersion
	sidecars   []*sidecar
	gateways   []*gateway
	inFlight   map[*request]*execution
}

// gateway holds one gateway's view of the endpoint pool.
type gateway struct {
	endpoints     []*sidecarapi.Endpoint
	excludedZones map[string]bool
	view          *routing.View
}

// execution tracks a request over all its attempts, as gateway/dispatch does.
type execution struct {
	request             *request
	offers              int
	excluded, refusedBy []string
	endpointIndex       int
	attempt             *attempt
}

func newCurrentPolicy(sim *simulation) policy { return newSiskinPolicy(sim, currentVersion) }

func newPreviousPolicy(sim *simulation) policy { return newSiskinPolicy(sim, previousVersion) }

func newSiskinPolicy(sim *simulation, version policyVersion) policy {
	p := &siskinPolicy{simulation: sim, version: version, inFlight: map[*request]*execution{}}
	for _, e := range sim.engines {
		p.sidecars = append(p.sidecars, newSidecar(sim, e))
	}
	for range sim.scenario.Gateways {
		g := &gateway{excludedZones: map[string]bool{}}
		for _, e := range sim.engines {
			g.endpoints = append(g.endpoints, sidecarapi.NewEndpoint(e.name, e.zone, ""))
		}
		g.rebuildView()
		p.gateways = append(p.gateways, g)
	}
	sim.clock.every(reportInterval, p.sendReports)
	return p
}

func (g *gateway) rebuildView() {
	members := make([]routing.Member, len(g.endpoints))
	for i, e := range g.endpoints {
		members[i] = routing.Member{Name: e.Name, Usable: !g.excludedZones[e.Zone]}
	}
	g.view = routing.NewView(members)
}

func (p *siskinPolicy) name() string { return p.version.label }

// sendReports sends the control reports that are due to all gateways.
func (p *siskinPolicy) sendReports() {
	for i, s := range p.sidecars {
		if !s.markReportedIfDue() {
			continue
		}
		load := s.load()
		p.simulation.clock.after(peerLatency+p.simulation.scenario.ReportDelay, func() {
			for _, g := range p.gateways {
				g.endpoints[i].RecordLoad(load, p.simulation.clock.now)
			}
		})
	}
}

func (p *siskinPolicy) submit(r *request) {
	x := &execution{request: r}
	p.inFlight[r] = x
	p.startAttempt(x)
}

// startAttempt starts the next attempt. It refuses the request if no endpoint is
// left or the offers are used up.
func (p *siskinPolicy) startAttempt(x *execution) {
	g := p.gateways[x.request.gateway]
	at := g.pick(x, p.version, p.simulation.clock.now)
	if at == routing.None || x.offers >= maxOffers {
		p.finish(x, outcomeRefused)
		return
	}
	x.offers++
	x.endpointIndex = at
	endpoint, target := g.endpoints[at], p.sidecars[at]
	endpoint.AddUnreportedTokens(x.request.estimatedPromptTokens)
	a := &attempt{request: x.request}
	a.onLoad = func(l *pb.Load) { endpoint.RecordLoad(l, p.simulation.clock.now) }
	a.onRefused = func(e *verdict.Error) { p.handleRefusal(x, a, e) }
	a.onFinished = func() { p.finish(x, outcomeDone) }
	x.attempt = a
	p.simulation.clock.after(peerLatency, func() {
		if x.attempt == a {
			target.enqueue(a)
		}
	})
}

func (g *gateway) pick(x *execution, version policyVersion, now time.Time) int {
	keys := version.routingKeys(x.request)
	c := g.view.Pick(keys, x.excluded)
	load := func(i int) routing.Load {
		if i == routing.None {
			return routing.Load{}
		}
		return g.endpoints[i].RoutingLoad(now)
	}
	first, second := version.routing.Order(c, keys, x.request.estimatedPromptTokens, load(c.Prefix), load(c.Fingerprint))
	for _, i := range []int{first, second} {
		if i != routing.None && !slices.Contains(x.refusedBy, g.endpoints[i].Name) {
			return i
		}
	}
	return routing.None
}

func (p *siskinPolicy) handleRefusal(x *execution, a *attempt, e *verdict.Error) {
	if x.attempt != a {
		return
	}
	x.attempt = nil
	name := p.gateways[x.request.gateway].endpoints[x.endpointIndex].Name
	switch e.Reason {
	case verdict.ReasonOverloaded, verdict.ReasonDeadlineTooNear:
		x.refusedBy = append(x.refusedBy, name)
	default:
		x.excluded = append(x.excluded, name)
	}
	if len(x.refusedBy) >= maxRefusals || e.Reason == verdict.ReasonDeadlineExceeded || e.Reason == verdict.ReasonPromptTooLong {
		p.finish(x, outcomeRefused)
		return
	}
	p.startAttempt(x)
}

func (p *siskinPolicy) finish(x *execution, result outcome) {
	delete(p.inFlight, x.request)
	x.attempt = nil
	p.simulation.finish(x.request, result)
}

func (p *siskinPolicy) expire(r *request) {
	x := p.inFlight[r]
	if x == nil {
		return
	}
	a := x.attempt
	delete(p.inFlight, r)
	x.attempt = nil
	if a != nil {
		p.sidecars[x.endpointIndex].cancel(a)
	}
}

// setZoneState applies the change in each gateway and each sidecar of the zone after
// a random propagation delay of its own.
func (p *siskinPolicy) setZoneState(zone string, state config.ZoneState) {
	delay := func() time.Duration { return time.Duration(p.simulation.random.Int64N(int64(maxConfigDelay))) }
	for _, g := range p.gateways {
		p.simulation.clock.after(delay(), func() {
			g.excludedZones[zone] = state == config.ZoneOut
			g.rebuildView()
		})
	}
	for i, e := range p.simulation.engines {
		if e.zone == zone {
			p.simulation.clock.after(delay(), func() { p.sidecars[i].setZoneState(state) })
		}
	}
}

func (p *siskinPolicy) engineRestarted(e *engine) {
	for _, s := range p.sidecars {
		if s.engine == e {
			s.reset()
		}
	}
}
