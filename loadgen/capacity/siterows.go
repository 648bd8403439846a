package capacity

import (
	"context"
	"slices"
)

// siteSizes are the total numbers of processes, fakes included.
var siteSizes = []int{25, 50, 100}

const processSection = "Control in real processes, idle of traffic"

func (r *runner) addSiteRows(ctx context.Context) error {
	for _, n := range siteSizes {
		m, err := measureSite(ctx, r.Config, n)
		if err != nil {
			return err
		}
		r.siteResults = append(r.siteResults, m)
	}
	byStreams := func(m siteMeasurements) float64 { return float64(m.sidecars) }
	byGateways := func(m siteMeasurements) float64 { return float64(m.gateways) }
	gateway := func(name, unit string, limit float64, remedy string, value func(siteMeasurements) float64) Row {
		return r.addSiteRow(Row{Name: "gateway: " + name, Unit: unit, XUnit: "control streams", DesignX: designStreams, Limit: limit, Remedy: remedy}, byStreams, value)
	}
	sidecar := func(name, unit string, limit float64, value func(siteMeasurements) float64) {
		r.addSiteRow(Row{Name: "sidecar: " + name, Unit: unit, XUnit: "gateways with a stream", DesignX: gatewaysPerSidecar, Limit: limit, Remedy: "fewer control streams"}, byGateways, value)
	}
	r.idleCPU = gateway("processor time", "% of a core", limitCPUPercent, "fewer control streams", func(m siteMeasurements) float64 { return m.idleGateway.cpuPercent })
	r.idleMemory = gateway("resident memory", "MB", limitMemoryMB, "fewer control streams", func(m siteMeasurements) float64 { return m.idleGateway.memoryMB })
	gateway("control without changes", "KB/s", limitKBPerSecond, reportRemedy, func(m siteMeasurements) float64 { return m.idleGateway.controlKBPerSecond })
	gateway("control at 0.57 changes/s", "KB/s", limitKBPerSecond, reportRemedy, func(m siteMeasurements) float64 { return m.dailyRateGateway.controlKBPerSecond })
	gateway("control for a change in a burst", "KB", 0, "", func(m siteMeasurements) float64 { return m.burstGateway.controlKBPerSecond / m.burstMeanRate })
	gateway("processor time for a change in a burst", "ms", 0, "", func(m siteMeasurements) float64 { return m.burstGateway.cpuPercent * 10 / m.burstMeanRate })
	sidecar("processor time", "% of a core", limitCPUPercent, func(m siteMeasurements) float64 { return m.idleSidecar.cpuPercent })
	sidecar("resident memory", "MB", limitMemoryMB, func(m siteMeasurements) float64 { return m.idleSidecar.memoryMB })
	sidecar("control without changes", "KB/s", limitKBPerSecond, func(m siteMeasurements) float64 { return m.idleSidecar.controlKBPerSecond })
	sidecar("control at 0.57 changes/s", "KB/s", limitKBPerSecond, func(m siteMeasurements) float64 { return m.dailyRateSidecar.controlKBPerSecond })
	r.addInForceRows()
	return nil
}

// reportRemedy is the remedy for too much control stream traffic.
const reportRemedy = "shorter reports while nothing changes, and slices only to endpoints that they change"

func (r *runner) addSiteRow(row Row, x, y func(siteMeasurements) float64) Row {
	row.Section = processSection
	for _, m := range r.siteResults {
		row.Points = append(row.Points, Point{x(m), y(m)})
	}
	return r.add(row.Fit())
}

// addInForceRows shows the times at the largest site. They grow with the logarithm
// of the number of gateways, so a line can't project them; the virtual-time
// simulation covers 380 gateways.
func (r *runner) addInForceRows() {
	byProcesses := func(m siteMeasurements) float64 { return float64(m.gateways + m.sidecars) }
	largest := r.siteResults[len(r.siteResults)-1]
	row := Row{Unit: "s", XUnit: "processes of ours", DesignX: byProcesses(largest), Limit: limitInForceSeconds, Remedy: "a larger fan-out"}
	row.Name = "change in force everywhere, longest at 0.57 changes/s"
	r.addSiteRow(row, byProcesses, func(m siteMeasurements) float64 { return slices.Max(m.dailyRateInForce) })
	r.addSiteRow(Row{Name: "changes a second reached in the burst of 50", Unit: "changes/s", XUnit: "processes of ours", DesignX: byProcesses(largest)},
		byProcesses, func(m siteMeasurements) float64 { return m.achievedBurstRate })
	row.Name = "change in force everywhere, longest of the sampled at 50 changes/s"
	r.addSiteRow(row, byProcesses, func(m siteMeasurements) float64 { return slices.Max(m.burstInForce) })
}

