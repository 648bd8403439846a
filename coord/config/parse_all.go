package config

import (
	"cmp"
	"slices"
	"strings"

	"siskinstand.example/coord/inifile"
)

// Rows lists the rows of both tables in the order in which routes match.
type Rows struct {
	Accounts []Account
	Routes   []Route
	Pools    []Pool
	Zones    []string
	Hosts    []string
	ZonesOut map[string]bool
}

// ParseAll parses both tables like Parse but collects all errors. Rows with errors are
// included with default values for what could not be read. Routes are in the order of
// their names, as in the tables that processes build from the store.
func ParseAll(routes, pools File) (Rows, []error) {
	poolSections, errs := inifile.ParseAll(pools.Name, pools.Text)
	routeSections, routeErrs := inifile.ParseAll(routes.Name, routes.Text)
	errs = append(errs, routeErrs...)
	for _, list := range [][]inifile.Section{poolSections, routeSections} {
		slices.SortStableFunc(list, func(a, b inifile.Section) int { return cmp.Compare(a.Name, b.Name) })
	}
	t := newTables()
	collect := func(err error) { errs = append(errs, err) }
	addAllSections(pools.Name, poolSections, t.poolKinds(), collect)
	addAllSections(routes.Name, routeSections, t.routeKinds(), collect)
	return t.rows(poolSections, routeSections), errs
}

func addAllSections(file string, sections []inifile.Section, kinds map[string]func(*sectionReader), collect func(error)) {
	sortAccountsFirst(sections)
	for _, s := range sections {
		if err := addSection(file, s, kinds, collect); err != nil {
			collect(err)
		}
	}
}

func (t *Tables) rows(poolSections, routeSections []inifile.Section) Rows {
	r := Rows{ZonesOut: map[string]bool{}, Pools: t.Pools()}
	for _, s := range poolSections {
		kind, name, _ := strings.Cut(s.Name, " ")
		switch _, known := t.hosts[name]; {
		case kind == "zone" && t.zones[name] != "":
			r.Zones = append(r.Zones, name)
			r.ZonesOut[name] = t.IsZoneOut(name)
		case kind == "host" && known:
			r.Hosts = append(r.Hosts, name)
		}
	}
	for _, s := range routeSections {
		kind, name, _ := strings.Cut(s.Name, " ")
		if a, ok := t.accounts[name]; ok && kind == "account" {
			r.Accounts = append(r.Accounts, a)
		}
		if route, ok := t.byName[name]; ok && kind == "route" {
			r.Routes = append(r.Routes, route)
		}
	}
	return r
}
