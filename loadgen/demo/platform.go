package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"siskinstand.example/fakes/platform"
	"siskinstand.example/loadgen/process"
)

const (
	// platformReplicas is the number of replicas of each service of the platform
	// fake.
	platformReplicas = 3
	platformEvents   = 8
	eventInterval    = 20 * time.Millisecond
	requestTimeout   = 5 * time.Second
)

// edgeSettings is the template for the settings of siskin-edge, the daemon of the
// entry host.
const edgeSettings = `[process]
id = edge-1
zone = zone-a
[callers]
address = %s
ready_address = %s
[store]
address = %s
[peers]
address = %s
[admin]
address = %s
`

// runEdgeAndCheck demonstrates the request path on the users' platform: an entry host
// forwards calls to replicas that it finds in a fake of the platform's store.
func runEdgeAndCheck(ctx context.Context, c Config) (err error) {
	store := platform.NewStore()
	defer store.Close()
	addresses, err := process.FreeAddresses(5)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", addresses[0])
	if err != nil {
		return fmt.Errorf("listen for the fake store: %w", err)
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: requestTimeout}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	stop, err := startReplicas(store)
	defer stop()
	if err != nil {
		return err
	}
	store.Put(platform.ConfigKey, platform.Configuration(1, requestTimeout, []platform.Account{{Name: "demo", Keys: []string{platform.SampleAPIKey}}}))
	settings := filepath.Join(c.Directory, "edge.ini")
	text := fmt.Sprintf(edgeSettings, addresses[1], addresses[2], addresses[0], addresses[3], addresses[4])
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings of siskin-edge: %w", err)
	}
	processes := process.NewGroup(c.Binaries, c.Directory)
	defer func() { err = errors.Join(err, processes.Stop()) }()
	if err := processes.Start("edge-1", "siskin-edge", "--config", settings); err != nil {
		return err
	}
	if err := processes.AwaitReady(ctx, "edge-1", "http://"+addresses[2]+platform.ReadyPath); err != nil {
		return err
	}
	return sendThroughEdge(ctx, c, addresses[1])
}

func startReplicas(store *platform.Store) (stop func(), err error) {
	var started []*platform.Replica
	stop = func() {
		for _, r := range started {
			r.Close()
		}
	}
	for i := range platformReplicas {
		for service, events := range map[string]int{platform.ModelService: platformEvents, platform.PlainService: 0} {
			id := fmt.Sprintf("i-%s-%d", service, i)
			r, err := platform.NewReplica(platform.ReplicaConfig{ID: id, Service: service, Zone: "zone-a", Slots: 16, StreamEvents: events, EventInterval: eventInterval})
			if err != nil {
				return stop, err
			}
			started = append(started, r)
			store.Put(platform.ReplicaPrefix+id, r.StoreEntry("ready"))
		}
	}
	return stop, nil
}

// sendThroughEdge sends a request of each kind through the entry host and checks
// its status and, for a stream, its events.
func sendThroughEdge(ctx context.Context, c Config, callerAddress string) error {
	ctx, cancel := context.WithTimeout(ctx, 6*requestTimeout)
	defer cancel()
	for name, call := range map[string]platform.Call{
		"short stream": platform.StreamCall(5_000), "long stream": platform.StreamCall(210_000),
		"repeatable call": platform.PlainCall("idempotent"), "unrepeatable call": platform.PlainCall("non_idempotent"),
	} {
		start := time.Now()
		r := platform.SendOnNewConnection(ctx, callerAddress, call)
		if r.Err != nil || r.Status != http.StatusOK {
			return fmt.Errorf("%s on the users' platform: status %d, %w", name, r.Status, errors.Join(r.Err, errors.New(r.Body)))
		}
		if call.Host == platform.StreamHost && r.Body != platform.StreamBody(platformEvents) {
			return fmt.Errorf("%s on the users' platform: stream has missing or wrong events: %q", name, r.Body)
		}
		fmt.Fprintf(c.Out, "users' platform, %s: %d bytes in %d ms\n", name, len(r.Body), time.Since(start).Milliseconds())
	}
	return nil
}
