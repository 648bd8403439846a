package capacity

import "time"

// The design size of docs/design.md, section 1.
const (
	designGateways      = 380
	designEndpoints     = 12_000
	designAccounts      = 15_000
	designModels        = 20
	designRegions       = 3
	designZones         = 10
	designChangesPerDay = 49_000
	designStreams       = 128
	designConnections   = 1_024
	secondsPerDay       = 24 * 60 * 60
	changeRate          = float64(designChangesPerDay) / secondsPerDay
	// burstRate stands for a burst of changes, far above the rate of a day.
	burstRate = 50.0
	// gatewaysPerSidecar is how many gateways have a control stream to a
	// sidecar on average.
	gatewaysPerSidecar = float64(designGateways*designStreams) / designEndpoints
	// zoneEndpoints return with a zone.
	zoneEndpoints = designEndpoints / designZones
	// replacementInterval: 130 failed and 960 replaced hosts a day.
	replacementInterval = secondsPerDay * time.Second / (130 + 960)
)

// Limits of control for one daemon, and of the store.
const (
	limitCPU        = 3.9 // % of a core
	limitMemory     = 128 // MB
	limitBytes      = 5.0 // KB/s, sent and received
	limitInForce    = 15  // s
	limitReads      = 2_000
	limitWrites     = 300 // "several hundred" a second
	limitValueBytes = 1 << 20
	limitChoice     = 10 // µs for 1,000 endpoints
)

// Units.
const (
	kilobyte = 1_000.0
	megabyte = 1_000_000.0
)
