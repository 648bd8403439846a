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

// refresh updates the endpoint handles, the view, the slices and the control
// streams.
func (l *Loop) refresh(ctx context.Context, now time.Time) {
	for _, name := range l.table.Expire(now) {
		delete(l.endpoints, name)
		delete(l.slices, name)
	}
	for e := range l.table.All {
		l.ensureHandle(e)
	}
	l.publishView(now)
	if l.configured {
		l.updateStreams(ctx, now)
	}
}

// ensureHandle creates a handle for an endpoint, or replaces it if the endpoint's
// address or zone has changed.
func (l *Loop) ensureHandle(e membership.Endpoint) {
	if h, ok := l.endpoints[e.Name]; ok && h.Address == e.Address && h.Zone == e.Zone {
		return
	}
	l.endpoints[e.Name] = sidecar.NewEndpoint(e.Name, e.Zone, e.Address)
}

func (l *Loop) publishView(now time.Time) {
	v := &View{Config: l.snapshot, Configured: l.configured, HostsLoaded: l.hostsLoaded, Pools: map[string]*PoolView{}}
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
			endpoint: l.endpoints[e.Name], inService: l.inService(e), usable: l.inService(e) && l.table.Usable(e.Name, now),
		})
	}
	return services
}

func (l *Loop) inService(e membership.Endpoint) bool {
	tables := l.snapshot.Tables
	return !tables.IsZoneOut(e.Zone) && !tables.IsHostLeaving(e.Name)
}

// computeSlice computes an endpoint's part of the configuration and stores it for
// observedChangeRevision. A host's state in the host list is not included, so that
// all gateways send the same slice at a given revision; that state only affects the
// selection of endpoints.
func (l *Loop) computeSlice(name string, pools []config.Pool) *pb.Slice {
	e, _ := l.table.Get(name)
	s := &pb.Slice{
		Endpoint: name, Revision: l.snapshot.Revision,
		ZoneOut: l.snapshot.Tables.IsZoneOut(e.Zone), HostLeaving: l.snapshot.Tables.IsHostLeaving(name),
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
	// No model is sent if the endpoint belongs to pools of different models.
	if models = slices.Compact(models); len(models) == 1 {
		s.Model = models[0]
	}
	if l.document == nil {
		s.ChangedRevision = l.observedChangeRevision(name, s)
	}
	l.slices[name] = s
	return s
}

// observedChangeRevision returns the revision at which this gateway observed the
// slice's latest change, or 0 if it has not seen one. It is used with sources that
// do not record the revisions at which rows changed.
func (l *Loop) observedChangeRevision(name string, s *pb.Slice) uint64 {
	old, ok := l.slices[name]
	switch {
	case !ok:
		return 0
	case equalIgnoringRevision(old, s):
		return old.GetChangedRevision()
	}
	return s.GetRevision()
}

func equalIgnoringRevision(a, b *pb.Slice) bool {
	return a.GetPool() == b.GetPool() && a.GetModel() == b.GetModel() && a.GetZoneOut() == b.GetZoneOut() &&
		a.GetHostLeaving() == b.GetHostLeaving() && a.GetMaxPromptTokens() == b.GetMaxPromptTokens()
}

// updateStreams starts and stops control streams to match the gateway's subset of
// endpoints and queues slices and suspects for them.
func (l *Loop) updateStreams(ctx context.Context, now time.Time) {
	suspects, version := l.config.Suspects.Snapshot()
	l.queuedSuspectVersion = version
	l.nextSliceSend = time.Time{}
	pools := l.snapshot.Tables.Pools()
	names := slices.Sorted(maps.Keys(l.endpoints))
	wanted := map[string]bool{}
	for _, name := range routing.Subset(l.config.GatewayID, names, l.config.SubsetSize) {
		wanted[name] = true
	}
	for name, s := range l.streams {
		if !wanted[name] || !l.isCurrent(s.endpoint) {
			s.cancel()
			delete(l.streams, name)
		}
	}
	for _, name := range names {
		l.table.SetProbed(name, wanted[name])
		if !wanted[name] {
			// Changes are not observed without a stream, so the earlier slice
			// cannot be used to detect the next change.
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
		if due := s.queueUpdate(now, l.computeSlice(name, pools), suspects, version); !due.IsZero() && (l.nextSliceSend.IsZero() || due.Before(l.nextSliceSend)) {
			l.nextSliceSend = due
		}
	}
}

// controlStream is the control goroutine's state of a running control stream.
type controlStream struct {
	endpoint *sidecar.Endpoint
	// peerAddress is the address of this gateway's Peer service, sent to the
	// sidecar.
	peerAddress string
	cancel      context.CancelFunc
	requests    chan *pb.ControlRequest
	// lastSlice and lastSuspectVersion belong to the latest request, queued at
	// lastQueuedAt.
	lastSlice          *pb.Slice
	lastQueuedAt       time.Time
	lastSuspectVersion uint64
}

// minRevisionInterval is the minimum time between a request and one that differs
// only in the revision of its slice. With 128 streams and a change every 1.8 s,
// sending all of these slices accounted for most of a gateway's control traffic.
const minRevisionInterval = 4 * time.Second

// queueUpdate queues a request with the slice and the suspects, unless both are
// unchanged. It replaces a queued request that has not been sent yet. If only the
// slice's revision has changed and minRevisionInterval has not passed, it queues
// nothing and returns the time at which the slice is due.
func (s *controlStream) queueUpdate(now time.Time, slice *pb.Slice, suspects []*pb.Suspect, version uint64) (due time.Time) {
	if s.lastSlice != nil && s.lastSuspectVersion == version {
		if proto.Equal(s.lastSlice, slice) {
			return time.Time{}
		}
		if due := s.lastQueuedAt.Add(minRevisionInterval); equalIgnoringRevision(s.lastSlice, slice) && now.Before(due) {
			return due
		}
	}
	request := &pb.ControlRequest{Slice: slice, Suspects: suspects, PeerAddress: s.peerAddress}
	s.lastSlice, s.lastQueuedAt, s.lastSuspectVersion = slice, now, version
	select {
	case <-s.requests:
	default:
	}
	s.requests <- proto.Clone(request).(*pb.ControlRequest)
	return time.Time{}
}

func (l *Loop) startStream(loopCtx context.Context, e *sidecar.Endpoint) *controlStream {
	ctx, cancel := context.WithCancel(loopCtx)
	s := &controlStream{endpoint: e, peerAddress: l.config.PeerAddress, cancel: cancel, requests: make(chan *pb.ControlRequest, 1)}
	l.streams[e.Name] = s
	go func() {
		defer cancel()
		err := l.config.Client.RunControlStream(ctx, sidecar.ControlStream{
			Endpoint: e,
			Requests: s.requests,
			OnReport: func(r *pb.ControlReport) { l.onReport(ctx, e, r) },
		})
		l.send(loopCtx, streamEnded{endpoint: e, err: err})
	}()
	return s
}

func (l *Loop) onReport(ctx context.Context, e *sidecar.Endpoint, r *pb.ControlReport) {
	e.RecordReport(r)
	state, crashedEndpoint := membership.State(r.GetState()), ""
	if state == membership.StateEngineDown {
		crashedEndpoint = e.Name
	}
	// Suspects are merged before the state is reported. When an engine is down,
	// they identify the requests that must run in isolation or be refused.
	l.config.Suspects.MergeReports(crashedEndpoint, r.GetSuspects())
	l.send(ctx, reportReceived{endpoint: e, incarnation: r.GetSender().GetIncarnation(), state: state})
}
