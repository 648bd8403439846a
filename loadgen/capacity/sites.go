package capacity

import (
	"context"
	"slices"
)

// siteSizes are the processes in all, stand-ins included.
var siteSizes = []int{25, 50, 100}

const processSection = "Control in real processes, idle of traffic"

func (r *runner) sites(ctx context.Context) error {
	for _, n := range siteSizes {
		f, err := measureSite(ctx, r.Config, n)
		if err != nil {
			return err
		}
		r.measured = append(r.measured, f)
	}
	byStreams := func(f siteFigures) float64 { return float64(f.sidecars) }
	byGateways := func(f siteFigures) float64 { return float64(f.gateways) }
	gateway := func(name, unit string, limit float64, remedy string, value func(siteFigures) float64) Row {
		return r.siteRow(Row{Name: "gateway: " + name, Unit: unit, Scale: "control streams", Design: designStreams, Limit: limit, Remedy: remedy}, byStreams, value)
	}
	sidecar := func(name, unit string, limit float64, value func(siteFigures) float64) {
		r.siteRow(Row{Name: "sidecar: " + name, Unit: unit, Scale: "gateways with a stream", Design: gatewaysPerSidecar, Limit: limit, Remedy: "fewer control streams"}, byGateways, value)
	}
	r.idleCPU = gateway("processor time", "% of a core", limitCPU, "fewer control streams", func(f siteFigures) float64 { return f.gateway.cpu })
	r.idleMemory = gateway("resident memory", "MB", limitMemory, "fewer control streams", func(f siteFigures) float64 { return f.gateway.memory })
	gateway("control without changes", "KB/s", limitBytes, reportRemedy, func(f siteFigures) float64 { return f.gateway.bytes })
	gateway("control at 0.57 changes/s", "KB/s", limitBytes, reportRemedy, func(f siteFigures) float64 { return f.slowGateway.bytes })
	gateway("control for a change in a burst", "KB", 0, "", func(f siteFigures) float64 { return f.burstGateway.bytes / f.burstReached })
	gateway("processor time for a change in a burst", "ms", 0, "", func(f siteFigures) float64 { return f.burstGateway.cpu * 10 / f.burstReached })
	sidecar("processor time", "% of a core", limitCPU, func(f siteFigures) float64 { return f.sidecar.cpu })
	sidecar("resident memory", "MB", limitMemory, func(f siteFigures) float64 { return f.sidecar.memory })
	sidecar("control without changes", "KB/s", limitBytes, func(f siteFigures) float64 { return f.sidecar.bytes })
	sidecar("control at 0.57 changes/s", "KB/s", limitBytes, func(f siteFigures) float64 { return f.slowSidecar.bytes })
	r.inForceRows()
	return nil
}

// reportRemedy is what would carry the bytes of control streams.
const reportRemedy = "shorter reports while nothing changes, and slices only to endpoints that they change"

func (r *runner) siteRow(row Row, x, y func(siteFigures) float64) Row {
	row.Section = processSection
	for _, f := range r.measured {
		row.Points = append(row.Points, Point{x(f), y(f)})
	}
	return r.add(row.Fit())
}

// inForceRows shows the largest site; the time grows with the logarithm of the
// gateways, so a line would not project it. Virtual time covers 380 gateways.
func (r *runner) inForceRows() {
	byProcesses := func(f siteFigures) float64 { return float64(f.gateways + f.sidecars) }
	largest := r.measured[len(r.measured)-1]
	row := Row{Unit: "s", Scale: "processes of ours", Design: byProcesses(largest), Limit: limitInForce, Remedy: "a larger fan-out"}
	row.Name = "change in force everywhere, longest at 0.57 changes/s"
	r.siteRow(row, byProcesses, func(f siteFigures) float64 { return slices.Max(f.slow) })
	r.siteRow(Row{Name: "changes a second reached in the burst of 50", Unit: "changes/s", Scale: "processes of ours", Design: byProcesses(largest)},
		byProcesses, func(f siteFigures) float64 { return f.burstReached })
	row.Name = "change in force everywhere, longest of the sampled at 50 changes/s"
	r.siteRow(row, byProcesses, func(f siteFigures) float64 { return slices.Max(f.burst) })
}

