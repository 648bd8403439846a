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

// daemon is a gateway or sidecar process.
type daemon struct {
	name         string
	zone         string
	peerAddress  string
	adminAddress string
	pid          int
}

// site is a set of gateway and sidecar processes on loopback with fakes of the
// platform services. All sidecars share one fake engine, as it gets no traffic,
// and serve its model.
type site struct {
	directory          string
	storeAddress       string
	hostListAddress    string
	engineAddress      string
	weightStoreAddress string
	zones              int
	gateways           []*daemon
	sidecars           []*daemon
	// These groups are stopped in reverse order.
	fakeGroup, sidecarGroup, gatewayGroup *process.Group
}

// fakeProcesses is the number of processes that run platform fakes.
const fakeProcesses = 4

// newSite writes the settings of a site. There is one availability zone for every
// two gateways, but at least one and at most the number in the design size.
func newSite(binaries, directory string, gateways, sidecars int) (*site, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, err
	}
	addresses, err := process.FreeAddresses(fakeProcesses + 3*gateways + 2*sidecars)
	if err != nil {
		return nil, err
	}
	next := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	s := &site{
		directory: directory, storeAddress: next(), hostListAddress: next(), engineAddress: next(), weightStoreAddress: next(), zones: min(designZones, max(1, gateways/2)),
		fakeGroup:    process.NewGroup(binaries, directory),
		sidecarGroup: process.NewGroup(binaries, directory),
		gatewayGroup: process.NewGroup(binaries, directory),
	}
	hosts := []hostlist.Host{}
	for i := range sidecars {
		d := &daemon{name: fmt.Sprintf("endpoint-%05d", i), zone: zoneName(i % s.zones), peerAddress: next(), adminAddress: next()}
		s.sidecars = append(s.sidecars, d)
		hosts = append(hosts, d.host(hostlist.RoleEndpoint, serviceLabel(0)))
		text := fmt.Sprintf("[endpoint]\nname = %s\nzone = %s\nkind = model\n\n[listen]\naddress = %s\n\n[admin]\naddress = %s\n\n[engine]\naddress = %s\n", d.name, d.zone, d.peerAddress, d.adminAddress, s.engineAddress)
		if err := s.writeFile(d.name+".ini", text); err != nil {
			return nil, err
		}
	}
	for i := range gateways {
		d := &daemon{name: fmt.Sprintf("gateway-%03d", i), zone: zoneName(i % s.zones), peerAddress: next(), adminAddress: next()}
		s.gateways = append(s.gateways, d)
		hosts = append(hosts, d.host(hostlist.RoleGateway, "gateway"))
		text := fmt.Sprintf("[process]\nid = %s\nzone = %s\nregion = region-1\n\n[callers]\naddress = %s\n\n[admin]\naddress = %s\n\n[peers]\naddress = %s\n\n[platform]\nhost_list = %s\nweight_store = %s\n\n[store]\naddress = %s\n\n[shutdown]\nnotice = 0s\n",
			d.name, d.zone, next(), d.adminAddress, d.peerAddress, s.hostListAddress, s.weightStoreAddress, s.storeAddress)
		if err := s.writeFile(d.name+".ini", text); err != nil {
			return nil, err
		}
	}
	list, err := json.Marshal(hosts)
	if err != nil {
		return nil, err
	}
	return s, s.writeFile("hosts.json", string(list))
}

func (d *daemon) host(role hostlist.Role, service string) hostlist.Host {
	return hostlist.Host{
		Name: d.name, Zone: d.zone, Region: "region-1", Role: role, Service: service, Address: d.peerAddress, Incarnation: 1, State: hostlist.StateLive,
	}
}

func (s *site) path(name string) string { return filepath.Join(s.directory, name) }

func (s *site) writeFile(name, text string) error {
	return os.WriteFile(s.path(name), []byte(text), 0o600)
}

func (s *site) storeClient() *kvstore.Client {
	return kvstore.NewClient(s.storeAddress, kvstore.DefaultLimits())
}

// start starts the fakes, writes the tables to the store, starts the sidecars and
// gateways and waits until they are ready.
func (s *site) start(ctx context.Context, seed uint64, accounts int) (*configWriter, error) {
	starts := [][]string{
		{"kvstore", "kvstore", "--listen", s.storeAddress},
		{"hostlist", "hostlist", "--listen", s.hostListAddress, "--hosts", s.path("hosts.json")},
		{"engine", "engine", "--listen", s.engineAddress, "--model", "model-00"},
		{"weightstore", "weightstore", "--listen", s.weightStoreAddress},
	}
	for _, a := range starts {
		if err := s.fakeGroup.Start(a[0], "siskin-fake", a[1:]...); err != nil {
			return nil, err
		}
	}
	if err := s.fakeGroup.AwaitReady(ctx, "kvstore", "http://"+s.storeAddress+"/control"); err != nil {
		return nil, err
	}
	w, err := newConfigWriter(ctx, s.storeClient(), seed, accounts)
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
	return w, s.awaitReady(ctx)
}

func (s *site) startGateway(d *daemon) error {
	return s.gatewayGroup.Start(d.name, "siskin-gateway", "--config", s.path(d.name+".ini"))
}

func (s *site) awaitReady(ctx context.Context) error {
	for group, list := range map[*process.Group][]*daemon{s.sidecarGroup: s.sidecars, s.gatewayGroup: s.gateways} {
		ids := group.PIDs()
		for _, d := range list {
			d.pid = ids[d.name]
			if err := group.AwaitReady(ctx, d.name, "http://"+d.adminAddress+"/readyz"); err != nil {
				return err
			}
		}
	}
	return nil
}

// stop stops all processes, gateways first.
func (s *site) stop() error {
	return errors.Join(s.gatewayGroup.StopConcurrently(), s.sidecarGroup.StopConcurrently(), s.fakeGroup.StopConcurrently())
}

// storeCounters returns the numbers of calls to the store so far.
func (s *site) storeCounters(ctx context.Context) (fakestore.Counters, error) {
	var c fakestore.Counters
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.storeAddress+"/control/counters", nil)
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

// setStoreSwitches changes the fault switches of the fake store.
func (s *site) setStoreSwitches(ctx context.Context, switches string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.storeAddress+"/control", strings.NewReader(switches))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("set switches of the fake store: got HTTP status %d", response.StatusCode)
	}
	return nil
}
