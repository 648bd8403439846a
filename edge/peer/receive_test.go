package peer

import (
	"context"
	"testing"
	"time"
)

type reportSink chan Message

func (s reportSink) ReceiveReport(m Message) { s <- m }

// Guards against a process that ends, with all its requests, because one read of a load report has
// failed, and against one that goes on without any reports.
func TestReceiveErrors(t *testing.T) {
	listen := func(name string) *Socket {
		s, err := Listen(Config{Name: name, Address: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.conn.Close() })
		return s
	}
	run := func(ctx context.Context, s *Socket, sink Sink) <-chan error {
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx, sink) }()
		return done
	}
	failReads := func(s *Socket, d time.Duration) {
		if err := s.conn.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
			t.Error(err)
		}
		time.AfterFunc(d, func() { _ = s.conn.SetReadDeadline(time.Time{}) })
	}
	t.Run("for a moment", func(t *testing.T) {
		t.Parallel()
		s, other, sink := listen("edge-1"), listen("edge-2"), make(reportSink, 1)
		failReads(s, 2*receiveRetryInterval)
		ctx, cancel := context.WithCancel(t.Context())
		done := run(ctx, s, sink)
		other.Send(Recipients{Direct: []string{s.conn.LocalAddr().String()}}, Message{})
		select {
		case m := <-sink:
			if m.Name != "edge-2" {
				t.Errorf("report of %q, want edge-2", m.Name)
			}
		case err := <-done:
			t.Fatalf("the socket was given up: %v", err)
		case <-time.After(2 * time.Second):
			t.Error("no report")
		}
		cancel()
		if err := <-done; err != nil {
			t.Errorf("stopped with %v", err)
		}
	})
	t.Run("for good", func(t *testing.T) {
		t.Parallel()
		s := listen("edge-1")
		failReads(s, time.Minute)
		select {
		case err := <-run(t.Context(), s, make(reportSink)):
			if err == nil {
				t.Error("stopped without an error")
			}
		case <-time.After(4 * maxReceiveFailures * receiveRetryInterval):
			t.Error("the broken socket was not given up")
		}
	})
}
