package config

import (
	"maps"
	"strings"

	"siskinstand.example/coord/inifile"
)

// Kinds of sections that an incremental update supports.
const (
	kindAccount = "account"
	kindZone    = "zone"
	kindHost    = "host"
)

// areIndependent reports whether the rows can change without validating other
// rows again. Zones and hosts refer to no other row, and setting an account cannot
// break a route that refers to it. Changes of pools and routes and deletions of
// accounts need a full rebuild.
func areIndependent(rows []RowEdit) bool {
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

// withIndependentEdits returns the tables after edits of independent rows; after
// holds the rows of the new document. It avoids a full rebuild, which dominated
// the time of a one-row change with 15,000 accounts. It returns false if a row is
// invalid; the caller then runs the full rebuild to get the error.
func (t *Tables) withIndependentEdits(edits []RowEdit, after map[RowID]row) (*Tables, bool) {
	next := *t
	next.accounts, next.byToken = maps.Clone(t.accounts), maps.Clone(t.byToken)
	next.zones, next.hosts = maps.Clone(t.zones), maps.Clone(t.hosts)
	for _, r := range edits {
		next.removeSection(r.Section)
	}
	for _, r := range edits {
		if r.Text != "" && !next.setSection(r.Table, after[r.RowID]) {
			return nil, false
		}
	}
	return &next, true
}

// removeSection removes a section that was deleted or is about to be set again.
func (t *Tables) removeSection(section string) {
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

// setSection adds one section with the same validation as a full rebuild. It
// reports whether the section is valid.
func (t *Tables) setSection(table Table, r row) bool {
	kinds := map[string]func(*sectionReader){kindAccount: t.addAccount}
	if table == TablePools {
		kinds = map[string]func(*sectionReader){kindZone: t.addZone, kindHost: t.addHost}
	}
	return addSections(string(table), []inifile.Section{r.section}, kinds) == nil
}