// storeCalls projects the calls of all roles on the store.
func (r *runner) storeCalls() {
	const section = "Key-value store"
	byZones := func(name string, count func(siteFigures) float64) Row {
		row := Row{Section: section, Name: name, Unit: "calls/s", Scale: "zones", Design: designZones}
		for _, f := range r.measured {
			row.Points = append(row.Points, Point{float64(f.zones), count(f)})
		}
		return r.add(row.Fit())
	}
	waiting := byZones("watches that wait at once", func(f siteFigures) float64 { return float64(f.store.MaxWatches) })
	byZones("reads without changes", func(f siteFigures) float64 { return float64(f.store.Ranges) / f.perStore })
	renewals := byZones("lease renewals", func(f siteFigures) float64 { return float64(f.store.KeepAlives) / f.perStore })
	// Each reader makes one watch and reads one shard for a change; the edit
	// writes a shard and the head and deletes the old shard, which it reads.
	const readsPerReader, readsPerEdit, writesPerEdit = 2, 1, 3
	// Each gateway reads the key of the budget's lease every 17.5 s on average;
	// renewals without changes include the holder's.
	const budgetReads = designGateways / 17.5
	reads := waiting.Value + changeRate*(readsPerReader*designZones+readsPerEdit) + budgetReads
	writes := renewals.Value + changeRate*writesPerEdit + r.claimWrites.Value
	r.add(Row{Section: section, Name: "all reads, waiting watches included", Unit: "calls/s", Kind: Projected, Value: reads, Limit: limitReads, Remedy: "fewer readers"})
	r.add(Row{Section: section, Name: "all writes", Unit: "calls/s", Kind: Projected, Value: writes, Limit: limitWrites, Remedy: "a longer batch of claims"})
}

// gcFactor is how much more than its live heap a Go process keeps by default.
const gcFactor = 2

// daemonRows sums what a gateway needs at the design size.
func (r *runner) daemonRows() {
	const section = "A gateway at the design size"
	// A millisecond for each change is a tenth of a percent at one change a
	// second.
	cpu := func(change Row) float64 { return r.idleCPU.Value + changeRate*(change.Value+r.rebuild.Value)/10 }
	start, _ := fitLine(r.startMemory.Points)
	tables := r.startMemory.Value - start
	view := gcFactor * r.viewHeap.Value
	idle := r.idleMemory.Value + tables + view
	r.add(Row{Section: section, Name: "processor time: streams, 0.57 changes/s of 15,000 accounts, views of 12,000 endpoints", Unit: "% of a core",
		Kind: Projected, Value: cpu(r.apply), Limit: limitCPU, Remedy: "a parse and a view that change only the rows of the change"})
	r.add(Row{Section: section, Name: "processor time of a zone's reader, the same", Unit: "% of a core",
		Kind: Projected, Value: cpu(r.read), Limit: limitCPU, Remedy: "a document made of the changed shards only"})
	r.add(Row{Section: section, Name: "memory: 128 streams, tables and views", Unit: "MB", Kind: Projected, Value: idle, Limit: limitMemory,
		Remedy: "fewer copies of the rows"})
	r.add(Row{Section: section, Name: "memory with 1,024 open connections to sidecars and 379 to gateways", Unit: "MB", Kind: Projected,
		Value: idle + r.connectionMemory.Value, Limit: limitMemory, Remedy: "a lower [sidecars] connections"})
	r.add(Row{Section: section, Name: "reads of the host list by all gateways (one a second each)", Unit: "calls/s", Kind: Projected, Value: designGateways})
}
