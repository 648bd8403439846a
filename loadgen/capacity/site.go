package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/adapters/kvstore"
	fakestore "siskinstand.example/fakes/kvstore"
	"siskinstand.example/loadgen/process"
)

// daemon is one process of ours.
type daemon struct {
	name  string
	zone  string
	peers string
	admin string
	pid   int
}

// site is a set of processes on loopback with stand-ins for the platform. All
// sidecars share one stand-in for an engine, as no traffic reaches it, and serve
// the model that it has.
type site struct {
	directory string
	store     string
	hosts     string
	engine    string
	weights   string
	zones     int
	gateways  []*daemon
	sidecars  []*daemon
	// standIns, sidecarGroup and gatewayGroup end in reverse order.
	standIns, sidecarGroup, gatewayGroup *process.Group
}

// standIns is how many processes stand in for the platform.
const standIns = 4

// newSite lays out a site whose zones have two gateways each, up to the zones
// of the design size.
func newSite(binaries, directory string, gateways, sidecars int) (*site, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, err
	}
	free, err := process.FreeAddresses(standIns + 3*gateways + 2*sidecars)
	if err != nil {
		return nil, err
	}
	next := func() string {
		address := free[0]
		free = free[1:]
		return address
	}
	s := &site{
		directory: directory, store: next(), hosts: next(), engine: next(), weights: next(), zones: min(designZones, max(1, gateways/2)),
		standIns:     process.NewGroup(binaries, directory),
		sidecarGroup: process.NewGroup(binaries, directory),
		gatewayGroup: process.NewGroup(binaries, directory),
	}
	hosts := []hostlist.Host{}
	for i := range sidecars {
		d := &daemon{name: fmt.Sprintf("endpoint-%05d", i), zone: zoneName(i % s.zones), peers: next(), admin: next()}
		s.sidecars = append(s.sidecars, d)
		hosts = append(hosts, d.host(hostlist.RoleEndpoint, serviceLabel(0)))
		text := fmt.Sprintf("[endpoint]\nname = %s\nzone = %s\nkind = model\n\n[listen]\naddress = %s\n\n[admin]\naddress = %s\n\n[engine]\naddress = %s\n", d.name, d.zone, d.peers, d.admin, s.engine)
		if err := s.write(d.name+".ini", text); err != nil {
			return nil, err
		}
	}
	for i := range gateways {
		d := &daemon{name: fmt.Sprintf("gateway-%03d", i), zone: zoneName(i % s.zones), peers: next(), admin: next()}
		s.gateways = append(s.gateways, d)
		hosts = append(hosts, d.host(hostlist.RoleGateway, "gateway"))
		text := fmt.Sprintf("[process]\nid = %s\nzone = %s\nregion = region-1\n\n[callers]\naddress = %s\n\n[admin]\naddress = %s\n\n[peers]\naddress = %s\n\n[platform]\nhost_list = %s\nweight_store = %s\n\n[store]\naddress = %s\n\n[shutdown]\nnotice = 0s\n",
			d.name, d.zone, next(), d.admin, d.peers, s.hosts, s.weights, s.store)
		if err := s.write(d.name+".ini", text); err != nil {
			return nil, err
		}
	}
	list, err := json.Marshal(hosts)
	if err != nil {
		return nil, err
	}
	return s, s.write("hosts.json", string(list))
}

func (d *daemon) host(role hostlist.Role, service string) hostlist.Host {
	return hostlist.Host{
		Name: d.name, Zone: d.zone, Region: "region-1", Role: role, Service: service, Address: d.peers, Incarnation: 1, State: hostlist.StateLive,
	}
}

func (s *site) path(name string) string { return filepath.Join(s.directory, name) }

func (s *site) write(name, text string) error { return os.WriteFile(s.path(name), []byte(text), 0o600) }

func (s *site) kvstore() *kvstore.Client { return kvstore.NewClient(s.store, kvstore.DefaultLimits()) }

// start starts the stand-ins, writes the tables, and starts our processes.
func (s *site) start(ctx context.Context, seed uint64, accounts int) (*writer, error) {
	starts := [][]string{
		{"kvstore", "kvstore", "--listen", s.store},
		{"hostlist", "hostlist", "--listen", s.hosts, "--hosts", s.path("hosts.json")},
		{"engine", "engine", "--listen", s.engine, "--model", "model-00"},
		{"weightstore", "weightstore", "--listen", s.weights},
	}
	for _, a := range starts {
		if err := s.standIns.Start(a[0], "siskin-fake", a[1:]...); err != nil {
			return nil, err
		}
	}
	if err := s.standIns.AwaitReady(ctx, "kvstore", "http://"+s.store+"/control"); err != nil {
		return nil, err
	}
	w, err := newWriter(ctx, s.kvstore(), seed, accounts)
	if err != nil {
		return nil, err
	}
	for _, d := range s.sidecars {
		if err := s.sidecarGroup.Start(d.name, "siskin-sidecar", "--config", s.path(d.name+".ini")); err != nil {
			return nil, err
		}
	}
	for _, d := range s.gateways {
		if err := s.startGateway(d); err != nil {
			return nil, err
		}
	}
	return w, s.awaitAll(ctx)
}

func (s *site) startGateway(d *daemon) error {
	return s.gatewayGroup.Start(d.name, "siskin-gateway", "--config", s.path(d.name+".ini"))
}

func (s *site) awaitAll(ctx context.Context) error {
	for group, list := range map[*process.Group][]*daemon{s.sidecarGroup: s.sidecars, s.gatewayGroup: s.gateways} {
		ids := group.PIDs()
		for _, d := range list {
			d.pid = ids[d.name]
			if err := group.AwaitReady(ctx, d.name, "http://"+d.admin+"/readyz"); err != nil {
				return err
			}
		}
	}
	return nil
}

// stop ends all processes, gateways first.
func (s *site) stop() error {
	return errors.Join(s.gatewayGroup.StopConcurrently(), s.sidecarGroup.StopConcurrently(), s.standIns.StopConcurrently())
}

// counters reads the calls of the store so far.
func (s *site) counters(ctx context.Context) (fakestore.Counters, error) {
	var c fakestore.Counters
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.store+"/control/counters", nil)
	if err != nil {
		return c, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return c, err
	}
	defer response.Body.Close()
	return c, json.NewDecoder(response.Body).Decode(&c)
}

// setStore changes the switches of the store's stand-in.
func (s *site) setStore(ctx context.Context, switches string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.store+"/control", strings.NewReader(switches))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store's stand-in answered with status %d", response.StatusCode)
	}
	return nil
}
