package catalog

import "testing"

func TestRoute(t *testing.T) {
	// Guards against a short prefix that shadows a longer one, and against matching
	// routes of another host.
	c := New(Config{Routes: []Route{
		{Name: "short", Host: "a", Prefix: "/x/"},
		{Name: "long", Host: "a", Prefix: "/x/y/"},
		{Name: "other", Host: "b", Prefix: "/"},
	}})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x": "", "/z/": ""} {
		got := ""
		if r := c.Route("a", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("route of %q is %q, want %q", path, got, want)
		}
	}
}

func TestServiceAt(t *testing.T) {
	// Guards against traffic for a service of weight 0, and against rounding errors at
	// the end of the range.
	r := Route{TrafficSplit: []WeightedService{{"none", 0}, {"a", 9}, {"b", 1}}}
	for point, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.9999999: "b"} {
		if got := r.ServiceAt(point); got != want {
			t.Errorf("service at %v is %q, want %q", point, got, want)
		}
	}
}

func TestAccount(t *testing.T) {
	// Guards against unknown keys that match an account, and against requiring a key
	// without accounts.
	c := New(Config{Accounts: []Account{{Name: "a", Keys: []string{"k1", "k2"}}}})
	if a := c.Account("k2"); a == nil || a.Name != "a" {
		t.Errorf("account of k2 is %v, want a", a)
	}
	if a := c.Account("k3"); a != nil {
		t.Errorf("account of an unknown key is %v, want none", a.Name)
	}
	if !c.NeedsKey(&Route{}) || c.NeedsKey(&Route{Public: true}) || New(Config{}).NeedsKey(&Route{}) {
		t.Error("NeedsKey must be true exactly for non-public routes of a configuration with accounts")
	}
}
