package daemon

import (
	"github.com/uber-go/tally/v4"

	"siskinstand.example/service/burnrate"
)

// plainClassTag is the class tag of plain services, which have no length class;
// a tag must not be empty.
const plainClassTag = "plain"

type burnKey struct {
	service, class string
	objective      burnrate.Objective
	window         burnrate.Window
}

func (k burnKey) tags() map[string]string {
	return map[string]string{"service": k.service, "class": k.class, "objective": string(k.objective), "window": k.window.String()}
}

// burnGauges publishes the burn rates and event counts of all client accounts
// together. It does not publish single accounts, because the metrics reporter keeps
// every series until the process exits.
type burnGauges struct {
	scope     tally.Scope
	published map[burnKey]bool
}

func newBurnGauges(scope tally.Scope) *burnGauges {
	return &burnGauges{scope: scope, published: map[burnKey]bool{}}
}

// update publishes the totals and sets published series that are no longer in
// the totals to 0.
func (g *burnGauges) update(totals []burnrate.Series) {
	current := map[burnKey]burnrate.Series{}
	for _, s := range totals {
		k := burnKey{s.Service, s.Class, s.Objective, s.Window}
		if k.class == "" {
			k.class = plainClassTag
		}
		if s.Total > 0 || g.published[k] {
			current[k] = s
		}
	}
	for k := range g.published {
		if _, ok := current[k]; !ok {
			current[k] = burnrate.Series{}
		}
	}
	for k, s := range current {
		g.published[k] = true
		scope := g.scope.Tagged(k.tags())
		scope.Gauge("burn_rate").Update(s.BurnRate(k.objective))
		scope.Gauge("burn_events").Update(float64(s.Total))
		scope.Gauge("burn_good_events").Update(float64(s.Good))
	}
}
