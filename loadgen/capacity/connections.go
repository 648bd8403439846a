package capacity

import (
	"context"
	"runtime"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/peerpb"
)

// connectionMemory is the memory of both sides with a given number of connections to
// one sidecar: the resident memory of the sidecar, and the growth of this process's
// heap and stacks.
type connectionMemory struct{ sidecarBytes, clientBytes float64 }

// measureConnections measures memory at each of the counts of connections, which
// have one control stream each.
func measureConnections(ctx context.Context, s *site, counts []int) (map[int]connectionMemory, error) {
	sidecar := s.sidecars[0]
	var conns []*grpc.ClientConn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	result := map[int]connectionMemory{}
	before := liveMemory()
	for _, n := range counts {
		for len(conns) < n {
			conn, err := grpc.NewClient("passthrough:///"+sidecar.peerAddress, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
			if err != nil {
				return nil, err
			}
			conns = append(conns, conn)
			stream, err := peerpb.NewSidecarClient(conn).Control(ctx)
			if err != nil {
				return nil, err
			}
			if _, err := stream.Recv(); err != nil {
				return nil, err
			}
		}
		if err := sleep(ctx, time.Second); err != nil {
			return nil, err
		}
		server, err := residentBytes(sidecar.pid)
		if err != nil {
			return nil, err
		}
		result[n] = connectionMemory{sidecarBytes: server, clientBytes: liveMemory() - before}
	}
	return result, nil
}

// liveMemory returns the heap and stack bytes in use by this process after a
// garbage collection.
func liveMemory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

func (r *runner) addConnectionRows(ctx context.Context) (err error) {
	s, err := newSite(r.Binaries, r.path("connections"), 0, 1)
	if err != nil {
		return err
	}
	defer func() {
		if stopError := s.stop(); err == nil {
			err = stopError
		}
	}()
	if _, err := s.start(ctx, r.Seed, siteAccounts); err != nil {
		return err
	}
	counts := []int{50, 100, 200, designGateways}
	measured, err := measureConnections(ctx, s, counts)
	if err != nil {
		return err
	}
	server := Row{
		Section: "Connections", Name: "resident memory of a sidecar with control streams of all gateways", Unit: "MB", XUnit: "connections",
		DesignX: designGateways, Limit: limitMemoryMB, Remedy: "fewer control streams for a sidecar",
	}
	client := Row{Section: "Connections", Name: "heap and stacks of a gateway's side of its connections", Unit: "MB", XUnit: "connections", DesignX: designConnections + designGateways - 1,
		Limit: limitMemoryMB, Remedy: "a lower [sidecars] connections"}
	for _, n := range counts {
		server.Points = append(server.Points, Point{float64(n), measured[n].sidecarBytes / megabyte})
		client.Points = append(client.Points, Point{float64(n), measured[n].clientBytes / megabyte})
	}
	r.add(server.Fit())
	r.connectionMemory = r.add(client.Fit())
	return nil
}
