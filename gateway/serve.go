package main

import (
	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/gateway/cluster"
	"siskinstand.example/gateway/config"
	"siskinstand.example/gateway/daemon"
	"siskinstand.example/gateway/tablefile"
	"siskinstand.example/service/logging"
)

// check validates the tables and TLS keys that the settings refer to.
func check(s config.Settings) error {
	if s.Store.Address == "" {
		if _, err := tablefile.Open(s.Tables.Routes, s.Tables.Pools, s.Tables.PollInterval); err != nil {
			return err
		}
	}
	_, err := daemon.LoadTLSKeys(s.TLS)
	return err
}

func serve(s config.Settings) error {
	if err := logging.Setup(s.Log); err != nil {
		return err
	}
	keys, err := daemon.LoadTLSKeys(s.TLS)
	if err != nil {
		return err
	}
	base, err := daemon.NewBase(s, keys)
	if err != nil {
		return err
	}
	deps, err := openDependencies(base)
	if err != nil {
		return err
	}
	d, err := daemon.New(base, deps)
	if err != nil {
		return err
	}
	return d.Run()
}

// openDependencies connects the gateway to the platform. If a key-value store is
// configured, the gateway reads the tables from it and exchanges data with the other
// gateways; otherwise it reads the tables from files.
func openDependencies(b *daemon.Base) (daemon.Dependencies, error) {
	s := b.Settings
	hosts := hostlist.NewClient(s.Platform.HostList, hostlist.DefaultLimits())
	if s.Store.Address != "" {
		return cluster.Open(b, kvstore.NewClient(s.Store.Address, kvstore.DefaultLimits()), hosts)
	}
	source, err := tablefile.Open(s.Tables.Routes, s.Tables.Pools, s.Tables.PollInterval)
	if err != nil {
		return daemon.Dependencies{}, err
	}
	return daemon.Dependencies{
		Source: source,
		Hosts:  hosts,
		Claims: daemon.UnavailableClaimLog{},
		Tasks:  []daemon.Task{{Name: "tables", Run: source.Run}},
	}, nil
}
