package main

import (
	"siskinstand.example/gateway/config"
	"siskinstand.example/gateway/daemon"
	"siskinstand.example/gateway/tablefile"
	"siskinstand.example/platform/hostlist"
	"siskinstand.example/service/logging"
)

// check reads the tables and keys that the settings name.
func check(s config.Settings) error {
	if _, err := tablefile.Open(s.Tables.Routes, s.Tables.Pools, s.Tables.Poll); err != nil {
		return err
	}
	_, err := daemon.LoadKeys(s.TLS)
	return err
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
	source, err := tablefile.Open(s.Tables.Routes, s.Tables.Pools, s.Tables.Poll)
	if err != nil {
		return daemon.Parts{}, err
	}
	keys, err := daemon.LoadKeys(s.TLS)
	if err != nil {
		return daemon.Parts{}, err
	}
	return daemon.Parts{
		Keys:   keys,
		Source: source,
		Hosts:  hostlist.NewHTTP(s.Platform.HostList, hostlist.DefaultLimits()),
		Claims: daemon.NoClaims{},
		Extra:  []daemon.Part{{Name: "tables", Run: source.Run}},
	}, nil
}
