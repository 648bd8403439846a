package config

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	validPools = `
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
	validRoutes = `
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
	tables, err := parse(validRoutes, validPools)
	if err != nil {
		t.Fatal(err)
	}
	account, ok := tables.AccountByToken(HashToken("test"))
	if !ok || account.Weight != 2 {
		t.Fatalf("AccountByToken = %+v, %t, want weight 2", account, ok)
	}
	if _, ok := tables.AccountByToken(HashToken("other")); ok {
		t.Error("an unknown token matched an account")
	}
	if diff := cmp.Diff([]string{"linen-7b"}, tables.Models("order-desk")); diff != "" {
		t.Errorf("models differ (-want +got):\n%s", diff)
	}
	route, ok := tables.ServiceRoute("order-desk", "orders")
	if !ok || route.Repeatable || route.DefaultTimeout != DefaultPlainTimeout {
		t.Errorf("ServiceRoute = %+v, %t, want a route that is not repeatable, with DefaultPlainTimeout", route, ok)
	}
	if !tables.IsZoneOut("zilina-b") || tables.IsZoneOut("zilina-a") || !tables.IsHostLeaving("h4") {
		t.Error("want zone zilina-b out, zone zilina-a in and host h4 leaving")
	}
}

// Guards against invalid rows that are accepted or skipped without an error.
func TestParseRejects(t *testing.T) {
	tests := map[string]struct{ routes, pools, want string }{
		"unknown section": {validRoutes, validPools + "[zoen a]\n", "[zoen a]: unknown section; accepted: [host NAME], [pool NAME], [zone NAME]"},
		"zone state":      {validRoutes, validPools + "[zone c]\nstate = off\n", `[zone c] state: "off" is not accepted; accepted: in, out`},
		"unknown key":     {validRoutes, validPools + "[host c]\nsate = in\n", "[host c] sate: unknown key; accepted: state"},
		"unknown pool":    {validRoutes + "[route x]\naccounts = *\nmodel = m\npool = none\n", validPools, `[route x] pool: unknown pool "none"`},
		"unknown account": {validRoutes + "[route x]\naccounts = nobody\nmodel = linen-7b\npool = quotes\n", validPools, `[route x] accounts: unknown account "nobody"`},
		"ambiguous":       {validRoutes + "[route x]\naccounts = order-desk\nmodel = linen-7b\npool = quotes\n", validPools, `already reaches this target by route "quotes"`},
		"wrong model":     {validRoutes + "[route x]\naccounts = *\nmodel = other\npool = quotes\n", validPools, `pool "quotes" serves model "linen-7b"`},
		"not a number":    {validRoutes + "[account x]\ntoken_sha256 = " + strings.Repeat("a", 64) + "\nweight = NaN\n", validPools, "weight: \"NaN\" is not accepted"},
		"shared token":    {validRoutes + "[account x]\ntoken_sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n", validPools, `already belongs to account "order-desk"`},
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
