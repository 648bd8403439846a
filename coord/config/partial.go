package config

import (
	"maps"
	"strings"

	"siskinstand.example/coord/inifile"
)

// Kinds of sections that a partial rebuild knows.
const (
	kindAccount = "account"
	kindZone    = "zone"
	kindHost    = "host"
)

// independent reports whether the rows can change without a check of others:
// zones and hosts stand for themselves, and no route loses an account that is
// only set. Pools, routes and deleted accounts need a full rebuild.
func independent(rows []RowEdit) bool {
	for _, r := range rows {
		kind, _, _ := strings.Cut(r.Section, " ")
		switch {
		case r.Table == TablePools && (kind == kindZone || kind == kindHost):
		case r.Table == TableRoutes && kind == kindAccount && r.Text != "":
		default:
			return false
		}
	}
	return true
}

// rebuilt returns the tables after changes of independent rows; after holds the
// rows of the new document. A full rebuild of 15,000 accounts for a change of
// one row took most of the time of a change. It returns false if a row is not
// valid; the full rebuild then gives the error.
func (t *Tables) rebuilt(edits []RowEdit, after map[RowID]row) (*Tables, bool) {
	next := *t
	next.accounts, next.byToken = maps.Clone(t.accounts), maps.Clone(t.byToken)
	next.zones, next.hosts = maps.Clone(t.zones), maps.Clone(t.hosts)
	for _, r := range edits {
		next.remove(r.Section)
	}
	for _, r := range edits {
		if r.Text != "" && !next.set(r.Table, after[r.RowID]) {
			return nil, false
		}
	}
	return &next, true
}

// remove forgets a section before it is set again.
func (t *Tables) remove(section string) {
	kind, name, _ := strings.Cut(section, " ")
	switch kind {
	case kindZone:
		delete(t.zones, name)
	case kindHost:
		delete(t.hosts, name)
	case kindAccount:
		for _, token := range t.accounts[name].Tokens {
			if t.byToken[token] == name {
				delete(t.byToken, token)
			}
		}
		delete(t.accounts, name)
	}
}

// set adds one section with the checks of a full rebuild.
func (t *Tables) set(table Table, r row) bool {
	kinds := map[string]func(*reader){kindAccount: t.addAccount}
	if table == TablePools {
		kinds = map[string]func(*reader){kindZone: t.addZone, kindHost: t.addHost}
	}
	return addSections(string(table), []inifile.Section{r.section}, kinds) == nil
}
