package bench

import (
	"slices"
	"time"

	"siskinstand.example/coord/routing"
	"siskinstand.example/coord/verdict"
	sidecarapi "siskinstand.example/gateway/sidecar"
	pb "siskinstand.example/peerpb"
)

// rules are the parts of the policy that differ between its versions.
type rules struct {
	label   string
	routing routing.Policy
	keys    func(*request) routing.Keys
}

// currentRules use the defaults of the gateway's settings. previousRules are
// those before long prompts left the prefix key and their own prefill counted.
var (
	currentRules = rules{
		label:   "ours",
		routing: routing.Policy{PrefixShare: 0.5, DefaultRate: 10_000, IncludeOwnPrefill: true},
		keys: func(r *request) routing.Keys {
			return routing.NewKeys(r.family, r.fingerprint, bytesPerToken*r.prompt)
		},
	}
	previousRules = rules{
		label:   "previous",
		routing: routing.Policy{PrefixShare: 0.5, DefaultRate: 10_000},
		keys: func(r *request) routing.Keys {
			return routing.Keys{Prefix: r.family, Fingerprint: r.fingerprint}
		},
	}
)

// bytesPerToken is the gateway's first estimate of a token's length.
const bytesPerToken = 4

// maxRefusals and maxOffers follow gateway/dispatch.
const (
	maxRefusals = 2
	maxOffers   = 8
)

// spreadDelay bounds the time until a process learns a configuration change.
const spreadDelay = 1500 * time.Millisecond

// ours is the policy of this project: the gateways' routing and the sidecars'
// admission, with the decision code that the programs run.
type ours struct {
	world    *world
	rules    rules
	sidecars []*sidecar
	gateways []*gateway
	open     map[*request]*execution
}

// gateway is one gateway's view of the pool.
type gateway struct {
	endpoints []*sidecarapi.Endpoint
	out       map[string]bool
	view      *routing.View
}

// execution is one request on its way through its attempts, as in
// gateway/dispatch.
type execution struct {
	request       *request
	offers        int
	skip, refused []string
	at            int
	attempt       *attempt
}

func newOurs(w *world) policy { return newVersion(w, currentRules) }

func newPrevious(w *world) policy { return newVersion(w, previousRules) }

func newVersion(w *world, version rules) policy {
	o := &ours{world: w, rules: version, open: map[*request]*execution{}}
	for _, e := range w.engines {
		o.sidecars = append(o.sidecars, newSidecar(w, e))
	}
	for range w.scenario.Gateways {
		g := &gateway{out: map[string]bool{}}
		for _, e := range w.engines {
			g.endpoints = append(g.endpoints, sidecarapi.NewEndpoint(e.name, e.zone, ""))
		}
		g.refresh()
		o.gateways = append(o.gateways, g)
	}
	w.clock.every(reportInterval, o.report)
	return o
}

func (g *gateway) refresh() {
	members := make([]routing.Member, len(g.endpoints))
	for i, e := range g.endpoints {
		members[i] = routing.Member{Name: e.Name, Usable: !g.out[e.Zone]}
	}
	g.view = routing.NewView(members)
}

func (o *ours) name() string { return o.rules.label }

// report sends the control reports that are due to all gateways.
func (o *ours) report() {
	for i, s := range o.sidecars {
		if !s.reportDue() {
			continue
		}
		load := s.load()
		o.world.clock.after(peerLatency+o.world.scenario.ReportLag, func() {
			for _, g := range o.gateways {
				g.endpoints[i].RecordLoad(load, o.world.clock.now)
			}
		})
	}
}

func (o *ours) offer(r *request) {
	x := &execution{request: r}
	o.open[r] = x
	o.try(x)
}

// try makes the next attempt or ends the request.
func (o *ours) try(x *execution) {
	g := o.gateways[x.request.gateway]
	at := g.pick(x, o.rules, o.world.clock.now)
	if at == routing.None || x.offers >= maxOffers {
		o.end(x, outcomeRefused)
		return
	}
	x.offers++
	x.at = at
	endpoint, target := g.endpoints[at], o.sidecars[at]
	endpoint.AddUnreportedTokens(x.request.estimate)
	a := &attempt{request: x.request}
	a.observe = func(l *pb.Load) { endpoint.RecordLoad(l, o.world.clock.now) }
	a.refuse = func(e *verdict.Error) { o.refused(x, a, e) }
	a.finish = func() { o.end(x, outcomeDone) }
	x.attempt = a
	o.world.clock.after(peerLatency, func() {
		if x.attempt == a {
			target.offer(a)
		}
	})
}

func (g *gateway) pick(x *execution, version rules, now time.Time) int {
	keys := version.keys(x.request)
	c := g.view.Pick(keys, x.skip)
	load := func(i int) routing.Load {
		if i == routing.None {
			return routing.Load{}
		}
		return g.endpoints[i].RoutingLoad(now)
	}
	first, second := version.routing.Order(c, keys, x.request.estimate, load(c.Prefix), load(c.Fingerprint))
	for _, i := range []int{first, second} {
		if i != routing.None && !slices.Contains(x.refused, g.endpoints[i].Name) {
			return i
		}
	}
	return routing.None
}

func (o *ours) refused(x *execution, a *attempt, e *verdict.Error) {
	if x.attempt != a {
		return
	}
	x.attempt = nil
	name := o.gateways[x.request.gateway].endpoints[x.at].Name
	switch e.Reason {
	case verdict.ReasonOverloaded, verdict.ReasonDeadlineTooNear:
		x.refused = append(x.refused, name)
	default:
		x.skip = append(x.skip, name)
	}
	if len(x.refused) >= maxRefusals || e.Reason == verdict.ReasonDeadlineExceeded || e.Reason == verdict.ReasonPromptTooLong {
		o.end(x, outcomeRefused)
		return
	}
	o.try(x)
}

func (o *ours) end(x *execution, result outcome) {
	delete(o.open, x.request)
	x.attempt = nil
	o.world.end(x.request, result)
}

func (o *ours) expire(r *request) {
	x := o.open[r]
	if x == nil {
		return
	}
	a := x.attempt
	delete(o.open, r)
	x.attempt = nil
	if a != nil {
		o.sidecars[x.at].cancel(a)
	}
}

// setZone reaches each process after its own delay.
func (o *ours) setZone(zone string, out bool) {
	delay := func() time.Duration { return time.Duration(o.world.random.Int64N(int64(spreadDelay))) }
	for _, g := range o.gateways {
		o.world.clock.after(delay(), func() {
			g.out[zone] = out
			g.refresh()
		})
	}
	for i, e := range o.world.engines {
		if e.zone == zone {
			o.world.clock.after(delay(), func() { o.sidecars[i].setZone(out) })
		}
	}
}

func (o *ours) restarted(e *engine) {
	for _, s := range o.sidecars {
		if s.engine == e {
			s.reset()
		}
	}
}
