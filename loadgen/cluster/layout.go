package cluster

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/config"
)

// Names that settings and tables share.
const (
	Token        = "demo-token"
	Model        = "siskin-small"
	PlainService = "booking"
	engineLabel  = "engine"
	region       = "region-1"
	// OperatorSettings is the file of siskinctl's settings.
	OperatorSettings = "siskinctl.ini"
)

// Zones returns the availability zones of every cluster.
func Zones() []string { return []string{"zone-a", "zone-b", "zone-c"} }

// Shape is the number of processes and what their settings have in common.
type Shape struct {
	Gateways      int
	EnginesByZone int
	PlainByZone   int
	// SharedBackend gives all plain endpoints one service.
	SharedBackend bool
	// Notice is the time that a gateway gives the balancer at a shutdown.
	Notice time.Duration
	// SidecarSettings are sections that every sidecar's settings end with.
	SidecarSettings string
}

// Endpoint is one engine or plain service with its sidecar.
type Endpoint struct {
	Name    string
	Zone    string
	Plain   bool
	Backend string
	Sidecar string
	Admin   string
}

// Gateway is one gateway with its listeners.
type Gateway struct {
	Name    string
	Zone    string
	Callers string
	Peers   string
	Admin   string
}

// Layout is the addresses of all processes.
type Layout struct {
	Store     string
	Hosts     string
	Weights   string
	Endpoints []Endpoint
	Gateways  []Gateway

	directory string
	shape     Shape
	ports     *block
}

// newLayout chooses free ports for the processes of a shape.
func newLayout(directory string, shape Shape) (*Layout, error) {
	const addressesOfProcess = 3
	endpoints := len(Zones()) * (shape.EnginesByZone + shape.PlainByZone)
	ports, err := reserveBlock()
	if err != nil {
		return nil, err
	}
	free, err := ports.addresses(addressesOfProcess * (1 + endpoints + shape.Gateways))
	if err != nil {
		ports.reservation.Close()
		return nil, err
	}
	next := func() string {
		address := free[0]
		free = free[1:]
		return address
	}
	l := &Layout{directory: directory, shape: shape, ports: ports, Store: next(), Hosts: next(), Weights: next()}
	for _, zone := range Zones() {
		for i := range shape.EnginesByZone + shape.PlainByZone {
			e := Endpoint{Zone: zone, Plain: i >= shape.EnginesByZone, Backend: next(), Sidecar: next(), Admin: next()}
			e.Name = fmt.Sprintf("%s-engine-%d", zone, i+1)
			if e.Plain {
				e.Name = fmt.Sprintf("%s-%s-%d", zone, PlainService, i+1-shape.EnginesByZone)
			}
			if e.Plain && shape.SharedBackend && len(l.Endpoints) > 0 {
				e.Backend = l.Endpoints[0].Backend
			}
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	for i := range shape.Gateways {
		l.Gateways = append(l.Gateways, Gateway{Name: fmt.Sprintf("gateway-%d", i+1), Zone: Zones()[i%len(Zones())], Callers: next(), Peers: next(), Admin: next()})
	}
	return l, nil
}

// Path returns the path of a file in the cluster's directory.
func (l *Layout) Path(name string) string { return filepath.Join(l.directory, name) }

func (l *Layout) write(name, text string) error {
	return os.WriteFile(l.Path(name), []byte(text), 0o600)
}

// writeAll writes all settings, the tables and the list of hosts.
func (l *Layout) writeAll() error {
	for _, g := range l.Gateways {
		if err := l.write(g.Name+".ini", l.gatewaySettings(g)); err != nil {
			return err
		}
	}
	for _, e := range l.Endpoints {
		if err := l.write(e.Name+".ini", e.settings()+l.shape.SidecarSettings); err != nil {
			return err
		}
	}
	hosts, err := json.MarshalIndent(l.HostList(), "", "  ")
	if err != nil {
		return err
	}
	if err := l.write("hosts.json", string(hosts)); err != nil {
		return err
	}
	if err := l.write(OperatorSettings, l.operatorSettings()); err != nil {
		return err
	}
	if err := l.write("routes.ini", routes()); err != nil {
		return err
	}
	return l.write("pools.ini", pools())
}

// HostList returns the true list of hosts.
func (l *Layout) HostList() []hostlist.Host {
	var list []hostlist.Host
	for _, e := range l.Endpoints {
		label := engineLabel
		if e.Plain {
			label = PlainService
		}
		list = append(list, hostlist.Host{
			Name: e.Name, Zone: e.Zone, Region: region, Role: hostlist.RoleEndpoint,
			Service: label, Address: e.Sidecar, Incarnation: 1, State: hostlist.StateLive,
		})
	}
	for _, g := range l.Gateways {
		list = append(list, hostlist.Host{
			Name: g.Name, Zone: g.Zone, Region: region, Role: hostlist.RoleGateway,
			Service: "gateway", Address: g.Peers, Incarnation: 1, State: hostlist.StateLive,
		})
	}
	return list
}

func (e Endpoint) settings() string {
	kind := config.KindModel
	if e.Plain {
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
`, e.Name, e.Zone, kind, e.Sidecar, e.Admin, e.Backend)
}

func (l *Layout) gatewaySettings(g Gateway) string {
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
notice = %s
`, g.Name, g.Zone, region, g.Callers, g.Admin, g.Peers, l.Hosts, l.Store, l.shape.Notice)
}

// operatorSettings are those of siskinctl.
func (l *Layout) operatorSettings() string {
	var gateways []string
	for _, g := range l.Gateways {
		gateways = append(gateways, g.Peers)
	}
	return fmt.Sprintf("[store]\naddress = %s\n\n[fleet]\ngateways = %s\n", l.Store, strings.Join(gateways, ", "))
}

func routes() string {
	hash := config.HashToken(Token)
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
`, hex.EncodeToString(hash[:]), Model, PlainService)
}

func pools() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[pool chat]\nkind = model\nservice = %s\nmodel = %s\n\n", engineLabel, Model)
	fmt.Fprintf(&b, "[pool booking]\nkind = plain\nservice = %s\n", PlainService)
	for _, zone := range Zones() {
		fmt.Fprintf(&b, "\n[zone %s]\nstate = %s\n", zone, config.ZoneIn)
	}
	return b.String()
}
