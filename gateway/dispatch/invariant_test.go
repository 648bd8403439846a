package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/assembly"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/sidecar"
	pb "siskinstand.example/peerpb"
)

type discardSink struct{}

func (discardSink) Deliver(ResponsePart) error { return nil }
func (discardSink) Restart() bool              { return true }

type slowEmptyControl struct{ ControlLoop }

func (slowEmptyControl) View() *control.View { time.Sleep(2 * lateMargin); return &control.View{} }

// Guards against invariant checks that fail to report a violation.
func TestViolations(t *testing.T) {
	pools := "[zone z1]\nstate = out\n[host e1]\nstate = leaving\n"
	tables, err := config.Parse(config.File{Name: "routes"}, config.File{Name: "pools", Text: []byte(pools)})
	if err != nil {
		t.Fatal(err)
	}
	view := &control.View{Config: config.Snapshot{Revision: 1, Tables: tables}}
	endpoint := sidecar.NewEndpoint("e1", "z1", "")
	tests := map[invariant.Name]func(x *execution){
		invariant.ZoneOut:     func(x *execution) { x.checkPlacement(view, endpoint) },
		invariant.LeavingHost: func(x *execution) { x.checkPlacement(view, endpoint) },
		invariant.StreamIdentity: func(x *execution) {
			x.deliver(context.Background(), assembly.Chunk{RequestID: "r", Position: 3}, &pb.Chunk{})
		},
		invariant.AtMostOnce: func(x *execution) {
			x.mayHaveRun = true
			if _, failure := x.runAttempt(context.Background(), target{endpoint: endpoint}); failure.Verdict != verdict.MayHaveRun {
				t.Errorf("verdict %s, want may_have_run", failure.Verdict)
			}
		},
		invariant.RequestOutcome: func(x *execution) {
			x.request.Route.Repeatable, x.request.Deadline = true, time.Now()
			_, _ = x.dispatcher.Run(context.Background(), x.request, discardSink{})
		},
		invariant.NotRunVerdict: func(x *execution) {
			x.deliveredChunks = 1
			x.finalError(context.Background(), verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "test"))
		},
	}
	for name, violate := range tests {
		t.Run(string(name), func(t *testing.T) {
			registry := invariant.NewRegistry(nil)
			d := New(Config{Invariants: registry, Scope: tally.NoopScope, Control: slowEmptyControl{}})
			violate(&execution{dispatcher: d, request: &Request{ID: "r"}, sink: discardSink{}, assembler: assembly.New("r")})
			if registry.Count(name) != 1 {
				t.Errorf("%d violations counted, want 1", registry.Count(name))
			}
		})
	}
}
