package config

// Store names the key-value store.
type Store struct {
	Address string `ini:"address" default:"" help:"host and port of the key-value store; empty reads the tables from files and refuses calls that are not repeatable"`
}
