package capacity

import "time"

// The design size from docs/design.md, section 1.
const (
	designGateways       = 380
	designEndpoints      = 12_000
	designAccounts       = 15_000
	designModels         = 20
	designRegions        = 3
	designZones          = 10
	designChangesPerDay  = 49_000
	designStreams        = 128
	designConnections    = 1_024
	secondsPerDay        = 24 * 60 * 60
	meanChangesPerSecond = float64(designChangesPerDay) / secondsPerDay
	// burstChangesPerSecond is far above the daily mean.
	burstChangesPerSecond = 50.0
	// gatewaysPerSidecar is the mean number of gateways with a control stream to a
	// sidecar.
	gatewaysPerSidecar = float64(designGateways*designStreams) / designEndpoints
	// designZoneEndpoints is the number of endpoints that return with an
	// availability zone.
	designZoneEndpoints = designEndpoints / designZones
	// replacementInterval assumes 130 failed and 960 replaced hosts per day.
	replacementInterval = secondsPerDay * time.Second / (130 + 960)
)

// Limits for the control work of one gateway or sidecar, for the time until a change
// is in force or a gateway is ready, and for the store.
const (
	limitCPUPercent     = 3.9 // of a core
	limitMemoryMB       = 128
	limitKBPerSecond    = 5.0 // sent and received
	limitInForceSeconds = 15
	limitReadsPerSecond = 2_000
	// The requirement for the writes is "several hundred".
	limitWritesPerSecond      = 300
	limitValueBytes           = 1 << 20
	limitEndpointChoiceMicros = 10 // with 1,000 endpoints
)

// Decimal units, in bytes.
const (
	kilobyte = 1_000.0
	megabyte = 1_000_000.0
)
