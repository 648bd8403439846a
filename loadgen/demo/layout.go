package demo

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/process"
	"siskinstand.example/platform/hostlist"
)

// Names that the settings and tables of the demo share.
const (
	token         = "demo-token"
	model         = "siskin-small"
	plainService  = "booking"
	engineLabel   = "engine"
	region        = "region-1"
	enginesByZone = 2
	// operatorSettings is the file of siskinctl's settings.
	operatorSettings = "siskinctl.ini"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// endpoint is one engine or plain service with its sidecar.
type endpoint struct {
	name    string
	zone    string
	plain   bool
	backend string
	sidecar string
	admin   string
}

type gateway struct {
	name    string
	zone    string
	callers string
	peers   string
	admin   string
}

// layout is the addresses of all processes.
type layout struct {
	directory string
	store     string
	hosts     string
	weights   string
	endpoints []endpoint
	gateways  []gateway
}

// newLayout chooses free ports for two gateways and, in each zone, two engines
// and one plain service.
func newLayout(directory string) (*layout, error) {
	const maxAddresses = 64
	free, err := process.FreeAddresses(maxAddresses)
	if err != nil {
		return nil, err
	}
	next := func() string {
		address := free[0]
		free = free[1:]
		return address
	}
	l := &layout{directory: directory, store: next(), hosts: next(), weights: next()}
	for _, zone := range zones {
		for i := range enginesByZone + 1 {
			e := endpoint{zone: zone, plain: i == enginesByZone, backend: next(), sidecar: next(), admin: next()}
			e.name = fmt.Sprintf("%s-engine-%d", zone, i+1)
			if e.plain {
				e.name = zone + "-" + plainService
			}
			l.endpoints = append(l.endpoints, e)
		}
	}
	for i, zone := range zones[:2] {
		l.gateways = append(l.gateways, gateway{name: fmt.Sprintf("gateway-%d", i+1), zone: zone, callers: next(), peers: next(), admin: next()})
	}
	return l, nil
}

func (l *layout) path(name string) string { return filepath.Join(l.directory, name) }

func (l *layout) write(name, text string) error {
	return os.WriteFile(l.path(name), []byte(text), 0o600)
}

// writeAll writes all settings, the tables and the list of hosts.
func (l *layout) writeAll() error {
	for _, g := range l.gateways {
		if err := l.write(g.name+".ini", l.gatewaySettings(g)); err != nil {
			return err
		}
	}
	for _, e := range l.endpoints {
		if err := l.write(e.name+".ini", e.settings()); err != nil {
			return err
		}
	}
	hosts, err := json.MarshalIndent(l.hostList(), "", "  ")
	if err != nil {
		return err
	}
	if err := l.write("hosts.json", string(hosts)); err != nil {
		return err
	}
	if err := l.write(operatorSettings, l.operatorSettings()); err != nil {
		return err
	}
	if err := l.write("routes.ini", routes()); err != nil {
		return err
	}
	return l.write("pools.ini", pools())
}

func (l *layout) hostList() []hostlist.Host {
	var list []hostlist.Host
	for _, e := range l.endpoints {
		label := engineLabel
		if e.plain {
			label = plainService
		}
		list = append(list, hostlist.Host{
			Name: e.name, Zone: e.zone, Region: region, Role: hostlist.RoleEndpoint,
			Service: label, Address: e.sidecar, Incarnation: 1, State: hostlist.Live,
		})
	}
	for _, g := range l.gateways {
		list = append(list, hostlist.Host{
			Name: g.name, Zone: g.zone, Region: region, Role: hostlist.RoleGateway,
			Service: "gateway", Address: g.peers, Incarnation: 1, State: hostlist.Live,
		})
	}
	return list
}

func (e endpoint) settings() string {
	kind := config.KindModel
	if e.plain {
		kind = config.KindPlain
	}
	return fmt.Sprintf(`[endpoint]
name = %s
zone = %s
kind = %s

[listen]
address = %s

[admin]
address = %s

[engine]
address = %s
`, e.name, e.zone, kind, e.sidecar, e.admin, e.backend)
}

func (l *layout) gatewaySettings(g gateway) string {
	return fmt.Sprintf(`[process]
id = %s
zone = %s
region = %s

[callers]
address = %s

[admin]
address = %s

[peers]
address = %s

[platform]
host_list = %s

[store]
address = %s

[shutdown]
notice = 0s
`, g.name, g.zone, region, g.callers, g.admin, g.peers, l.hosts, l.store)
}

// operatorSettings are those of siskinctl.
func (l *layout) operatorSettings() string {
	var gateways []string
	for _, g := range l.gateways {
		gateways = append(gateways, g.peers)
	}
	return fmt.Sprintf("[store]\naddress = %s\n\n[fleet]\ngateways = %s\n", l.store, strings.Join(gateways, ", "))
}

func routes() string {
	hash := config.HashToken(token)
	return fmt.Sprintf(`[account demo]
token_sha256 = %s
weight = 1

[route chat]
accounts = demo
model = %s
pool = chat

[route booking]
accounts = demo
service = %s
pool = booking
repeatable = no
`, hex.EncodeToString(hash[:]), model, plainService)
}

func pools() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[pool chat]\nkind = model\nservice = %s\nmodel = %s\n\n", engineLabel, model)
	fmt.Fprintf(&b, "[pool booking]\nkind = plain\nservice = %s\n", plainService)
	for _, zone := range zones {
		fmt.Fprintf(&b, "\n[zone %s]\nstate = %s\n", zone, config.ZoneIn)
	}
	return b.String()
}
