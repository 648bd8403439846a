package configcheck

import (
	"strings"
	"testing"

	"siskinstand.example/coord/config"
)

const (
	goodPools  = "[pool p]\nkind = plain\nservice = s\nzones = a\n[zone a]\nstate = in\n"
	goodRoutes = "[route r]\naccounts = *\nservice = s\npool = p\n"
)

func checkFiles(routes, pools string) []string {
	rows, errs := config.ParseAll(config.File{Name: "routes", Text: []byte(routes)}, config.File{Name: "pools", Text: []byte(pools)})
	list := append(FromErrors("", errs), CheckTables("routes", "pools", rows, Hosts{Zones: []string{"a", "b"}})...)
	var lines []string
	for _, f := range list {
		lines = append(lines, f.String())
	}
	return lines
}

// Guards against a mistake in the tables that is not found, is found without its
// position, or hides another one.
func TestPlantedMistakesInTables(t *testing.T) {
	if got := checkFiles(goodRoutes, goodPools); len(got) > 0 {
		t.Errorf("findings in a good configuration: %q", got)
	}
	model := "[pool m]\nkind = model\nmodel = x\nservice = t\n"
	for name, tc := range map[string]struct {
		routes, pools string
		want          []string
	}{
		"several errors": {goodRoutes + "timeout_ms = soon\nrepeatable = maybe\n", goodPools + "colour = red\n",
			[]string{"[zone a] colour", "[route r] timeout_ms", "[route r] repeatable"}},
		"syntax errors": {goodRoutes + "x\n[route r]\n", "[pool\n" + goodPools, []string{"pools:1", "routes:5", "routes:6: [route r]: duplicate"}},
		"shadowed":      {goodRoutes + "[account k]\ntoken_sha256 = " + strings.Repeat("0", 64) + "\n[route s]\naccounts = k\nservice = s\npool = p\n", goodPools, []string{"[route s] accounts: warning: the route never matches"}},
		"unused account": {strings.Replace(goodRoutes, "*", "k", 1) + "[account k]\ntoken_sha256 = " + strings.Repeat("0", 64) + "\n[account l]\ntoken_sha256 = " + strings.Repeat("1", 64) + "\n",
			goodPools, []string{"[account l]: warning: no route"}},
		"unknown account": {strings.Replace(goodRoutes, "*", "k", 1), goodPools, []string{`[route r] accounts: unknown account "k"`}},
		"unknown pool":    {goodRoutes + "[route q]\naccounts = *\nservice = z\npool = none\n", goodPools, []string{`[route q] pool: unknown pool "none"`}},
		"unused pool":     {goodRoutes, goodPools + "[pool q]\nkind = plain\nservice = z\n", []string{"[pool q]: warning: no route"}},
		"unknown zone":    {goodRoutes, strings.Replace(goodPools, "zones = a", "zones = a, c", 1), []string{`[pool p] zones: warning: no host is in zone "c"`}},
		"unused zone":     {goodRoutes, goodPools + "[zone b]\nstate = out\n", []string{"[zone b]: warning: no pool"}},
		"all zones out":   {goodRoutes, strings.Replace(goodPools, "state = in", "state = out", 1), []string{"[pool p] zones: warning: all zones"}},
		"prompt too long": {goodRoutes + "[route m]\naccounts = *\nmodel = x\npool = m\ntimeout_ms = 5000\n", goodPools + model, []string{"[route m] timeout_ms: warning"}},
	} {
		got := checkFiles(tc.routes, tc.pools)
		if len(got) != len(tc.want) {
			t.Errorf("%s: findings %q, want %q", name, got, tc.want)
		}
		for _, want := range tc.want {
			if !strings.Contains(strings.Join(got, "\n"), want) {
				t.Errorf("%s: findings %q, want %q", name, got, want)
			}
		}
	}
}

func FuzzCheckTables(f *testing.F) {
	f.Add(goodRoutes, goodPools)
	f.Add("[route r]\nx\n[route r]\n", "[pool\n\ufeff[a")
	f.Fuzz(func(t *testing.T, routes, pools string) {
		// Guards against a table that Parse rejects and the check accepts, or the reverse.
		_, err := config.Parse(config.File{Name: "r", Text: []byte(routes)}, config.File{Name: "p", Text: []byte(pools)})
		rows, errs := config.ParseAll(config.File{Name: "r", Text: []byte(routes)}, config.File{Name: "p", Text: []byte(pools)})
		if (err != nil) != (len(errs) > 0) {
			t.Errorf("Parse: %v, ParseAll: %v", err, errs)
		}
		CheckTables("r", "p", rows, Hosts{})
	})
}
