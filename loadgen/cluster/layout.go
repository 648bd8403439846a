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

// Names used in the settings, the tables and the host list.
const (
	Token         = "demo-token"
	Model         = "siskin-small"
	PlainService  = "booking"
	engineService = "engine"
	region        = "region-1"
	// OperatorSettingsFile is the name of the settings file of siskinctl.
	OperatorSettingsFile = "siskinctl.ini"
)

// Zones returns the availability zones of every cluster.
func Zones() []string { return []string{"zone-a", "zone-b", "zone-c"} }

// Topology holds the number of processes of each kind and their common settings.
type Topology struct {
	Gateways             int
	EnginesPerZone       int
	PlainServicesPerZone int
	// SharePlainBackend makes all plain endpoints use one service process.
	SharePlainBackend bool
	// ShutdownNotice is how long a gateway that shuts down reports not ready
	// before it stops, so that the load balancer can react.
	ShutdownNotice time.Duration
	// SidecarSettings is appended to the settings file of every sidecar.
	SidecarSettings string
}

// Endpoint is an engine or plain service with its sidecar.
type Endpoint struct {
	Name           string
	Zone           string
	IsPlain        bool
	BackendAddress string
	SidecarAddress string
	AdminAddress   string
}

// Gateway is a gateway with the addresses of its listeners.
type Gateway struct {
	Name          string
	Zone          string
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
}

// Layout holds the addresses of all processes.
type Layout struct {
	StoreAddress       string
	HostListAddress    string
	WeightStoreAddress string
	Endpoints          []Endpoint
	Gateways           []Gateway

	directory string
	topology  Topology
	ports     *portBlock
}

// newLayout assigns free ports to the processes of a topology.
func newLayout(directory string, topology Topology) (*Layout, error) {
	const addressesPerProcess = 3
	endpoints := len(Zones()) * (topology.EnginesPerZone + topology.PlainServicesPerZone)
	ports, err := reservePortBlock()
	if err != nil {
		return nil, err
	}
	free, err := ports.addresses(addressesPerProcess * (1 + endpoints + topology.Gateways))
	if err != nil {
		ports.reservation.Close()
		return nil, err
	}
	next := func() string {
		address := free[0]
		free = free[1:]
		return address
	}
	l := &Layout{directory: directory, topology: topology, ports: ports, StoreAddress: next(), HostListAddress: next(), WeightStoreAddress: next()}
	for _, zone := range Zones() {
		for i := range topology.EnginesPerZone + topology.PlainServicesPerZone {
			e := Endpoint{Zone: zone, IsPlain: i >= topology.EnginesPerZone, BackendAddress: next(), SidecarAddress: next(), AdminAddress: next()}
			e.Name = fmt.Sprintf("%s-engine-%d", zone, i+1)
			if e.IsPlain {
				e.Name = fmt.Sprintf("%s-%s-%d", zone, PlainService, i+1-topology.EnginesPerZone)
			}
			if e.IsPlain && topology.SharePlainBackend && len(l.Endpoints) > 0 {
				e.BackendAddress = l.Endpoints[0].BackendAddress
			}
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	for i := range topology.Gateways {
		l.Gateways = append(l.Gateways, Gateway{Name: fmt.Sprintf("gateway-%d", i+1), Zone: Zones()[i%len(Zones())], CallerAddress: next(), PeerAddress: next(), AdminAddress: next()})
	}
	return l, nil
}

// Path returns the path of a file in the cluster's directory.
func (l *Layout) Path(name string) string { return filepath.Join(l.directory, name) }

func (l *Layout) write(name, text string) error {
	return os.WriteFile(l.Path(name), []byte(text), 0o600)
}

// writeFiles writes the settings files, the tables and the host list.
func (l *Layout) writeFiles() error {
	for _, g := range l.Gateways {
		if err := l.write(g.Name+".ini", l.gatewaySettings(g)); err != nil {
			return err
		}
	}
	for _, e := range l.Endpoints {
		if err := l.write(e.Name+".ini", e.settings()+l.topology.SidecarSettings); err != nil {
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
	if err := l.write(OperatorSettingsFile, l.operatorSettings()); err != nil {
		return err
	}
	if err := l.write("routes.ini", routesTable()); err != nil {
		return err
	}
	return l.write("pools.ini", poolsTable())
}

// HostList returns the hosts of all endpoints and gateways, all live.
func (l *Layout) HostList() []hostlist.Host {
	var list []hostlist.Host
	for _, e := range l.Endpoints {
		service := engineService
		if e.IsPlain {
			service = PlainService
		}
		list = append(list, hostlist.Host{
			Name: e.Name, Zone: e.Zone, Region: region, Role: hostlist.RoleEndpoint,
			Service: service, Address: e.SidecarAddress, Incarnation: 1, State: hostlist.StateLive,
		})
	}
	for _, g := range l.Gateways {
		list = append(list, hostlist.Host{
			Name: g.Name, Zone: g.Zone, Region: region, Role: hostlist.RoleGateway,
			Service: "gateway", Address: g.PeerAddress, Incarnation: 1, State: hostlist.StateLive,
		})
	}
	return list
}

func (e Endpoint) settings() string {
	kind := config.KindModel
	if e.IsPlain {
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
`, e.Name, e.Zone, kind, e.SidecarAddress, e.AdminAddress, e.BackendAddress)
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
`, g.Name, g.Zone, region, g.CallerAddress, g.AdminAddress, g.PeerAddress, l.HostListAddress, l.StoreAddress, l.topology.ShutdownNotice)
}

// operatorSettings returns the settings of siskinctl.
func (l *Layout) operatorSettings() string {
	var gateways []string
	for _, g := range l.Gateways {
		gateways = append(gateways, g.PeerAddress)
	}
	return fmt.Sprintf("[store]\naddress = %s\n\n[fleet]\ngateways = %s\n", l.StoreAddress, strings.Join(gateways, ", "))
}

func routesTable() string {
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

func poolsTable() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[pool chat]\nkind = model\nservice = %s\nmodel = %s\n\n", engineService, Model)
	fmt.Fprintf(&b, "[pool booking]\nkind = plain\nservice = %s\n", PlainService)
	for _, zone := range Zones() {
		fmt.Fprintf(&b, "\n[zone %s]\nstate = %s\n", zone, config.ZoneIn)
	}
	return b.String()
}
