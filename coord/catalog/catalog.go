// Package catalog provides lookups in the operators' configuration for entry hosts:
// the route of a request, the services that answer it, and the client account that
// owns an API key.
package catalog

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// RepeatPolicy determines how often a request of a route may run.
type RepeatPolicy string

// Repeat policies of routes.
const (
	// RepeatAllowed permits a request to run more than once.
	RepeatAllowed RepeatPolicy = "allowed"
	// RepeatNever permits a request to run at most once.
	RepeatNever RepeatPolicy = "never"
	// RepeatStream marks streams, which run once unless the route is resumable.
	RepeatStream RepeatPolicy = "stream"
)

// WeightedService is a service that receives a share of a route's traffic in
// proportion to its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat RepeatPolicy
	// Timeout is the maximum time until the complete response; 0 means that only the
	// caller's or the default time limit applies.
	Timeout time.Duration
	// Objective is the target time to the response or, for streams, to the
	// first event. A later response is worth less.
	Objective time.Duration
	// GapObjective is the target maximum time between events of a stream.
	GapObjective time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority     int
	MaxAttempts  int
	TrafficSplit []WeightedService
	// Public routes require no API key.
	Public bool
	// HasPrompt reports whether requests carry prompts with token counts.
	HasPrompt bool
	// Resumable reports whether streams may be continued by another replica.
	Resumable bool
	// Regions are the regions in which requests may be processed; empty means all.
	Regions []string
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Repeat == RepeatAllowed || r.Repeat == RepeatStream && r.Resumable
}

// ServiceAt returns the service that covers the given point in [0, 1) when the
// services divide this range in proportion to their weights.
func (r *Route) ServiceAt(point float64) string {
	total := 0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.TrafficSplit {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.TrafficSplit) == 0 {
		return ""
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// Engine holds the configured capacity and speed of a model replica.
type Engine struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// MemoryTokens is the capacity of the KV cache in tokens.
	MemoryTokens int
	// StepTime is the base time of one decode step. Each decoding request adds
	// StepTimePerRequest, each token of their contexts StepNanosPerContextToken.
	StepTime                 time.Duration
	StepTimePerRequest       time.Duration
	StepNanosPerContextToken float64
	// PrefillTokensPerSecond is the prefill rate, not including the attention cost
	// in NanosPerTokenPair.
	PrefillTokensPerSecond float64
	// NanosPerTokenPair is the additional prefill time for each pair of a prompt
	// token and an earlier token.
	NanosPerTokenPair float64
	// PrefillChunkTokens is the maximum number of prompt tokens processed in one
	// step.
	PrefillChunkTokens int
	// StepsPerPass is the number of steps in a pass, the work of a decoding replica
	// between two events of a stream.
	StepsPerPass int
	// GroupStepTime is the additional time of each step for a prompt that is split
	// over several replicas. Placement does not use it.
	GroupStepTime time.Duration
	// MeanPromptTokens and MeanAnswerTokens are the mean token counts of prompts and
	// answers.
	MeanPromptTokens int
	MeanAnswerTokens int
	// Delays holds the one-way delays between availability zones.
	Delays map[ZonePair]time.Duration
}

// ZonePair is a direction between two availability zones.
type ZonePair struct{ From, To string }

// RoundTrip returns the round trip time between two availability zones, or 0 if it is not
// configured. If only one direction is configured, the other one counts as equal.
func (e *Engine) RoundTrip(a, b string) time.Duration {
	there, knowsThere := e.Delays[ZonePair{a, b}]
	back, knowsBack := e.Delays[ZonePair{b, a}]
	if !knowsThere {
		there = back
	}
	if !knowsBack {
		back = there
	}
	return there + back
}

// Service is a set of replicas that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdDuration is the warm-up time of a replica after its start. During it, the
	// replica accepts up to ColdRequestsPerSecond; 0 means no limit.
	ColdDuration          time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is set.
	Priority *int
	Regions  []string
}

// Limits holds size and time limits of incoming requests. They can only lower the
// limits in the settings of an entry host; 0 leaves those unchanged.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is the content of a catalog.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Accounts is nil if requests require no API key.
	Accounts []Account
	Limits   Limits
}

type keyHash [sha256.Size]byte

// Catalog is an immutable index of one version of the configuration.
type Catalog struct {
	config   Config
	byHost   map[string][]*Route
	services map[string]*Service
	keys     map[keyHash]*Account
}

// New returns a catalog of the configuration.
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

// Version returns the version that the operators assigned to the configuration.
func (t *Catalog) Version() int64 { return t.config.Version }

// Limits returns the limits of incoming requests.
func (t *Catalog) Limits() Limits { return t.config.Limits }

// Counts returns the numbers of routes, services and accounts.
func (t *Catalog) Counts() (routes, services, accounts int) {
	return len(t.config.Routes), len(t.config.Services), len(t.config.Accounts)
}

// Route returns the host's route with the longest matching path prefix, or nil.
func (t *Catalog) Route(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Catalog) Service(name string) *Service { return t.services[name] }

// NeedsKey reports whether requests of the route require an API key.
func (t *Catalog) NeedsKey(r *Route) bool { return t.config.Accounts != nil && !r.Public }

// Account returns the account that owns an API key, or nil. Keys are looked up by
// their hashes, so that the response time reveals nothing about valid keys.
func (t *Catalog) Account(key string) *Account { return t.keys[sha256.Sum256([]byte(key))] }

// Services returns all services. The caller must not modify the slice.
func (t *Catalog) Services() []Service { return t.config.Services }
