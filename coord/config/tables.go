// Package config holds the operators' two tables, routes and pools, as
// immutable snapshots with revisions.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"time"
)

// Table names one of the two tables.
type Table string

// The tables.
const (
	TableRoutes Table = "routes"
	TablePools  Table = "pools"
)

// PoolKind says what stands behind a pool.
type PoolKind string

// The kinds of pools.
const (
	KindModel PoolKind = "model"
	KindPlain PoolKind = "plain"
)

// ZoneState says whether an availability zone takes new work.
type ZoneState string

// The states of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// HostState says whether a host takes new work.
type HostState string

// The states of a host.
const (
	HostIn      HostState = "in"
	HostLeaving HostState = "leaving"
)

// TokenHash is the SHA-256 digest of a bearer token.
type TokenHash [sha256.Size]byte

// HashToken returns the digest under which a bearer token is stored.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// Account is one client account. Weight is its share of a contended endpoint
// relative to other accounts.
type Account struct {
	Name   string
	Tokens []TokenHash
	Weight float64
}

// Route says which client accounts reach a model or a plain service.
type Route struct {
	Name string
	// Accounts that may use the route; a single "*" means all.
	Accounts []string
	// Exactly one of Model and Service is set.
	Model      string
	Service    string
	Pool       string
	Repeatable bool
	Timeout    time.Duration
}

// Pool says which endpoints stand behind a model or plain service.
type Pool struct {
	Name string
	Kind PoolKind
	// Service is the label in the host list that the pool chooses by.
	Service string
	Model   string
	// Zones restricts the pool; empty means all zones.
	Zones           []string
	MaxPromptTokens int64
}

// InZone reports whether the pool reaches endpoints in the zone.
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

// AccountByToken finds the account of a bearer token's digest.
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

// ModelRoute finds the route by which an account reaches a model.
func (t *Tables) ModelRoute(account, model string) (Route, bool) {
	return t.route(routeKey{model: model}, account)
}

// ServiceRoute finds the route by which an account reaches a plain service.
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

// Models lists the models that an account reaches, in order.
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

// Pools lists all pools by name.
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

// ZoneOut reports whether operators have taken the zone out of service.
func (t *Tables) ZoneOut(zone string) bool { return t.zones[zone] == ZoneOut }

// HostLeaving reports whether operators have marked the host as leaving.
func (t *Tables) HostLeaving(host string) bool { return t.hosts[host] == HostLeaving }

// AccountCount returns the number of client accounts.
func (t *Tables) AccountCount() int { return len(t.accounts) }

// Snapshot is a configuration in force.
type Snapshot struct {
	Revision uint64
	Tables   *Tables
}
