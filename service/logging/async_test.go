package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

func TestAsyncWriter(t *testing.T) {
	t.Run("bounded", func(t *testing.T) {
		// Guards against a log volume that grows with the load, and against lines
		// that are suppressed without being counted.
		var b bytes.Buffer
		a := NewAsyncWriter(AsyncConfig{LinesPerSecond: 10}, &b)
		for range 1000 {
			_, _ = a.Write([]byte("line\n"))
		}
		suppressed := a.Suppressed()
		a.Close()
		// On a slow machine, the loop may extend over two or three seconds.
		if got := strings.Count(b.String(), "line\n"); got < 10 || got > 30 || suppressed == 0 {
			t.Errorf("%d lines written, %d suppressed; want at most 10 a second", got, suppressed)
		}
	})
	t.Run("requests and the process", func(t *testing.T) {
		// Guards against request load that suppresses lines about the process, and
		// against closing without reporting the number of suppressed lines.
		var b bytes.Buffer
		a := NewAsyncWriter(AsyncConfig{LinesPerSecond: 10}, &b)
		for range 100 {
			_, _ = a.Write([]byte("I1204 a.go:1] \"answered\" request_id=\"a1\"\n"))
		}
		_, _ = a.Write([]byte("I1204 a.go:2] \"stopped\"\n"))
		a.Close()
		for _, want := range []string{"stopped", "log lines suppressed count="} {
			if !strings.Contains(b.String(), want) {
				t.Errorf("%q is not in the log:\n%s", want, b.String())
			}
		}
	})
	t.Run("blocked reader", func(t *testing.T) {
		// Guards against requests that are blocked by a slow log destination.
		r, w := io.Pipe()
		a := NewAsyncWriter(AsyncConfig{LinesPerSecond: 1 << 20}, w)
		for range 4 * maxQueuedLines {
			_, _ = a.Write([]byte("line\n"))
		}
		if a.Suppressed() == 0 {
			t.Error("no line was suppressed although the reader is blocked")
		}
		go func() { _, _ = io.Copy(io.Discard, r) }()
		a.Close()
	})
	t.Run("after the end", func(t *testing.T) {
		// Guards against a panic when a goroutine logs after the writer was closed.
		var b bytes.Buffer
		a := NewAsyncWriter(AsyncConfig{LinesPerSecond: 10}, &b)
		_, _ = a.Write([]byte("early\n"))
		a.Close()
		_, _ = a.Write([]byte("late\n"))
		if got := b.String(); got != "early\n" {
			t.Errorf("written %q, want the line logged before Close", got)
		}
	})
}
