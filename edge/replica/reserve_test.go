package replica

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/coord/responsehead"
	"siskinstand.example/coord/responsehead/headtest"
)

// Guards against bytes that are no response and are taken for the reservation of memory.
func TestBrokenOrderResponse(t *testing.T) {
	for _, tc := range headtest.Broken("Content-Type: application/json\r\n") {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			target := ReservationTarget{ID: "i-1", Address: headtest.Serve(t, tc.Text), Tokens: 1}
			r, err := testPool(t).Reserve(t.Context(), "e1", []ReservationTarget{target})
			if !errors.Is(err, responsehead.ErrMalformed) {
				t.Errorf("error %v, want ErrMalformed", err)
			}
			if err == nil {
				r.Release()
			}
		})
	}
}

// Guards against a response to an order that does not end.
func TestEndlessOrderResponse(t *testing.T) {
	const (
		// maxTime is enough for an order and the one that releases the reservation.
		maxTime = 2*orderTimeout + 500*time.Millisecond
		// maxBytes is for both orders, and for the buffers of their connections.
		maxBytes = 2*(maxHeadBytes+maxDiscardBytes) + 24<<20
	)
	for name, tc := range map[string]struct{ prefix, filler string }{
		"head":         {"HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"},
		"body":         {"HTTP/1.1 200 OK\r\n\r\n", " "},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"no head":      {"", "x"},
		"interim head": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			address := headtest.ServeEndless(t, tc.prefix, tc.filler, func(n int) { sent.Add(int64(n)) })
			startedAt := time.Now()
			_, err := testPool(t).Reserve(t.Context(), "e1", []ReservationTarget{{ID: "i-1", Address: address, Tokens: 1}})
			if err == nil {
				t.Error("memory counts as reserved")
			}
			if d := time.Since(startedAt); d > maxTime {
				t.Errorf("took %v, want at most %v", d, maxTime)
			}
			if n := sent.Load(); n > maxBytes {
				t.Errorf("%d bytes sent, want at most %d", n, maxBytes)
			}
		})
	}
}
