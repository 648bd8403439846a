package grpcserver

import (
	"context"
	"time"

	"siskinstand.example/coord/suspect"
	"siskinstand.example/peerpb"
	"siskinstand.example/sidecar/control"
)

const (
	// minReportInterval is the minimum time between two reports on one stream.
	minReportInterval = 200 * time.Millisecond
	// maxReportInterval is the time after which a report is sent even without a
	// significant change.
	maxReportInterval = 4 * time.Second
)

// Control receives this endpoint's configuration slice and crash suspects from a
// gateway, and sends the gateway reports of the endpoint's state. It ends with the
// gateway's side of the stream or at EndControlStreams.
func (s *Server) Control(stream peerpb.Sidecar_ControlServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(s.controlCtx, cancel)
	defer stop()
	go func() {
		defer cancel()
		s.receiveControl(stream)
	}()
	for {
		snapshot := s.config.Loop.Snapshot()
		if err := stream.Send(s.newControlReport(snapshot)); err != nil {
			return err
		}
		if !waitForChange(ctx, nil, minReportInterval) || !waitForChange(ctx, snapshot.Changed, maxReportInterval-minReportInterval) {
			return nil
		}
	}
}

// waitForChange waits until changed is closed or d has passed. It returns false
// if the context ends first.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
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

func (s *Server) receiveControl(stream peerpb.Sidecar_ControlServer) {
	defer s.gateways.setAddress(stream, "")
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		s.gateways.setAddress(stream, m.PeerAddress)
		if m.Slice != nil {
			s.config.Loop.SetConfigSlice(configSliceFromProto(m.Slice))
		}
		s.config.Loop.MergeSuspectReports(suspectReportsFromProto(m.Suspects))
	}
}

func (s *Server) newControlReport(snapshot *control.Snapshot) *peerpb.ControlReport {
	return &peerpb.ControlReport{
		Sender: s.sender(), Endpoint: s.config.Endpoint, Load: loadToProto(snapshot), State: string(snapshot.State),
		Model: snapshot.Model, EngineAddress: s.config.EngineAddress, Suspects: suspectReportsToProto(snapshot.Suspects),
	}
}

func configSliceFromProto(s *peerpb.Slice) control.ConfigSlice {
	return control.ConfigSlice{
		Revision: s.Revision, ChangedRevision: s.ChangedRevision, Endpoint: s.Endpoint, Pool: s.Pool,
		ZoneOut: s.ZoneOut, HostLeaving: s.HostLeaving, MaxPromptTokens: s.MaxPromptTokens, Model: s.Model,
	}
}

// maxReceivedSuspectReports bounds the crash suspects that are read from one message.
const maxReceivedSuspectReports = 1_024

func suspectReportsFromProto(list []*peerpb.Suspect) []suspect.Report {
	reports := make([]suspect.Report, 0, min(len(list), maxReceivedSuspectReports))
	for _, s := range list[:min(len(list), maxReceivedSuspectReports)] {
		r := suspect.Report{
			Fingerprint: suspect.Fingerprint(s.Fingerprint), Strikes: s.Strikes,
			Age: durationFromMillis(s.AgeMs), Cleared: s.Cleared,
		}
		for _, e := range s.Events {
			r.Crashes = append(r.Crashes, suspect.CrashID(e))
		}
		reports = append(reports, r)
	}
	return reports
}

func suspectReportsToProto(reports []suspect.Report) []*peerpb.Suspect {
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
