package config

import "time"

// Store configures the key-value store.
type Store struct {
	Address string `ini:"address" default:"" help:"host and port of the key-value store; empty reads the tables from files and refuses calls that are not repeatable"`
	// ClaimExpiry is the retention time of claims. The claim log of one day takes
	// about 62 MB for each call per second, so that a large fleet needs a shorter
	// time. It must exceed the time within which callers resend a call.
	ClaimExpiry time.Duration `ini:"claim_expiry" default:"24h" min:"2h" max:"168h" help:"time for which the key of a call that is not repeatable is remembered; the same at every gateway"`
}
