package control

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/directory"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/replicaspeed"
)

// Config configures a Loop.
type Config struct {
	Name string
	// Zone is the availability zone of this host. If it is empty, reports are not
	// forwarded.
	Zone string
	// Regions holds the region of each availability zone.
	Regions     map[string]string
	RetryLimits RetryLimits
	// MinReportInterval is the shortest time between two reports.
	// FullReportInterval is the longest time between two full reports, and so between any
	// two reports, unless MaxReportsPerSecond requires more.
	MinReportInterval  time.Duration
	FullReportInterval time.Duration
	// PeerTimeout is the age beyond which the report of another host is ignored.
	PeerTimeout time.Duration
	// MaxReportsPerSecond limits the reports that this host sends to all other hosts
	// together; 0 means no limit.
	MaxReportsPerSecond float64
	// DrainQueueTime is how long requests may still wait for a replica after draining has
	// started. A request that waits longer might not finish before the shutdown.
	DrainQueueTime time.Duration
	// Directory limits for how long a replica is used whose entry has disappeared.
	Directory    directory.Policy
	ReportSender ReportSender
	// PartStore keeps the prompt parts that this host begins to refuse; nil for none.
	PartStore PartStore
	// RequestStore keeps the requests that this host begins to refuse; nil for none.
	RequestStore RequestStore
	Prober       Prober
	Placement    placement.Policy
	// CostPrediction predicts the cost of requests and uses it to choose between replicas.
	CostPrediction bool
	// Connections tells to which replicas this host has idle connections; nil if it is not to
	// be considered.
	Connections Connections
	// ConnectionLimits tells at which replicas requests wait for connections; nil if it is not
	// known.
	ConnectionLimits ConnectionLimits
	// ZoneDelays makes the configured delays between availability zones count.
	ZoneDelays bool
	// Speeds learns the speeds of replicas and zones; nil if they are not to be learned. Its
	// SpeedSection is to be one of Sections.
	Speeds *replicaspeed.Tracker
	// FairShares divides replica time between client accounts while requests compete for it.
	FairShares bool
	// Sections are the parts of the load report that features add to it.
	Sections []ReportSection
	// MaxReplicaBytes limits the bytes of the requests that all hosts have at one replica; 0
	// means no limit.
	MaxReplicaBytes int64
	// ConfirmMemory makes large prompts wait until the other hosts know of their placement, so
	// that the prompts of all hosts stay within the memory of a replica.
	ConfirmMemory bool
	// Scope receives the gauges of suspected and refused prompt parts, and of replicas that
	// leave or pause; nil for none.
	Scope tally.Scope
}
