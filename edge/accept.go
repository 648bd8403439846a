package main

import (
	"errors"
	"net"
	"time"

	"k8s.io/klog/v2"
)

const (
	// acceptRetryInterval is the time from an error of Accept to the next call, and
	// maxAcceptFailures the number of consecutive errors after which the listener counts as broken.
	acceptRetryInterval = 50 * time.Millisecond
	maxAcceptFailures   = 20
)

// tolerantListener calls Accept again after an error. On Linux, accept returns errors of the network
// that concern a single connection (accept(2)), and net/http would stop serving.
type tolerantListener struct{ net.Listener }

// Accept implements net.Listener.
func (l tolerantListener) Accept() (net.Conn, error) {
	for failures := 1; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || failures >= maxAcceptFailures {
			return c, err
		}
		klog.ErrorS(err, "connection not accepted", "address", l.Addr().String(), "failures", failures)
		time.Sleep(acceptRetryInterval)
	}
}
