package capacity

import "time"

// The design size from docs/design.md, section 1.
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
	// burstRate is the changes per second of a burst, far above the daily mean.
	burstRate = 50.0
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
	limitCPU            = 3.9   // % of a core
	limitMemory         = 128   // MB
	limitBytes          = 5.0   // KB/s, sent and received
	limitInForce        = 15    // s
	limitReads          = 2_000 // per second
	limitWrites         = 300   // per second; the requirement is "several hundred"
	limitValueBytes     = 1 << 20
	limitEndpointChoice = 10 // µs with 1,000 endpoints
)

// Decimal units, in bytes.
const (
	kilobyte = 1_000.0
	megabyte = 1_000_000.0
)
