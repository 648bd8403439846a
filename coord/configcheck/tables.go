package configcheck

import (
	"slices"
	"time"

	"siskinstand.example/coord/config"
)

// minPrefillRate is the lowest prefill rate, in tokens per second, with which the
// longest prompt of a pool is compared with a route's time limit. The slowest engines
// in use prefill 154,000 tokens per second, so this leaves a factor of 1.5.
const minPrefillRate = 100_000

// CheckTables reports the mistakes in both tables that their parser accepts.
func CheckTables(routesFile, poolsFile string, t config.Rows, hosts Hosts) []Finding {
	routes, pools := &report{file: routesFile}, &report{file: poolsFile}
	checkRouteOrder(routes, t.Routes)
	for _, a := range t.Accounts {
		if !slices.ContainsFunc(t.Routes, func(r config.Route) bool { return allows(r, a.Name) }) {
			routes.warn("account "+a.Name, "", "no route admits this account")
		}
	}
	for _, r := range t.Routes {
		checkRouteTimeout(routes, r, t.Pools)
	}
	for _, p := range t.Pools {
		checkPool(pools, p, t, hosts)
	}
	for _, z := range t.Zones {
		if hosts.lacksZone(z) {
			pools.warn("zone "+z, "", "no host is in this zone")
		} else if len(t.Pools) > 0 && !slices.ContainsFunc(t.Pools, func(p config.Pool) bool { return p.InZone(z) }) {
			pools.warn("zone "+z, "", "no pool includes this zone")
		}
	}
	return append(pools.list, routes.list...)
}

func allows(r config.Route, account string) bool {
	return slices.Contains(r.Accounts, "*") || slices.Contains(r.Accounts, account)
}

// checkRouteOrder reports routes, or accounts of routes, whose requests all go to an
// earlier route.
func checkRouteOrder(rep *report, routes []config.Route) {
	for i, r := range routes {
		var hidden []string
		by := ""
		for _, a := range r.Accounts {
			for _, earlier := range routes[:i] {
				if earlier.Model == r.Model && earlier.Service == r.Service && allows(earlier, a) {
					hidden, by = append(hidden, a), earlier.Name
					break
				}
			}
		}
		switch section := "route " + r.Name; {
		case len(hidden) == 0:
		case len(hidden) == len(r.Accounts):
			rep.warn(section, "accounts", "the route never matches: route %q takes its requests, since routes match in the order of their names", by)
		default:
			rep.warn(section, "accounts", "route %q takes the requests of accounts %q", by, hidden)
		}
	}
}

func checkRouteTimeout(rep *report, r config.Route, pools []config.Pool) {
	i := slices.IndexFunc(pools, func(p config.Pool) bool { return p.Name == r.Pool })
	if i < 0 || r.Model == "" {
		return
	}
	prefill := time.Duration(pools[i].MaxPromptTokens) * time.Second / minPrefillRate
	if prefill > r.DefaultTimeout {
		rep.warn("route "+r.Name, "timeout_ms", "%v is too short for the longest prompt that pool %q accepts, %d tokens, at %d tokens per second",
			r.DefaultTimeout, r.Pool, pools[i].MaxPromptTokens, minPrefillRate)
	}
}

func checkPool(rep *report, p config.Pool, t config.Rows, hosts Hosts) {
	section := "pool " + p.Name
	if !slices.ContainsFunc(t.Routes, func(r config.Route) bool { return r.Pool == p.Name }) {
		rep.warn(section, "", "no route refers to this pool")
	}
	out := 0
	for i, z := range p.Zones {
		if hosts.lacksZone(z) {
			rep.warn(section, "zones", "no host is in zone %q", z)
		}
		if slices.Contains(p.Zones[:i], z) {
			rep.warn(section, "zones", "zone %q is listed twice", z)
		}
		if t.ZonesOut[z] {
			out++
		}
	}
	if out > 0 && out == len(p.Zones) {
		rep.warn(section, "zones", "all zones of the pool are out of service")
	}
}
