package engine

import (
	"context"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/coord/responsehead/headtest"
)

// Guards against an engine that sends bytes without end: a sidecar that keeps them runs out of
// memory, and all requests on its host end with it.
func TestEndlessResponse(t *testing.T) {
	const (
		ok = "HTTP/1.1 200 OK\r\n"
		// maxAllocated is a small part of the 216 MB that the hosts of sidecars have, since an
		// engine is asked for its state and its load at the same time.
		maxAllocated = 32 << 20
		// maxTime is CallTimeout of the limits, and a second.
		maxTime = 3 * time.Second
	)
	calls := map[string]func(*ModelClient, context.Context) error{
		"state": func(c *ModelClient, ctx context.Context) error { _, err := c.State(ctx); return err },
		"load":  func(c *ModelClient, ctx context.Context) error { _, err := c.Load(ctx); return err },
		"order": func(c *ModelClient, ctx context.Context) error { return c.Apply(ctx, Order{}) },
		"free":  func(c *ModelClient, ctx context.Context) error { return c.Free(ctx, "a") },
		"hold":  func(c *ModelClient, ctx context.Context) error { return c.Hold(ctx, "a", 1, time.Second) },
	}
	for name, tc := range map[string]struct{ prefix, filler string }{
		"status line":    {"HTTP/1.1 200 ", "x"},
		"header lines":   {ok, "X-Filler: x\r\n"},
		"interim":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":           {ok + "\r\n", " "},
		"string":         {ok + "\r\n{\"model\":\"", "x"},
		"list":           {ok + "\r\n{\"pieces\":[", "{},"},
		"error":          {"HTTP/1.1 500 Error\r\n\r\n", "x"},
		"chunks":         {ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat(" ", 0x400) + "\r\n"},
		"chunk size":     {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer fields": {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: x\r\n"},
	} {
		for call, do := range calls {
			t.Run(name+"/"+call, func(t *testing.T) {
				var sent atomic.Int64
				client := NewModelClient(headtest.ServeEndless(t, tc.prefix, tc.filler, func(n int) { sent.Add(int64(n)) }), DefaultLimits())
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				startedAt := time.Now()
				if err := do(client, t.Context()); err == nil {
					t.Error("the call succeeded")
				}
				if d := time.Since(startedAt); d > maxTime {
					t.Errorf("the call took %v, want at most %v", d, maxTime)
				}
				runtime.ReadMemStats(&after)
				if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
					t.Errorf("%d bytes allocated, want at most %d, for %d bytes sent", n, maxAllocated, sent.Load())
				}
			})
		}
	}
}
