package burnrate

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxRules limits the number of rules, because all of them are evaluated for every
// recorded first token and token gap.
const maxRules = 64

// Limits are the latencies up to which events are good.
type Limits struct {
	FirstToken time.Duration
	TokenGap   time.Duration
}

// DefaultLimits returns the limits that apply unless the settings override them.
func DefaultLimits() Limits {
	return Limits{FirstToken: DefaultFirstTokenLimit, TokenGap: DefaultTokenGapLimit}
}

// Rule overrides the limits of matching keys. A zero limit overrides nothing.
type Rule struct {
	// Account, Service and Class match equal values of a key. "*" matches any
	// value.
	Account string
	Service string
	Class   string
	Limits  Limits
}

const wildcard = "*"

func matchesPattern(pattern, value string) bool { return pattern == wildcard || pattern == value }

func (r Rule) matches(k Key) bool {
	return matchesPattern(r.Account, k.Account) && matchesPattern(r.Service, k.Service) && matchesPattern(r.Class, k.Class)
}

// LimitTable determines the limits of a key. Later rules take precedence over
// earlier ones.
type LimitTable struct {
	Default Limits
	Rules   []Rule
}

// For returns the limits that apply to a key.
func (t LimitTable) For(k Key) Limits {
	limits := t.Default
	for _, r := range t.Rules {
		if !r.matches(k) {
			continue
		}
		if r.Limits.FirstToken > 0 {
			limits.FirstToken = r.Limits.FirstToken
		}
		if r.Limits.TokenGap > 0 {
			limits.TokenGap = r.Limits.TokenGap
		}
	}
	return limits
}

// ParseRules parses rules of the form
//
//	ACCOUNT/SERVICE/CLASS first_token=2s token_gap=100ms
//
// with one limit or both.
func ParseRules(texts []string) ([]Rule, error) {
	if len(texts) > maxRules {
		return nil, eris.Errorf("%d rules are not accepted; accepted: up to %d", len(texts), maxRules)
	}
	var rules []Rule
	for _, text := range texts {
		r, err := parseRule(text)
		if err != nil {
			return nil, err
		}
		rules = append(rules, r)
	}
	return rules, nil
}

func parseRule(text string) (Rule, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return Rule{}, eris.Errorf("%q is not accepted; accepted: ACCOUNT/SERVICE/CLASS first_token=TIME token_gap=TIME", text)
	}
	parts := strings.Split(fields[0], "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] == "" {
		return Rule{}, eris.Errorf("%q is not accepted; accepted: ACCOUNT/SERVICE/CLASS, each a name or *", fields[0])
	}
	r := Rule{Account: parts[0], Service: parts[1], Class: parts[2]}
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return Rule{}, eris.Errorf("%q is not accepted; accepted: a limit such as first_token=2s", field)
		}
		switch Objective(name) {
		case FirstToken:
			r.Limits.FirstToken = d
		case TokenGap:
			r.Limits.TokenGap = d
		default:
			return Rule{}, eris.Errorf("%q is not accepted; accepted: %s, %s", name, FirstToken, TokenGap)
		}
	}
	return r, nil
}
