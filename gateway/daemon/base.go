package daemon

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/gateway/config"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/suspects"
	pb "siskinstand.example/peerpb"
	"siskinstand.example/service/burnrate"
	"siskinstand.example/service/logging"
	"siskinstand.example/service/metrics"
	"siskinstand.example/service/rpcstats"
)

// Base holds the state and dependencies shared by all components of a gateway.
type Base struct {
	Settings    config.Settings
	Incarnation uint64
	TLSKeys     TLSKeys
	Metrics     *metrics.Metrics
	// RPC counts the bytes of gRPC calls from and to other processes.
	RPC        *rpcstats.Handler
	Invariants *invariant.Registry
	Suspects   *suspects.Table
	Burn       *burnrate.Recorder
	loop       atomic.Pointer[control.Loop]
}

// NewBase sets up the metrics, the invariant registry and the recorders.
func NewBase(s config.Settings, k TLSKeys) (*Base, error) {
	m, err := metrics.New(metrics.Config{Prefix: "gateway", ProcessID: s.Process.ID, Zone: s.Process.Zone})
	if err != nil {
		return nil, err
	}
	limits, err := s.Objectives.Limits()
	if err != nil {
		return nil, err
	}
	b := &Base{Settings: s, Incarnation: uint64(time.Now().UnixNano()), TLSKeys: k, Metrics: m, Suspects: suspects.New(time.Now), Burn: burnrate.New(burnrate.Config{Limits: limits})}
	b.RPC = rpcstats.New(m.Scope, &pb.Sidecar_ServiceDesc, &pb.Peer_ServiceDesc)
	b.Invariants = invariant.NewRegistry(func(name invariant.Name, message string) {
		m.Scope.Tagged(map[string]string{"name": string(name)}).Counter("invariant_violations").Inc(1)
		klog.ErrorS(nil, "invariant violated", logging.FieldInvariant, name, "detail", message)
	})
	return b, nil
}

// View returns the current view of the control loop. It is empty until New has
// been called.
func (b *Base) View() *control.View {
	if l := b.loop.Load(); l != nil {
		return l.View()
	}
	return &control.View{}
}

func (b *Base) sender() *pb.Sender {
	return &pb.Sender{
		ProcessId: b.Settings.Process.ID, Incarnation: b.Incarnation, Zone: b.Settings.Process.Zone,
		ConfigRevision: b.View().Config.Revision,
	}
}
