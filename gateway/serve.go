package main

import (
	"errors"

	"siskinstand.example/gateway/config"
	"siskinstand.example/gateway/daemon"
	"siskinstand.example/gateway/tablefile"
	"siskinstand.example/platform/hostlist"
	"siskinstand.example/service/logging"
)

// check reads the tables and keys that the settings name.
func check(s config.Settings) error {
	if s.Tables.FromFiles() {
		if _, err := tablefile.Open(s.Tables.Routes, s.Tables.Pools, s.Tables.Poll); err != nil {
			return err
		}
	}
	return daemon.CheckKeys(s.TLS)
}

func serve(s config.Settings) error {
	if err := logging.Setup(s.Log); err != nil {
		return err
	}
	parts, err := openParts(s)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, parts)
	if err != nil {
		return err
	}
	return d.Run()
}

// openParts connects the gateway to the platform. The reader of the key-value
// store (gateway/kvstore), the exchange with other gateways (gateway/peer) and
// the claim log take their places here: they set Source and Claims and add
// their long-running parts to Extra.
func openParts(s config.Settings) (daemon.Parts, error) {
	hosts, err := openHosts(s.Platform)
	if err != nil {
		return daemon.Parts{}, err
	}
	if !s.Tables.FromFiles() {
		return daemon.Parts{}, errors.New("[tables] routes: required as long as the tables are not read from the key-value store")
	}
	source, err := tablefile.Open(s.Tables.Routes, s.Tables.Pools, s.Tables.Poll)
	if err != nil {
		return daemon.Parts{}, err
	}
	return daemon.Parts{
		Source: source,
		Hosts:  hosts,
		Claims: daemon.NoClaims{},
		Extra:  []daemon.Part{{Name: "tables", Run: source.Run}},
	}, nil
}

func openHosts(config.Platform) (hostlist.List, error) {
	return nil, errors.New("[platform] host_list: the adapter of the host list is not part of this build")
}
