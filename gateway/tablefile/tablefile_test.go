package tablefile

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against an invalid edit that replaces valid tables, and against a valid
// edit that is not applied.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	routes, pools := filepath.Join(dir, "routes.ini"), filepath.Join(dir, "pools.ini")
	write := func(path, text string, at int64) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, time.Time{}, time.Unix(at, 0)); err != nil {
			t.Fatal(err)
		}
	}
	write(routes, "", 1)
	write(pools, "[zone a]\nstate = in\n", 2)
	s, err := Open(routes, pools, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	changed := s.Changed()
	write(pools, "[zone a]\nstate = maybe\n", 3)
	if s.reload() == nil || s.reload() != nil {
		t.Error("an invalid edit was not reported exactly once")
	}
	if c := s.Current(); c.Revision != 2000 {
		t.Errorf("revision %d after an invalid edit, want 2000", c.Revision)
	}
	write(pools, "[zone a]\nstate = out\n", 4)
	if err := s.reload(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-changed:
	default:
		t.Error("the channel of Changed was not closed by a valid edit")
	}
	if c := s.Current(); c.Revision != 4000 || !c.Tables.IsZoneOut("a") {
		t.Errorf("revision %d, zone a out: %v; want 4000, true", c.Revision, c.Tables.IsZoneOut("a"))
	}
}
