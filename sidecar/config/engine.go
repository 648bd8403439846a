package config

import (
	"time"

	"siskinstand.example/coord/fence"
)

// Engine configures the address and limits of the engine.
type Engine struct {
	Address      string        `ini:"address" example:"127.0.0.1:7200" help:"address and port of the engine or plain service; the sidecar tells it to other members of a group"`
	TotalTokens  int64         `ini:"total_tokens" default:"1000000" min:"1" unit:"tokens" help:"memory, used only if the engine does not report it; for a plain service the tokens in flight"`
	PrefillRate  float64       `ini:"prefill_tokens_per_second" default:"0" min:"0" unit:"tokens/s" help:"expected prefill speed; 0 takes the engine's report"`
	DialTimeout  time.Duration `ini:"dial_timeout" default:"1s" min:"1ms" max:"1m" help:"time limit of a connection to the engine"`
	CallTimeout  time.Duration `ini:"call_timeout" default:"2s" min:"1ms" max:"1m" help:"time limit of a small call to the engine"`
	Fencing      string        `ini:"fencing" default:"checks" oneof:"checks,ignores" help:"whether the engine refuses orders with an old fencing number or ignores the number"`
	StallTimeout time.Duration `ini:"stall_timeout" default:"30s" min:"100ms" max:"1h" help:"longest silence of a stream"`
}

// FenceMode returns whether the engine checks fencing numbers.
func (e Engine) FenceMode() fence.Mode { return fence.Mode(e.Fencing) }
