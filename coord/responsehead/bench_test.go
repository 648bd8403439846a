package responsehead

import "testing"

func BenchmarkChecker(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nReplica-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nDate: Mon, 07 Dec 2026 02:10:25 GMT\r\n\r\n")
	b.SetBytes(int64(len(head)))
	var c Checker
	for b.Loop() {
		c.Reset()
		if c.Feed(head); c.Err() != nil {
			b.Fatal(c.Err())
		}
	}
}
