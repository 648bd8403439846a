package config

import (
	"time"

	"siskinstand.example/service/burnrate"
	"siskinstand.example/service/settings"
)

// Objectives configures the latency limits of the service-level objectives.
type Objectives struct {
	FirstToken time.Duration `ini:"first_token" default:"500ms" min:"1ms" max:"1h" help:"time within which a first token is good"`
	TokenGap   time.Duration `ini:"token_gap" default:"50ms" min:"1ms" max:"1h" help:"time within which a further token is good"`
	Rules      []string      `ini:"rules" default:"" help:"other limits by client account, model or service, and length class, such as */*/256k first_token=5s, desk/*/* first_token=300ms; later ones go first"`
}

// Limits returns the default limits and the rules that override them.
func (o Objectives) Limits() (burnrate.LimitTable, error) {
	rules, err := burnrate.ParseRules(o.Rules)
	return burnrate.LimitTable{Default: burnrate.Limits{FirstToken: o.FirstToken, TokenGap: o.TokenGap}, Rules: rules}, err
}

func (o Objectives) check() error {
	if _, err := o.Limits(); err != nil {
		return &settings.KeyError{Section: "objectives", Key: "rules", Message: err.Error()}
	}
	return nil
}
