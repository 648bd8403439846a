package logging

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// maxQueuedLines limits the lines that are queued while the log's destination is
// slow. A line has about 250 bytes, so the queue takes up to about 256 KB.
const maxQueuedLines = 1024

// AsyncConfig configures an AsyncWriter.
type AsyncConfig struct {
	Verbosity int
	// LinesPerSecond is the maximum number of lines per second. Further lines are
	// suppressed and counted. The limit applies separately to lines about requests
	// and to all other lines, so that request load does not suppress lines about
	// the process.
	LinesPerSecond int
}

// AsyncWriter writes log lines from a separate goroutine, so that a slow destination
// never blocks the goroutine that logs.
type AsyncWriter struct {
	lines          chan []byte
	stop           chan struct{}
	done           chan struct{}
	linesPerSecond int64
	currentSecond  atomic.Int64
	requestLines   atomic.Int64
	otherLines     atomic.Int64
	suppressed     atomic.Int64
}

// SetupAsync configures klog to write to w through an AsyncWriter.
func SetupAsync(c AsyncConfig, w io.Writer) (*AsyncWriter, error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true", "v": strconv.Itoa(c.Verbosity)} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	a := NewAsyncWriter(c, w)
	klog.SetOutput(a)
	return a, nil
}

// NewAsyncWriter returns an AsyncWriter that writes to w until Close is called.
func NewAsyncWriter(c AsyncConfig, w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{}), linesPerSecond: int64(c.LinesPerSecond)}
	go a.writeLoop(w)
	return a
}

// requestFieldMarker is how klog formats the request ID field. It identifies lines
// about requests.
var requestFieldMarker = []byte(" " + FieldRequestID + "=")

// Write queues a line, or suppresses it if a limit is exceeded or the queue is
// full. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if a.currentSecond.Swap(now) != now {
		a.requestLines.Store(0)
		a.otherLines.Store(0)
	}
	count := &a.otherLines
	if bytes.Contains(line, requestFieldMarker) {
		count = &a.requestLines
	}
	if count.Add(1) > a.linesPerSecond {
		a.suppressed.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.suppressed.Add(1)
	}
	return len(line), nil
}

// Suppressed returns the number of suppressed lines that were not reported in the
// log yet.
func (a *AsyncWriter) Suppressed() int64 { return a.suppressed.Load() }

// Close writes the queued lines and stops the goroutine. Lines logged later are not
// written.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.done
}

func (a *AsyncWriter) writeLoop(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.writeLine(w, line)
			continue
		case <-a.stop:
		}
		for {
			select {
			case line := <-a.lines:
				a.writeLine(w, line)
			default:
				a.reportSuppressed(w)
				return
			}
		}
	}
}

func (a *AsyncWriter) reportSuppressed(w io.Writer) {
	if n := a.suppressed.Swap(0); n > 0 {
		fmt.Fprintf(w, "log lines suppressed count=%d\n", n)
	}
}

func (a *AsyncWriter) writeLine(w io.Writer, line []byte) {
	a.reportSuppressed(w)
	// There is no other place to report that writing the log failed.
	_, _ = w.Write(line)
}
