package grpcserver

import (
	"context"
	"time"

	"siskinstand.example/coord/suspect"
	"siskinstand.example/peerpb"
	"siskinstand.example/sidecar/control"
)

const (
	// reportGap is the least time between two reports on one stream.
	reportGap = 200 * time.Millisecond
	// reportInterval is the time after which a report is sent without change.
	reportInterval = 4 * time.Second
)

// Control takes the endpoint's part of the configuration from one gateway and
// reports the endpoint's state to it.
func (s *Server) Control(stream peerpb.Sidecar_ControlServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		s.receive(stream)
	}()
	for {
		snapshot := s.config.Loop.Snapshot()
		if err := stream.Send(s.report(snapshot)); err != nil {
			return err
		}
		if !pause(ctx, nil, reportGap) || !pause(ctx, snapshot.Changed, reportInterval-reportGap) {
			return nil
		}
	}
}

// pause waits for a change or the time and reports whether the stream lasts.
func pause(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

func (s *Server) receive(stream peerpb.Sidecar_ControlServer) {
	defer s.gateways.note(stream, "")
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		s.gateways.note(stream, m.PeerAddress)
		if m.Slice != nil {
			s.config.Loop.SetConfigSlice(sliceOf(m.Slice))
		}
		s.config.Loop.MergeSuspectReports(reportsOf(m.Suspects))
	}
}

func (s *Server) report(snapshot *control.Snapshot) *peerpb.ControlReport {
	return &peerpb.ControlReport{
		Sender: s.sender(), Endpoint: s.config.Endpoint, Load: loadOf(snapshot), State: string(snapshot.State),
		Model: snapshot.Model, EngineAddress: s.config.EngineAddress, Suspects: suspectsOf(snapshot.Suspects),
	}
}

func sliceOf(s *peerpb.Slice) control.ConfigSlice {
	return control.ConfigSlice{
		Revision: s.Revision, ChangedRevision: s.ChangedRevision, Endpoint: s.Endpoint, Pool: s.Pool,
		ZoneOut: s.ZoneOut, HostLeaving: s.HostLeaving, MaxPromptTokens: s.MaxPromptTokens, Model: s.Model,
	}
}

// maxSuspects bounds what is taken from one message.
const maxSuspects = 1_024

func reportsOf(list []*peerpb.Suspect) []suspect.Report {
	reports := make([]suspect.Report, 0, min(len(list), maxSuspects))
	for _, s := range list[:min(len(list), maxSuspects)] {
		r := suspect.Report{
			Fingerprint: suspect.Fingerprint(s.Fingerprint), Strikes: s.Strikes,
			Age: durationOf(s.AgeMs), Cleared: s.Cleared,
		}
		for _, e := range s.Events {
			r.Crashes = append(r.Crashes, suspect.CrashID(e))
		}
		reports = append(reports, r)
	}
	return reports
}

func suspectsOf(reports []suspect.Report) []*peerpb.Suspect {
	list := make([]*peerpb.Suspect, 0, len(reports))
	for _, r := range reports {
		s := &peerpb.Suspect{
			Fingerprint: uint64(r.Fingerprint), Strikes: r.Strikes, AgeMs: r.Age.Milliseconds(), Cleared: r.Cleared,
		}
		for _, e := range r.Crashes {
			s.Events = append(s.Events, uint64(e))
		}
		list = append(list, s)
	}
	return list
}
