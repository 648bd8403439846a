package daemon

import (
	"context"
	"time"
)

// gaugeInterval is the time between updates of the gauges.
const gaugeInterval = time.Second

// updateGauges periodically publishes the metrics that are sampled rather than
// counted, until ctx is cancelled.
func (d *Daemon) updateGauges(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		d.burnGauges.update(d.Burn.Totals())
		known, _ := d.Suspects.Snapshot()
		d.Metrics.Scope.Gauge("suspects").Update(float64(len(known)))
		view := d.loop.View()
		d.Metrics.Scope.Gauge("config_revision").Update(float64(view.Config.Revision))
		d.Metrics.Scope.Gauge("requests_in_progress").Update(float64(d.callerServer.ActiveRequests()))
		d.Metrics.Scope.Gauge("sidecar_connections").Update(float64(d.connections.Len()))
		for name, pool := range view.Pools {
			scope := d.Metrics.Scope.Tagged(map[string]string{"pool": name})
			scope.Gauge("endpoints").Update(float64(len(pool.Endpoints)))
			scope.Gauge("usable_endpoints").Update(float64(pool.UsableCount()))
		}
	}
}
