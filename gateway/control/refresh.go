package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/membership"
	"siskinstand.example/coord/routing"
	"siskinstand.example/gateway/sidecar"
	pb "siskinstand.example/peerpb"
)

// refresh brings handles, view, slices and control streams up to date.
func (l *Loop) refresh(ctx context.Context, now time.Time) {
	for _, name := range l.table.Expire(now) {
		delete(l.endpoints, name)
		delete(l.slices, name)
	}
	for e := range l.table.All {
		l.handleOf(e)
	}
	l.publish(now)
	if l.configured {
		l.updateStreams(ctx, now)
	}
}

// handleOf keeps one handle for each address of an endpoint.
func (l *Loop) handleOf(e membership.Endpoint) {
	if h, ok := l.endpoints[e.Name]; ok && h.Address == e.Address && h.Zone == e.Zone {
		return
	}
	l.endpoints[e.Name] = sidecar.NewEndpoint(e.Name, e.Zone, e.Address)
}

func (l *Loop) publish(now time.Time) {
	v := &View{Config: l.snapshot, Configured: l.configured, HostsLoaded: l.listed, Pools: map[string]*PoolView{}}
	v.Gateways = slices.Collect(maps.Values(l.gateways))
	if l.configured {
		services := l.membersByService(now)
		for _, pool := range l.snapshot.Tables.Pools() {
			var members []poolMember
			for _, m := range services[pool.Service] {
				if pool.InZone(m.endpoint.Zone) {
					members = append(members, m)
				}
			}
			v.Pools[pool.Name] = newPoolView(pool, members)
		}
	}
	l.view.Store(v)
}

func (l *Loop) membersByService(now time.Time) map[string][]poolMember {
	services := map[string][]poolMember{}
	for e := range l.table.All {
		services[e.Service] = append(services[e.Service], poolMember{
			endpoint: l.endpoints[e.Name], placed: l.placed(e), usable: l.placed(e) && l.table.Usable(e.Name, now),
		})
	}
	return services
}

func (l *Loop) placed(e membership.Endpoint) bool {
	tables := l.snapshot.Tables
	return !tables.ZoneOut(e.Zone) && !tables.HostLeaving(e.Name)
}

// sliceOf computes what an endpoint needs of the configuration. It depends on
// the configuration alone, so that all gateways send the same at one revision;
// what the host list says of a host is for the choice of endpoints only.
func (l *Loop) sliceOf(name string, pools []config.Pool) *pb.Slice {
	e, _ := l.table.Get(name)
	s := &pb.Slice{
		Endpoint: name, Revision: l.snapshot.Revision,
		ZoneOut: l.snapshot.Tables.ZoneOut(e.Zone), HostLeaving: l.snapshot.Tables.HostLeaving(name),
	}
	var models []string
	for _, pool := range pools {
		if e.Service != pool.Service || !pool.InZone(e.Zone) {
			continue
		}
		if s.Pool == "" {
			s.Pool = pool.Name
		}
		if pool.Model != "" {
			models = append(models, pool.Model)
		}
		s.MaxPromptTokens = max(s.MaxPromptTokens, pool.MaxPromptTokens)
		if l.document != nil {
			s.ChangedRevision = max(s.ChangedRevision, l.document.Slice(pool.Name, e.Zone, name).ChangedRevision)
		}
	}
	// Pools that share an endpoint but name different models give no order.
	if models = slices.Compact(models); len(models) == 1 {
		s.Model = models[0]
	}
	if l.document == nil {
		s.ChangedRevision = l.seenChange(name, s)
	}
	l.slices[name] = s
	return s
}

// seenChange returns the revision at which this gateway saw the slice change,
// or 0. It serves sources without a history of rows.
func (l *Loop) seenChange(name string, s *pb.Slice) uint64 {
	old, ok := l.slices[name]
	switch {
	case !ok:
		return 0
	case sameSlice(old, s):
		return old.GetChangedRevision()
	}
	return s.GetRevision()
}

func sameSlice(a, b *pb.Slice) bool {
	return a.GetPool() == b.GetPool() && a.GetModel() == b.GetModel() && a.GetZoneOut() == b.GetZoneOut() &&
		a.GetHostLeaving() == b.GetHostLeaving() && a.GetMaxPromptTokens() == b.GetMaxPromptTokens()
}

