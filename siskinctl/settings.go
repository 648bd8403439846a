package main

import (
	"os/user"
	"time"

	"siskinstand.example/service/settings"
)

// Settings are the settings of siskinctl. Flags override them.
type Settings struct {
	Command CommandSettings `ini:"command"`
	Store   StoreSettings   `ini:"store"`
	Fleet   FleetSettings   `ini:"fleet"`
	TLS     TLSSettings     `ini:"tls"`
}

// CommandSettings apply to every command.
type CommandSettings struct {
	Author  string        `ini:"author" default:"" help:"name recorded with edits; empty takes the name of the user"`
	Timeout time.Duration `ini:"timeout" default:"30s" min:"1s" max:"10m" help:"time limit of a command"`
}

// StoreSettings configure the key-value store.
type StoreSettings struct {
	Address string `ini:"address" default:"" help:"HOST:PORT of the key-value store"`
}

// FleetSettings configure the gateways that status, burn and restore call, and
// whose revisions edits compare with that of the store.
type FleetSettings struct {
	Gateways []string `ini:"gateways" default:"" help:"HOST:PORT of gateways, comma separated"`
}

// TLSSettings name the PEM files for connections to gateways. Without them
// connections are in plaintext.
type TLSSettings struct {
	Certificate string `ini:"certificate" default:"" help:"PEM file with the certificate shown to gateways"`
	Key         string `ini:"key" default:"" help:"PEM file with its key"`
	Authority   string `ini:"authority" default:"" help:"PEM file with the authority of the gateways' certificates"`
}

func sampleSettings() string { return settings.Sample[Settings]() }

func loadSettings(o globalOptions) (Settings, error) {
	s, err := settings.Parse[Settings]("defaults", nil)
	if o.Settings != "" {
		s, err = settings.Load[Settings](o.Settings)
	}
	if err != nil {
		return s, err
	}
	if o.Store != "" {
		s.Store.Address = o.Store
	}
	if len(o.Gateways) > 0 {
		s.Fleet.Gateways = o.Gateways
	}
	if o.Timeout > 0 {
		s.Command.Timeout = o.Timeout
	}
	if s.Command.Author == "" {
		s.Command.Author = "unknown"
		if u, err := user.Current(); err == nil && u.Username != "" {
			s.Command.Author = u.Username
		}
	}
	return s, nil
}
