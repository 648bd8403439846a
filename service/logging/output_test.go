package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

func TestOutput(t *testing.T) {
	t.Run("bounded", func(t *testing.T) {
		// Guards against a log whose volume follows the load, and against lines left out without a count.
		var b bytes.Buffer
		o := NewAsyncWriter(AsyncConfig{LinesPerSecond: 10}, &b)
		for range 1000 {
			_, _ = o.Write([]byte("line\n"))
		}
		left := o.Suppressed()
		o.Close()
		// The loop may touch two or three seconds on a slow machine.
		if got := strings.Count(b.String(), "line\n"); got < 10 || got > 30 || left == 0 {
			t.Errorf("%d lines written, %d suppressed; want at most 10 a second", got, left)
		}
	})
	t.Run("requests and the process", func(t *testing.T) {
		// Guards against load that leaves out the lines about the process itself,
		// and against an end that hides how many lines were left out.
		var b bytes.Buffer
		o := NewAsyncWriter(AsyncConfig{LinesPerSecond: 10}, &b)
		for range 100 {
			_, _ = o.Write([]byte("I1204 a.go:1] \"answered\" request_id=\"a1\"\n"))
		}
		_, _ = o.Write([]byte("I1204 a.go:2] \"stopped\"\n"))
		o.Close()
		for _, want := range []string{"stopped", "log lines suppressed count="} {
			if !strings.Contains(b.String(), want) {
				t.Errorf("%q is not in the log:\n%s", want, b.String())
			}
		}
	})
	t.Run("blocked reader", func(t *testing.T) {
		// Guards against a request that waits for the reader of the log.
		r, w := io.Pipe()
		o := NewAsyncWriter(AsyncConfig{LinesPerSecond: 1 << 20}, w)
		for range 4 * queuedLines {
			_, _ = o.Write([]byte("line\n"))
		}
		if o.Suppressed() == 0 {
			t.Error("no line was suppressed although nobody reads")
		}
		go func() { _, _ = io.Copy(io.Discard, r) }()
		o.Close()
	})
	t.Run("after the end", func(t *testing.T) {
		// Guards against a goroutine that logs while the process ends and brings it down.
		var b bytes.Buffer
		o := NewAsyncWriter(AsyncConfig{LinesPerSecond: 10}, &b)
		_, _ = o.Write([]byte("early\n"))
		o.Close()
		_, _ = o.Write([]byte("late\n"))
		if got := b.String(); got != "early\n" {
			t.Errorf("written %q, want the line before the end", got)
		}
	})
}
