// Package config defines the settings of a sidecar, one file for each INI
// section except [logging], which package logging defines.
package config

import (
	"siskinstand.example/service/logging"
	"siskinstand.example/service/settings"
)

// Settings are all settings of a sidecar.
type Settings struct {
	Endpoint  Endpoint       `ini:"endpoint"`
	Listen    Listen         `ini:"listen"`
	Admin     Admin          `ini:"admin"`
	Engine    Engine         `ini:"engine"`
	Admission Admission      `ini:"admission"`
	Memory    Memory         `ini:"memory"`
	Suspects  Suspects       `ini:"suspects"`
	Shutdown  Shutdown       `ini:"shutdown"`
	TLS       TLS            `ini:"tls"`
	Logging   logging.Config `ini:"logging"`
}

// Load reads and validates the settings file at path.
func Load(path string) (Settings, error) {
	return settings.Load[Settings](path)
}

// Validate checks rules that involve several keys.
func (s Settings) Validate() error { return s.TLS.validate() }

// Sample returns a commented sample settings file.
func Sample() string { return settings.Sample[Settings]() }
