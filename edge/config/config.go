// Package config defines the settings of siskin-edge, with one file for each section.
package config

import (
	"siskinstand.example/service/settings"
)

// Settings holds all settings of siskin-edge.
type Settings struct {
	Process   Process   `ini:"process"`
	Callers   Callers   `ini:"callers"`
	Store     Store     `ini:"store"`
	Peers     Peers     `ini:"peers"`
	Replicas  Replicas  `ini:"replicas"`
	Placement Placement `ini:"placement"`
	Bounds    Bounds    `ini:"bounds"`
	Admin     Admin     `ini:"admin"`
	Log       Log       `ini:"log"`
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) { return settings.Load[Settings](path) }

// Sample returns a settings file with comments and default values.
func Sample() string { return settings.Sample[Settings]() }

// Validate checks what the tags of a single key cannot express.
func (s Settings) Validate() error {
	if _, err := s.Process.RegionTable(); err != nil {
		return &settings.KeyError{Section: "process", Key: "zones", Message: err.Error()}
	}
	if s.Store.WatchWait >= s.Bounds.KeyAge {
		return &settings.KeyError{Section: "store", Key: "watch_wait", Message: "must be shorter than [bounds] key_age, otherwise keys are refused between two watch responses"}
	}
	return nil
}
