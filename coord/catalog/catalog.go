// Package catalog is the operators' configuration as entry hosts use it: which
// route a request takes, which service answers it, and which client account a
// key belongs to. A Catalog is immutable.
package catalog

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// RepeatPolicy says how often a request of a route may run.
type RepeatPolicy string

// The kinds of routes.
const (
	// RepeatAllowed is a request that may run more than once.
	RepeatAllowed RepeatPolicy = "allowed"
	// RepeatNever is a request that may run at most once.
	RepeatNever RepeatPolicy = "never"
	// RepeatStream is a stream, which runs once unless it can be resumed.
	RepeatStream RepeatPolicy = "stream"
)

// WeightedService is the weight of one service in the traffic of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says which service answers the requests of a host and path.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat RepeatPolicy
	// Timeout is the longest time that a caller waits for the whole answer.
	Timeout time.Duration
	// Objective is the time to the answer, of streams to the first event, that
	// earns full credit.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream.
	GapObjective time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority     int
	MaxAttempts  int
	TrafficSplit []WeightedService
	// Public routes need no key.
	Public bool
	// HasPrompt routes carry prompts with token counts.
	HasPrompt bool
	// Resumable streams may continue at another replica.
	Resumable bool
	// Regions are the regions that may see a request; empty allows all.
	Regions []string
}

// Repeatable reports whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.Repeat == RepeatAllowed || r.Repeat == RepeatStream && r.Resumable
}

// ServiceAt returns the service for a point in [0, 1) of the route's weights.
func (r *Route) ServiceAt(point float64) string {
	total := 0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	rest := point * float64(total)
	for _, s := range r.TrafficSplit {
		rest -= float64(s.Weight)
		if rest < 0 {
			return s.Service
		}
	}
	if len(r.TrafficSplit) == 0 {
		return ""
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// Engine holds the speeds that the configuration states for a model replica.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MemoryTokens is the memory of a replica in tokens.
	MemoryTokens int
	// StepTime is the time of one token step, PerRequest what each writing request
	// adds to it, and PerContext what each token of their contexts adds.
	StepTime                 time.Duration
	StepTimePerRequest       time.Duration
	StepNanosPerContextToken float64 // nanoseconds a token
	// PrefillTokensPerSecond is the number of prompt tokens read in a second.
	PrefillTokensPerSecond float64
	// NanosPerTokenPair is the reading time of a pair of a token and an earlier token.
	NanosPerTokenPair float64 // nanoseconds a pair
	// PrefillChunkTokens is the largest number of prompt tokens in one pass.
	PrefillChunkTokens int
	// StepsPerPass is the number of steps of a pass with writers.
	StepsPerPass int
	// GroupStepTime is what a prompt on several replicas adds to each step.
	GroupStepTime time.Duration
	// MeanPromptTokens and UsualAnswer are mean token counts.
	MeanPromptTokens int
	MeanAnswerTokens int
}

// Service is a set of replicas that answer the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdDuration is the time for which a replica is cold after its start, and
	// ColdPerSecond the requests a second that it bears meanwhile; 0 is no limit.
	ColdDuration          time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's priority if it is set.
	Priority *int
	Regions  []string
}

// Limits bound what a caller may send; zero is no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config holds the rows of a catalog.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Accounts is nil if requests need no key.
	Accounts []Account
	Limits   Limits
}

type keyHash [sha256.Size]byte

// Catalog answers look-ups in one version of the configuration.
type Catalog struct {
	config   Config
	byHost   map[string][]*Route
	services map[string]*Service
	keys     map[keyHash]*Account
}

// New indexes the rows of a configuration.
func New(c Config) *Catalog {
	t := &Catalog{config: c, byHost: map[string][]*Route{}, services: map[string]*Service{}, keys: map[keyHash]*Account{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			t.keys[sha256.Sum256([]byte(key))] = &c.Accounts[i]
		}
	}
	return t
}

// Version is the version that the operators gave the configuration.
func (t *Catalog) Version() int64 { return t.config.Version }

// Limits returns what callers may send.
func (t *Catalog) Limits() Limits { return t.config.Limits }

// Counts returns the numbers of routes, services and accounts.
func (t *Catalog) Counts() (routes, services, accounts int) {
	return len(t.config.Routes), len(t.config.Services), len(t.config.Accounts)
}

// Route returns the route with the longest prefix of the path, or nil.
func (t *Catalog) Route(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, or nil.
func (t *Catalog) Service(name string) *Service { return t.services[name] }

// NeedsKey reports whether a request on the route needs a key.
func (t *Catalog) NeedsKey(r *Route) bool { return t.config.Accounts != nil && !r.Public }

// Account returns the account of a key, or nil. Keys are compared by their
// hashes, so that the time of a comparison tells nothing of a key.
func (t *Catalog) Account(key string) *Account { return t.keys[sha256.Sum256([]byte(key))] }

// Services returns the services. The caller must not change them.
func (t *Catalog) Services() []Service { return t.config.Services }
