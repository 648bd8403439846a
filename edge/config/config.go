// Package config holds the settings of the entry host's daemon, one file per
// INI section.
package config

import (
	"siskinstand.example/service/settings"
)

// Settings are all settings of the daemon.
type Settings struct {
	Process  Process  `ini:"process"`
	Callers  Callers  `ini:"callers"`
	Store    Store    `ini:"store"`
	Peers    Peers    `ini:"peers"`
	Replicas Replicas `ini:"replicas"`
	Bounds   Bounds   `ini:"bounds"`
	Admin    Admin    `ini:"admin"`
	Log      Log      `ini:"log"`
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) { return settings.Load[Settings](path) }

// Sample returns a commented settings file.
func Sample() string { return settings.Sample[Settings]() }

// Validate checks what depends on several keys.
func (s Settings) Validate() error {
	if _, err := s.Process.RegionTable(); err != nil {
		return &settings.KeyError{Section: "process", Key: "zones", Message: err.Error()}
	}
	if s.Store.WatchWait >= s.Bounds.KeyAge {
		return &settings.KeyError{Section: "store", Key: "watch_wait", Message: "must be shorter than [bounds] key_age, or every key expires between two answers"}
	}
	return nil
}
