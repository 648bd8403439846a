// Package config defines the settings of the gateway, with one file per INI
// section.
package config

import (
	"siskinstand.example/service/logging"
	"siskinstand.example/service/settings"
)

// Settings holds all settings of the gateway.
type Settings struct {
	Process    Process        `ini:"process"`
	Callers    Callers        `ini:"callers"`
	Admin      Admin          `ini:"admin"`
	Tables     Tables         `ini:"tables"`
	Platform   Platform       `ini:"platform"`
	Store      Store          `ini:"store"`
	Peers      Peers          `ini:"peers"`
	Sidecars   Sidecars       `ini:"sidecars"`
	Routing    Routing        `ini:"routing"`
	Retry      Retry          `ini:"retry"`
	Objectives Objectives     `ini:"objectives"`
	Shutdown   Shutdown       `ini:"shutdown"`
	TLS        TLS            `ini:"tls"`
	Log        logging.Config `ini:"log"`
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	return settings.Load[Settings](path)
}

// Validate validates the caller address, the objectives' rules and settings that
// depend on each other.
func (s Settings) Validate() error {
	if err := s.TLS.check(s.Callers.Address); err != nil {
		return err
	}
	if err := s.Objectives.check(); err != nil {
		return err
	}
	bothFiles := s.Tables.Routes != "" && s.Tables.Pools != ""
	noFiles := s.Tables.Routes == "" && s.Tables.Pools == ""
	if hasStore := s.Store.Address != ""; (hasStore && !noFiles) || (!hasStore && !bothFiles) {
		return &settings.KeyError{Section: "tables", Key: "routes", Message: "accepted: routes and pools together, or neither of them and [store] address"}
	}
	return nil
}

// Sample returns a sample settings file with comments.
func Sample() string { return settings.Sample[Settings]() }
