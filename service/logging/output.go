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

// queuedLines is the number of lines that wait for a slow reader of the log;
// a line has about 250 bytes, so they take about 256 KB.
const queuedLines = 1024

// AsyncConfig bounds a log that goes to a stream.
type AsyncConfig struct {
	Verbosity int
	// LinesPerSecond is the largest number of lines in a second; further ones
	// are counted and left out. It holds for lines of requests and for all others
	// each, so that load leaves out no line about the process itself.
	LinesPerSecond int
}

// AsyncWriter writes lines from a goroutine of its own, so that a slow reader never
// blocks the goroutine that logs.
type AsyncWriter struct {
	lines      chan []byte
	stop       chan struct{}
	done       chan struct{}
	limit      int64
	second     atomic.Int64
	ofRequests atomic.Int64
	ofOthers   atomic.Int64
	suppressed atomic.Int64
}

// SetupAsync sends the log to a writer.
func SetupAsync(c AsyncConfig, w io.Writer) (*AsyncWriter, error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true", "v": strconv.Itoa(c.Verbosity)} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	o := NewAsyncWriter(c, w)
	klog.SetOutput(o)
	return o, nil
}

// NewAsyncWriter returns an output that writes to w until it is closed.
func NewAsyncWriter(c AsyncConfig, w io.Writer) *AsyncWriter {
	o := &AsyncWriter{lines: make(chan []byte, queuedLines), stop: make(chan struct{}), done: make(chan struct{}), limit: int64(c.LinesPerSecond)}
	go o.run(w)
	return o
}

// requestMark is how klog writes the field that names a request.
var requestMark = []byte(" " + FieldRequestID + "=")

// Write queues a line. It never blocks and never fails.
func (o *AsyncWriter) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if o.second.Swap(now) != now {
		o.ofRequests.Store(0)
		o.ofOthers.Store(0)
	}
	count := &o.ofOthers
	if bytes.Contains(line, requestMark) {
		count = &o.ofRequests
	}
	if count.Add(1) > o.limit {
		o.suppressed.Add(1)
		return len(line), nil
	}
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.suppressed.Add(1)
	}
	return len(line), nil
}

// Suppressed returns the number of lines left out and not reported yet.
func (o *AsyncWriter) Suppressed() int64 { return o.suppressed.Load() }

// Close writes what is queued. Lines that come later are left out.
func (o *AsyncWriter) Close() {
	close(o.stop)
	<-o.done
}

func (o *AsyncWriter) run(w io.Writer) {
	defer close(o.done)
	for {
		select {
		case line := <-o.lines:
			o.write(w, line)
			continue
		case <-o.stop:
		}
		for {
			select {
			case line := <-o.lines:
				o.write(w, line)
			default:
				o.count(w)
				return
			}
		}
	}
}

func (o *AsyncWriter) count(w io.Writer) {
	if n := o.suppressed.Swap(0); n > 0 {
		fmt.Fprintf(w, "log lines suppressed count=%d\n", n)
	}
}

func (o *AsyncWriter) write(w io.Writer, line []byte) {
	o.count(w)
	// Nowhere is left to report a failed write of the log.
	_, _ = w.Write(line)
}
