package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/service/http1"
)

// BenchmarkStreamEvent measures one event of a stream from the replica to a caller that keeps
// up: the next event is sent when the caller has read the previous one. cpu-ns/op is the
// processor time of replica, host and caller together.
func BenchmarkStreamEvent(b *testing.B) {
	next := make(chan int, 1)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		fmt.Fprint(c, streamHead)
		for i := range next {
			fmt.Fprintf(c, "id: %06d\ndata: %080d\n\n", i, i)
		}
	}()
	s, _ := startServer(b, l.Addr().String())
	lc, err := ListenConfig(30*time.Second, 64<<10).Listen(b.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := http1.New(http1.Config{Handler: s, MaxHeaderBytes: 65536, Timeouts: func() http1.Timeouts { return http1.Timeouts{Header: time.Second, Idle: time.Minute} }})
	go func() { _ = server.Serve(lc) }() // ends by Close
	defer server.Close()
	c, err := net.Dial("tcp4", lc.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /resumable/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 9000\r\nContent-Length: 6\r\n\r\nprompt")
	next <- 0 // the head of the response comes with the first event
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		b.Fatal(err)
	}
	events := make([]byte, 4096)
	b.ReportAllocs()
	before := processorTime()
	for i := 1; b.Loop(); i++ {
		next <- i
		for n, seen := 0, false; !seen; {
			m, err := resp.Body.Read(events[n:])
			if err != nil {
				b.Fatal(err)
			}
			n += m
			seen = events[n-1] == '\n'
		}
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
	close(next)
}

func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // never fails for this process
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
