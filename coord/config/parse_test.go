package config

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	goodPools = `
[pool quotes]
service = llm
model = linen-7b
zones = zilina-a, zilina-b

[pool orders]
kind = plain
service = order-service

[zone zilina-b]
state = out

[host h4]
state = leaving
`
	goodRoutes = `
[route quotes]
accounts = order-desk
model = linen-7b
pool = quotes

[route orders]
accounts = *
service = orders
pool = orders
repeatable = no

[account order-desk]
token_sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
weight = 2
`
)

func parse(routes, pools string) (*Tables, error) {
	return Parse(File{"routes.ini", []byte(routes)}, File{"pools.ini", []byte(pools)})
}

func TestParse(t *testing.T) {
	tables, err := parse(goodRoutes, goodPools)
	if err != nil {
		t.Fatal(err)
	}
	account, ok := tables.AccountByToken(HashToken("test"))
	if !ok || account.Weight != 2 {
		t.Fatalf("AccountByToken = %+v, %t", account, ok)
	}
	if _, ok := tables.AccountByToken(HashToken("other")); ok {
		t.Error("an unknown token found an account")
	}
	if diff := cmp.Diff([]string{"linen-7b"}, tables.Models("order-desk")); diff != "" {
		t.Errorf("models differ (-want +got):\n%s", diff)
	}
	route, ok := tables.ServiceRoute("order-desk", "orders")
	if !ok || route.Repeatable || route.Timeout != DefaultPlainTimeout {
		t.Errorf("ServiceRoute = %+v, %t", route, ok)
	}
	if !tables.ZoneOut("zilina-b") || tables.ZoneOut("zilina-a") || !tables.HostLeaving("h4") {
		t.Error("zone or host state is wrong")
	}
}

// Guards against a mistyped row that is accepted or skipped without an error.
func TestParseRejects(t *testing.T) {
	tests := map[string]struct{ routes, pools, want string }{
		"unknown section": {goodRoutes, goodPools + "[zoen a]\n", "[zoen a]: unknown section; accepted: [host NAME], [pool NAME], [zone NAME]"},
		"zone state":      {goodRoutes, goodPools + "[zone c]\nstate = off\n", `[zone c] state: "off" is not accepted; accepted: in, out`},
		"unknown key":     {goodRoutes, goodPools + "[host c]\nsate = in\n", "[host c] sate: unknown key; accepted: state"},
		"unknown pool":    {goodRoutes + "[route x]\naccounts = *\nmodel = m\npool = none\n", goodPools, `[route x] pool: unknown pool "none"`},
		"unknown account": {goodRoutes + "[route x]\naccounts = nobody\nmodel = linen-7b\npool = quotes\n", goodPools, `[route x] accounts: unknown account "nobody"`},
		"ambiguous":       {goodRoutes + "[route x]\naccounts = order-desk\nmodel = linen-7b\npool = quotes\n", goodPools, `already reaches this target by route "quotes"`},
		"wrong model":     {goodRoutes + "[route x]\naccounts = *\nmodel = other\npool = quotes\n", goodPools, `pool "quotes" serves model "linen-7b"`},
		"not a number":    {goodRoutes + "[account x]\ntoken_sha256 = " + strings.Repeat("a", 64) + "\nweight = NaN\n", goodPools, "weight: \"NaN\" is not accepted"},
		"shared token":    {goodRoutes + "[account x]\ntoken_sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n", goodPools, `already belongs to account "order-desk"`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := parse(tc.routes, tc.pools)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("Parse error = %v, want %q", err, tc.want)
			}
		})
	}
}
