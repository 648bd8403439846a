//go:build known_red

package directory

import "testing"

// Guards against new requests to a process that drains or is in an evacuated zone. The
// entry of the previous process at the same address remains until its lease expires.
func TestUsableSkipsOldEntryOfAddress(t *testing.T) {
	old := Replica{ID: "old", Service: "m", Address: "10.0.0.1:80", Zone: "z1", StartUnixMs: 1}
	for name, latest := range map[string]Replica{
		"draining":  {ID: "new", Service: "m", Address: "10.0.0.1:80", Zone: "z1", StartUnixMs: 2, Draining: true},
		"evacuated": {ID: "new", Service: "m", Address: "10.0.0.1:80", Zone: "z2", StartUnixMs: 2},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(DefaultPolicy())
			table.SetEvacuated("z2", true)
			table.Put(Replica{ID: "other", Service: "m", Address: "10.0.0.2:80", Zone: "z1", StartUnixMs: 1})
			table.Put(old)
			table.Put(latest)
			checkUsable(t, table, 0, "other")
		})
	}
}
