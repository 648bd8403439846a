package config

import "github.com/rotisserie/eris"

// PlanRestore plans the replacement of an older head in the store by the
// document in force. The document keeps its revision, so processes that already
// use it are not affected.
func PlanRestore(h Head, d *Document, e Edit) (Plan, error) {
	if e.ID == "" || e.Author == "" {
		return Plan{}, eris.New("a restore needs a change identifier and an author")
	}
	if d.revision <= h.Revision {
		return Plan{}, eris.Errorf("nothing to restore: the store has revision %d, which is not older than revision %d in force", h.Revision, d.revision)
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
