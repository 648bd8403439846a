package config

import (
	"time"

	"siskinstand.example/coord/admission"
)

// Admission configures the admission queue.
type Admission struct {
	AgeBound      time.Duration `ini:"age_bound" default:"20s" min:"100ms" max:"1h" help:"wait after which an item goes first in its turn"`
	LongShare     float64       `ini:"long_share" default:"0.5" min:"0.01" max:"1" help:"share of memory for prompts over 100,000 tokens while other work waits"`
	QuantumTokens int64         `ini:"quantum" default:"2048" min:"1" unit:"tokens" help:"tokens that an account of weight 1 earns in one round"`
	PrefillWindow time.Duration `ini:"prefill_window" default:"250ms" min:"1ms" max:"1m" help:"prompts in the engine without first token, in time of prefill"`
	AloneAfter    time.Duration `ini:"alone_after" default:"2s" min:"0s" max:"1h" help:"wait after which a prompt above the concurrency limit may run alone"`
	MaxItems      int64         `ini:"max_items" default:"4096" min:"1" max:"1000000" unit:"requests" help:"longest queue"`
	MaxAccounts   int64         `ini:"max_accounts" default:"1024" min:"1" max:"1000000" unit:"accounts" help:"accounts that wait at a time"`
}

// Config returns the configuration of the admission queue.
func (a Admission) Config() admission.Config {
	c := admission.DefaultConfig()
	c.AgeBound, c.LongShare, c.QuantumTokens = a.AgeBound, a.LongShare, a.QuantumTokens
	c.PrefillWindow, c.AloneAfter = a.PrefillWindow, a.AloneAfter
	c.MaxItems, c.MaxAccounts = int(a.MaxItems), int(a.MaxAccounts)
	return c
}