// addStoreRows projects the store calls of all roles.
func (r *runner) addStoreRows() {
	const section = "Key-value store"
	byZones := func(name string, count func(siteMeasurements) float64) Row {
		row := Row{Section: section, Name: name, Unit: "calls/s", XUnit: "zones", DesignX: designZones}
		for _, m := range r.siteResults {
			row.Points = append(row.Points, Point{float64(m.zones), count(m)})
		}
		return r.add(row.Fit())
	}
	waiting := byZones("watches that wait at once", func(m siteMeasurements) float64 { return float64(m.storeCalls.MaxWatches) })
	byZones("reads without changes", func(m siteMeasurements) float64 { return float64(m.storeCalls.Ranges) / m.storeSeconds })
	renewals := byZones("lease renewals", func(m siteMeasurements) float64 { return float64(m.storeCalls.KeepAlives) / m.storeSeconds })
	// For each change, every reader makes one watch call and reads one shard. The
	// edit writes a shard and the head, and reads and deletes the old shard.
	const readsPerReader, readsPerEdit, writesPerEdit = 2, 1, 3
	// Each gateway reads the lease key of the budget every 17.5 s on average. The
	// measured renewals already include those of the lease holder.
	const budgetReads = designGateways / 17.5
	reads := waiting.Value + meanChangesPerSecond*(readsPerReader*designZones+readsPerEdit) + budgetReads
	writes := renewals.Value + meanChangesPerSecond*writesPerEdit + r.claimWrites.Value
	r.add(Row{Section: section, Name: "all reads, waiting watches included", Unit: "calls/s", Kind: Projected, Value: reads, Limit: limitReadsPerSecond, Remedy: "fewer readers"})
	r.add(Row{Section: section, Name: "all writes", Unit: "calls/s", Kind: Projected, Value: writes, Limit: limitWritesPerSecond, Remedy: "a longer batch of claims"})
}

// gcFactor is the ratio of the heap size to the live heap with Go's default
// garbage collector settings.
const gcFactor = 2

// addGatewayRows projects the total resources of a gateway at the design size.
func (r *runner) addGatewayRows() {
	const section = "A gateway at the design size"
	// One millisecond per change is a tenth of a percent of a core at one change
	// per second.
	cpu := func(change Row) float64 {
		return r.idleCPU.Value + meanChangesPerSecond*(change.Value+r.viewRebuild.Value)/10
	}
	intercept, _ := fitLine(r.startMemory.Points)
	tables := r.startMemory.Value - intercept
	view := gcFactor * r.viewHeap.Value
	idle := r.idleMemory.Value + tables + view
	r.add(Row{Section: section, Name: "processor time: streams, 0.57 changes/s of 15,000 accounts, views of 12,000 endpoints", Unit: "% of a core",
		Kind: Projected, Value: cpu(r.gatewayApply), Limit: limitCPUPercent, Remedy: "a parse and a view that change only the rows of the change"})
	r.add(Row{Section: section, Name: "processor time of a zone's reader, the same", Unit: "% of a core",
		Kind: Projected, Value: cpu(r.readerApply), Limit: limitCPUPercent, Remedy: "a document made of the changed shards only"})
	r.add(Row{Section: section, Name: "memory: 128 streams, tables and views", Unit: "MB", Kind: Projected, Value: idle, Limit: limitMemoryMB,
		Remedy: "fewer copies of the rows"})
	r.add(Row{Section: section, Name: "memory with 1,024 open connections to sidecars and 379 to gateways", Unit: "MB", Kind: Projected,
		Value: idle + r.connectionMemory.Value, Limit: limitMemoryMB, Remedy: "a lower [sidecars] connections"})
	r.add(Row{Section: section, Name: "reads of the host list by all gateways (one a second each)", Unit: "calls/s", Kind: Projected, Value: designGateways})
}
