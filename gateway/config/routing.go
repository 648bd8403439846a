package config

// Routing configures the choice between two candidate endpoints, and how much of an
// engine's memory a prompt that runs on several engines may use.
type Routing struct {
	PrefixShare float64 `ini:"prefix_share" default:"0.5" min:"0" max:"1" help:"part of a prompt that the prefix cache of its first candidate is expected to hold"`
	DefaultRate int64   `ini:"default_rate" default:"10000" min:"1" unit:"tokens/s" help:"prefill rate of an endpoint that has not reported one"`
	GroupShare  float64 `ini:"group_share" default:"0.9" min:"0.1" max:"1" help:"part of an engine's memory that a prompt on several engines may use"`
}
