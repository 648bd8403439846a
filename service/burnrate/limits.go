package burnrate

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxRules bounds the rules, which are searched for every event.
const maxRules = 64

// Limits are the times within which events are good.
type Limits struct {
	FirstToken time.Duration
	TokenGap   time.Duration
}

// DefaultLimits returns the limits of the design.
func DefaultLimits() Limits {
	return Limits{FirstToken: DefaultFirstTokenLimit, TokenGap: DefaultTokenGapLimit}
}

// Rule gives other limits to the keys that match. A zero limit changes nothing.
type Rule struct {
	// Account, Service and Class match equal keys; "*" matches all.
	Account string
	Service string
	Class   string
	Limits  Limits
}

const anyValue = "*"

func matches(pattern, value string) bool { return pattern == anyValue || pattern == value }

func (r Rule) applies(k Key) bool {
	return matches(r.Account, k.Account) && matches(r.Service, k.Service) && matches(r.Class, k.Class)
}

// LimitTable finds the limits of a key. Later rules go before earlier ones.
type LimitTable struct {
	Default Limits
	Rules   []Rule
}

// Of returns the limits of a key.
func (t LimitTable) For(k Key) Limits {
	limits := t.Default
	for _, r := range t.Rules {
		if !r.applies(k) {
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

// ParseRules reads rules of the form ACCOUNT/SERVICE/CLASS first_token=2s
// token_gap=100ms, with one limit or both.
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
