package burnrate

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against applying the limits of another account or class.
func TestLimitsByRule(t *testing.T) {
	rules, err := ParseRules([]string{"*/*/256k first_token=5s", "vet/*/256k first_token=2s token_gap=100ms"})
	if err != nil {
		t.Fatal(err)
	}
	table := LimitTable{Default: DefaultLimits(), Rules: rules}
	tests := map[string]struct {
		key  Key
		want Limits
	}{
		"default":       {Key{Account: "vet", Service: "m", Class: "1k"}, DefaultLimits()},
		"class":         {Key{Account: "shelter", Service: "m", Class: "256k"}, Limits{5 * time.Second, DefaultTokenGapLimit}},
		"account, last": {Key{Account: "vet", Service: "m", Class: "256k"}, Limits{2 * time.Second, 100 * time.Millisecond}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, table.For(tc.key)); diff != "" {
				t.Errorf("limits differ (-want +got):\n%s", diff)
			}
		})
	}
	r := New(Config{Limits: table})
	r.RecordFirstToken(Key{Account: "shelter", Service: "m", Class: "256k"}, 3*time.Second)
	r.RecordFirstToken(Key{Account: "vet", Service: "m", Class: "256k"}, 3*time.Second)
	for k, s := range r.series {
		if good := s.objectives[firstTokenIndex].window(r.config.Now(), Hour).Good; good != map[string]int64{"shelter": 1, "vet": 0, AllAccounts: 1}[k.Account] {
			t.Errorf("account %s has %d good events, want 1 for shelter and *, 0 for vet", k.Account, good)
		}
	}
}

// Guards against ignoring a malformed rule.
func TestParseRulesRejects(t *testing.T) {
	for text, want := range map[string]string{
		"*/*/1k":                 "ACCOUNT/SERVICE/CLASS first_token=TIME",
		"*/1k first_token=1s":    "each a name or *",
		"*/*/* first_token=1":    "a limit such as first_token=2s",
		"*/*/* answered=1s":      "accepted: first_token, token_gap",
		"*/*/* token_gap=-100ms": "a limit such as",
	} {
		if _, err := ParseRules([]string{text}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("ParseRules(%q) = %v, want %q", text, err, want)
		}
	}
}
