// Package config implements the configuration that operators edit: the tables
// routes and pools, as immutable snapshots with revisions. It validates them,
// maps them to values in the key-value store and computes changes between
// revisions.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"time"
)

// Table is the name of a configuration table.
type Table string

// Names of the tables.
const (
	TableRoutes Table = "routes"
	TablePools  Table = "pools"
)

// PoolKind is the kind of service that the endpoints of a pool provide.
type PoolKind string

// Kinds of pools.
const (
	KindModel PoolKind = "model"
	KindPlain PoolKind = "plain"
)

// ZoneState determines whether an availability zone receives new work.
type ZoneState string

// States of an availability zone. A zone that is out receives no new work.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// HostState determines whether a host receives new work.
type HostState string

// States of a host. A leaving host receives no new work.
const (
	HostIn      HostState = "in"
	HostLeaving HostState = "leaving"
)

// TokenHash is the SHA-256 digest of a bearer token.
type TokenHash [sha256.Size]byte

// HashToken returns the digest under which a bearer token is stored.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// Account is a client account. Weight is its share of a contended endpoint,
// relative to other accounts.
type Account struct {
	Name   string
	Tokens []TokenHash
	Weight float64
}

// Route gives client accounts access to a model or a plain service through a
// pool.
type Route struct {
	Name string
	// Accounts may use the route; "*" stands for all accounts.
	Accounts []string
	// Exactly one of Model and Service is set.
	Model      string
	Service    string
	Pool       string
	Repeatable bool
	// DefaultTimeout applies to requests without a deadline header.
	DefaultTimeout time.Duration
}

// Pool selects the endpoints that serve a model or a plain service.
type Pool struct {
	Name string
	Kind PoolKind
	// Service selects the hosts with this service label in the host list.
	Service string
	Model   string
	// Zones restricts the pool to these availability zones; empty means all.
	Zones           []string
	MaxPromptTokens int64
}

// InZone reports whether the pool includes endpoints in the zone.
func (p Pool) InZone(zone string) bool {
	return len(p.Zones) == 0 || slices.Contains(p.Zones, zone)
}

// Tables is an immutable view of both tables.
type Tables struct {
	accounts map[string]Account
	byToken  map[TokenHash]string
	routes   map[routeKey][]Route
	byName   map[string]Route
	pools    map[string]Pool
	zones    map[string]ZoneState
	hosts    map[string]HostState
}

type routeKey struct{ model, service string }

// AccountByToken returns the account that owns the bearer token with this hash.
func (t *Tables) AccountByToken(hash TokenHash) (Account, bool) {
	name, ok := t.byToken[hash]
	if !ok {
		return Account{}, false
	}
	account := t.accounts[name]
	for _, h := range account.Tokens {
		if subtle.ConstantTimeCompare(h[:], hash[:]) == 1 {
			return account, true
		}
	}
	return Account{}, false
}

// ModelRoute returns the route through which an account may use a model.
func (t *Tables) ModelRoute(account, model string) (Route, bool) {
	return t.route(routeKey{model: model}, account)
}

// ServiceRoute returns the route through which an account may use a plain service.
func (t *Tables) ServiceRoute(account, service string) (Route, bool) {
	return t.route(routeKey{service: service}, account)
}

func (t *Tables) route(key routeKey, account string) (Route, bool) {
	for _, r := range t.routes[key] {
		if r.allows(account) {
			return r, true
		}
	}
	return Route{}, false
}

func (r Route) allows(account string) bool {
	return slices.Contains(r.Accounts, "*") || slices.Contains(r.Accounts, account)
}

// Models returns the models that an account may use, sorted by name.
func (t *Tables) Models(account string) []string {
	var models []string
	for key, routes := range t.routes {
		if key.model != "" && slices.ContainsFunc(routes, func(r Route) bool { return r.allows(account) }) {
			models = append(models, key.model)
		}
	}
	slices.Sort(models)
	return models
}

// Pool returns the pool with the given name.
func (t *Tables) Pool(name string) (Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns all pools sorted by name.
func (t *Tables) Pools() []Pool {
	list := make([]Pool, 0, len(t.pools))
	for _, p := range t.pools {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Pool) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// IsZoneOut reports whether operators have taken the zone out of service.
func (t *Tables) IsZoneOut(zone string) bool { return t.zones[zone] == ZoneOut }

// IsHostLeaving reports whether operators have marked the host as leaving service.
func (t *Tables) IsHostLeaving(host string) bool { return t.hosts[host] == HostLeaving }

// AccountCount returns the number of client accounts.
func (t *Tables) AccountCount() int { return len(t.accounts) }

// Snapshot is the configuration at one revision.
type Snapshot struct {
	Revision uint64
	Tables   *Tables
}
