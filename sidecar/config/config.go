// Package config holds the settings of a sidecar, one file per INI section.
package config

import (
	"siskinstand.example/service/logging"
	"siskinstand.example/service/settings"
)

// Settings are the settings of a sidecar.
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

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	return settings.Load[Settings](path)
}

// Validate checks what depends on several keys.
func (s Settings) Validate() error { return s.TLS.check() }

// Sample returns a commented settings file.
func Sample() string { return settings.Sample[Settings]() }