// updateStreams keeps control streams to the gateway's subset of endpoints.
func (l *Loop) updateStreams(ctx context.Context, now time.Time) {
	suspects, version := l.config.Suspects.Snapshot()
	l.suspectVersion = version
	l.slicesDue = time.Time{}
	pools := l.snapshot.Tables.Pools()
	names := slices.Sorted(maps.Keys(l.endpoints))
	wanted := map[string]bool{}
	for _, name := range routing.Subset(l.config.GatewayID, names, l.config.SubsetSize) {
		wanted[name] = true
	}
	for name, s := range l.streams {
		if !wanted[name] || !l.current(s.endpoint) {
			s.cancel()
			delete(l.streams, name)
		}
	}
	for _, name := range names {
		l.table.SetProbed(name, wanted[name])
		if !wanted[name] {
			// Changes while no stream exists are not seen, so the history ends.
			delete(l.slices, name)
			continue
		}
		s, running := l.streams[name]
		if !running {
			if !l.table.ProbeDue(name, now) {
				continue
			}
			s = l.startStream(ctx, l.endpoints[name])
		}
		if due := s.offer(now, l.sliceOf(name, pools), suspects, version); !due.IsZero() && (l.slicesDue.IsZero() || due.Before(l.slicesDue)) {
			l.slicesDue = due
		}
	}
}

// controlStream is a running control stream.
type controlStream struct {
	endpoint *sidecar.Endpoint
	// peerAddress is where the sidecar reaches this gateway's Peer service.
	peerAddress string
	cancel      context.CancelFunc
	requests    chan *pb.ControlRequest
	// sent and version are those of the latest request, made at sentAt.
	sent    *pb.Slice
	sentAt  time.Time
	version uint64
}

// revisionInterval is the shortest time between two slices that differ only in
// their revision. With 128 streams and a change every 1.8 s, sending each of
// them made up most of a gateway's control bytes.
const revisionInterval = 4 * time.Second

// offer hands over the slice and the suspects unless both are unchanged. A
// request that was not sent yet is replaced by the newer one. A slice that
// differs only in its revision may have to wait until the returned time.
func (s *controlStream) offer(now time.Time, slice *pb.Slice, suspects []*pb.Suspect, version uint64) (due time.Time) {
	if s.sent != nil && s.version == version {
		if proto.Equal(s.sent, slice) {
			return time.Time{}
		}
		if due := s.sentAt.Add(revisionInterval); sameSlice(s.sent, slice) && now.Before(due) {
			return due
		}
	}
	request := &pb.ControlRequest{Slice: slice, Suspects: suspects, PeerAddress: s.peerAddress}
	s.sent, s.sentAt, s.version = slice, now, version
	select {
	case <-s.requests:
	default:
	}
	s.requests <- proto.Clone(request).(*pb.ControlRequest)
	return time.Time{}
}

func (l *Loop) startStream(loop context.Context, e *sidecar.Endpoint) *controlStream {
	ctx, cancel := context.WithCancel(loop)
	s := &controlStream{endpoint: e, peerAddress: l.config.PeerAddress, cancel: cancel, requests: make(chan *pb.ControlRequest, 1)}
	l.streams[e.Name] = s
	go func() {
		defer cancel()
		err := l.config.Client.RunControlStream(ctx, sidecar.ControlStream{
			Endpoint: e,
			Requests: s.requests,
			OnReport: func(r *pb.ControlReport) { l.onReport(ctx, e, r) },
		})
		l.send(loop, streamEnded{endpoint: e, err: err})
	}()
	return s
}

func (l *Loop) onReport(ctx context.Context, e *sidecar.Endpoint, r *pb.ControlReport) {
	// Suspects come first: a sidecar that reports its engine down names the
	// requests that must not go to the next endpoint.
	e.RecordReport(r)
	state, died := membership.State(r.GetState()), ""
	if state == membership.StateEngineDown {
		died = e.Name
	}
	l.config.Suspects.MergeReports(died, r.GetSuspects())
	l.send(ctx, reported{endpoint: e, process: r.GetSender().GetIncarnation(), state: state})
}
