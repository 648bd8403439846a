package config

import "time"

// Store names the key-value store.
type Store struct {
	Address string `ini:"address" default:"" help:"host and port of the key-value store; empty reads the tables from files and refuses calls that are not repeatable"`
	// The log of a day takes about 62 MB for each call a second, so a large
	// fleet needs a shorter time. It has to exceed the callers' resend window.
	ClaimExpiry time.Duration `ini:"claim_expiry" default:"24h" min:"2h" max:"168h" help:"time for which the key of a call that is not repeatable is remembered; the same at every gateway"`
}
