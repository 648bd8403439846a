package config

import "github.com/rotisserie/eris"

// PlanRestore replaces an older head by the document that is in force. The
// revision stays that of the document, so processes that have it change nothing.
func PlanRestore(h Head, d *Document, e Edit) (Plan, error) {
	if e.ID == "" || e.Author == "" {
		return Plan{}, eris.New("a restore needs a change identifier and an author")
	}
	if d.revision <= h.Revision {
		return Plan{}, eris.Errorf("the store has revision %d, revision %d is in force; nothing is to be restored", h.Revision, d.revision)
	}
	e.Base, e.Rows = h.Revision, d.Rows()
	p := Plan{Head: nextHead(h, d, e), Shards: map[string][]byte{}}
	for _, table := range TableNames() {
		for index := range ShardsPerTable {
			if err := p.replaceShard(d, table, index, e.ID); err != nil {
				return Plan{}, err
			}
		}
	}
	return p, nil
}
