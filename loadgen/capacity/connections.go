package capacity

import (
	"context"
	"runtime"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/peerpb"
)

// connectionFigures is the memory after some connections to one sidecar.
type connectionFigures struct{ server, client float64 }

// measureConnections opens connections with one control stream each.
func measureConnections(ctx context.Context, s *site, counts []int) (map[int]connectionFigures, error) {
	sidecar := s.sidecars[0]
	var conns []*grpc.ClientConn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	result := map[int]connectionFigures{}
	before := inUse()
	for _, n := range counts {
		for len(conns) < n {
			conn, err := grpc.NewClient("passthrough:///"+sidecar.peers, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
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
		if err := pause(ctx, time.Second); err != nil {
			return nil, err
		}
		server, err := residentBytes(sidecar.pid)
		if err != nil {
			return nil, err
		}
		result[n] = connectionFigures{server: server, client: inUse() - before}
	}
	return result, nil
}

// inUse returns heap and stacks of this process after a collection.
func inUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

func (r *runner) connections(ctx context.Context) (err error) {
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
		Section: "Connections", Name: "resident memory of a sidecar with control streams of all gateways", Unit: "MB", Scale: "connections",
		Design: designGateways, Limit: limitMemory, Remedy: "fewer control streams for a sidecar",
	}
	client := Row{Section: "Connections", Name: "heap and stacks of a gateway's side of its connections", Unit: "MB", Scale: "connections", Design: designConnections + designGateways - 1,
		Limit: limitMemory, Remedy: "a lower [sidecars] connections"}
	for _, n := range counts {
		server.Points = append(server.Points, Point{float64(n), measured[n].server / megabyte})
		client.Points = append(client.Points, Point{float64(n), measured[n].client / megabyte})
	}
	r.add(server.Fit())
	r.connectionMemory = r.add(client.Fit())
	return nil
}
