package capacity

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/peerpb"
)

// startMeasurements are the time until a replacement gateway is ready, the time of a
// snapshot transfer, and the resident memory after the start.
type startMeasurements struct {
	readySeconds, snapshotTransferSeconds float64
	memoryBytes                           float64
}

// measureStart starts a gateway while the store is down, so that it gets its
// configuration as a snapshot from its only peer.
func measureStart(ctx context.Context, c Config, accounts int) (m startMeasurements, err error) {
	s, err := newSite(c.Binaries, c.path(fmt.Sprintf("start-%d", accounts)), 2, 0)
	if err != nil {
		return m, err
	}
	defer func() {
		if stopError := s.stop(); err == nil {
			err = stopError
		}
	}()
	replacement := s.gateways[1]
	s.gateways = s.gateways[:1]
	if _, err := s.start(ctx, c.Seed, accounts); err != nil {
		return m, err
	}
	if err := s.setStoreSwitches(ctx, `{"outage":true}`); err != nil {
		return m, err
	}
	start := time.Now()
	if err := s.startGateway(replacement); err != nil {
		return m, err
	}
	if err := s.gatewayGroup.AwaitReady(ctx, replacement.name, "http://"+replacement.adminAddress+"/readyz"); err != nil {
		return m, err
	}
	m.readySeconds = time.Since(start).Seconds()
	if m.memoryBytes, err = residentBytes(s.gatewayGroup.PIDs()[replacement.name]); err != nil {
		return m, err
	}
	m.snapshotTransferSeconds, err = fetchSnapshot(ctx, s.gateways[0].peerAddress)
	if err == nil {
		err = s.setStoreSwitches(ctx, `{"outage":false}`)
	}
	return m, err
}

// fetchSnapshot fetches a peer's snapshot and returns the transfer time in
// seconds.
func fetchSnapshot(ctx context.Context, address string) (float64, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	start := time.Now()
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
			return time.Since(start).Seconds(), nil
		}
	}
}

func (r *runner) addStartRows(ctx context.Context) error {
	sizes := []int{1_000, 5_000, designAccounts}
	measured := map[int]startMeasurements{}
	for _, n := range sizes {
		m, err := measureStart(ctx, r.Config, n)
		if err != nil {
			return err
		}
		measured[n] = m
	}
	add := func(name, unit string, limit float64, remedy string, value func(startMeasurements) float64) Row {
		row := Row{Section: "Start of a replaced gateway, store down", Name: name, Unit: unit, XUnit: "client accounts", DesignX: designAccounts, Limit: limit, Remedy: remedy}
		for _, n := range sizes {
			row.Points = append(row.Points, Point{float64(n), value(measured[n])})
		}
		return r.add(row.Fit())
	}
	add("ready with a peer's snapshot", "s", limitInForceSeconds, "a parsed form in the snapshot", func(m startMeasurements) float64 { return m.readySeconds })
	transfer := add("transfer of the snapshot", "s", 0, "", func(m startMeasurements) float64 { return m.snapshotTransferSeconds })
	r.startMemory = add("resident memory after the start", "MB", limitMemoryMB, "fewer copies of a row", func(m startMeasurements) float64 { return m.memoryBytes / megabyte })
	r.snapshotLoadSeconds = transfer.Value + r.parse.Value/1000
	r.add(Row{
		Section: "Start of a replaced gateway, store down", Name: "transfer and parse, share of the 79 s between two starts", Unit: "%",
		Kind: Projected, Value: 100 * r.snapshotLoadSeconds / replacementInterval.Seconds(), Limit: 100, Remedy: "a parsed form in the snapshot",
	})
	return nil
}
