package capacity

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/peerpb"
)

// startFigures are the measurements of a replaced gateway.
type startFigures struct {
	ready, load float64
	memory      float64
}

// measureStart starts a gateway while the store is down, so that it gets the
// configuration by a snapshot from its only peer.
func measureStart(ctx context.Context, c Config, accounts int) (f startFigures, err error) {
	s, err := newSite(c.Binaries, c.path(fmt.Sprintf("start-%d", accounts)), 2, 0)
	if err != nil {
		return f, err
	}
	defer func() {
		if stopError := s.stop(); err == nil {
			err = stopError
		}
	}()
	replaced := s.gateways[1]
	s.gateways = s.gateways[:1]
	if _, err := s.start(ctx, c.Seed, accounts); err != nil {
		return f, err
	}
	if err := s.setStore(ctx, `{"outage":true}`); err != nil {
		return f, err
	}
	began := time.Now()
	if err := s.startGateway(replaced); err != nil {
		return f, err
	}
	if err := s.gatewayGroup.AwaitReady(ctx, replaced.name, "http://"+replaced.admin+"/readyz"); err != nil {
		return f, err
	}
	f.ready = time.Since(began).Seconds()
	if f.memory, err = residentBytes(s.gatewayGroup.PIDs()[replaced.name]); err != nil {
		return f, err
	}
	f.load, err = loadSnapshot(ctx, s.gateways[0].peers)
	if err == nil {
		err = s.setStore(ctx, `{"outage":false}`)
	}
	return f, err
}

// loadSnapshot returns the time to fetch a peer's snapshot, in seconds.
func loadSnapshot(ctx context.Context, address string) (float64, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	began := time.Now()
	stream, err := peerpb.NewPeerClient(conn).Snapshot(ctx, &peerpb.SnapshotRequest{})
	if err != nil {
		return 0, err
	}
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return 0, err
		}
		if chunk.GetLast() {
			return time.Since(began).Seconds(), nil
		}
	}
}

func (r *runner) startup(ctx context.Context) error {
	sizes := []int{1_000, 5_000, designAccounts}
	measured := map[int]startFigures{}
	for _, n := range sizes {
		f, err := measureStart(ctx, r.Config, n)
		if err != nil {
			return err
		}
		measured[n] = f
	}
	add := func(name, unit string, limit float64, remedy string, value func(startFigures) float64) Row {
		row := Row{Section: "Start of a replaced gateway, store down", Name: name, Unit: unit, Scale: "client accounts", Design: designAccounts, Limit: limit, Remedy: remedy}
		for _, n := range sizes {
			row.Points = append(row.Points, Point{float64(n), value(measured[n])})
		}
		return r.add(row.Fit())
	}
	add("ready with a peer's snapshot", "s", limitInForce, "a parsed form in the snapshot", func(f startFigures) float64 { return f.ready })
	load := add("transfer of the snapshot", "s", 0, "", func(f startFigures) float64 { return f.load })
	r.startMemory = add("resident memory after the start", "MB", limitMemory, "fewer copies of a row", func(f startFigures) float64 { return f.memory / megabyte })
	r.snapshotLoad = load.Value + r.parse.Value/1000
	r.add(Row{
		Section: "Start of a replaced gateway, store down", Name: "transfer and parse, share of the 79 s between two starts", Unit: "%",
		Kind: Projected, Value: 100 * r.snapshotLoad / replacementInterval.Seconds(), Limit: 100, Remedy: "a parsed form in the snapshot",
	})
	return nil
}
