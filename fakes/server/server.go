// Package server runs the HTTP server of a fake. The server can stop for a time and
// listen on the same address again, to simulate refused connections.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"siskinstand.example/fakes/loopback"
)

// Server serves an HTTP handler on a TCP address.
type Server struct {
	address string
	handler http.Handler

	mu      sync.Mutex
	running *listeningServer // nil during an outage
	closed  bool
	failure chan error
}

// listeningServer is an HTTP server with the listener that it serves.
type listeningServer struct {
	http     *http.Server
	listener net.Listener
	served   chan struct{} // closed when Serve has returned
}

// close refuses new connections and closes all others before it returns. The
// listener is closed first: http.Server.Close misses a listener that Serve has not
// registered yet, and a connection that is being accepted.
func (l *listeningServer) close() {
	_ = l.listener.Close()
	<-l.served
	_ = l.http.Close()
}

// Start listens on an address and serves the handler. Port 0 selects a free port,
// which the server keeps across outages.
func Start(address string, handler http.Handler) (*Server, error) {
	s := &Server{address: address, handler: handler, failure: make(chan error, 1)}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.startServing(listener)
	return s, nil
}

// StartLoopback listens on a loopback IP of its own, whose port no other listener or
// connection can take during an outage.
func StartLoopback(handler http.Handler) (*Server, error) {
	return Start(net.JoinHostPort(loopback.IP(), "0"), handler)
}

// Address returns the host and port on which the server listens.
func (s *Server) Address() string { return s.address }

// Failure delivers an error if the server can't listen again after StopFor.
func (s *Server) Failure() <-chan error { return s.failure }

func (s *Server) startServing(listener net.Listener) {
	l := &listeningServer{
		http:     &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second},
		listener: listener,
		served:   make(chan struct{}),
	}
	go func() {
		defer close(l.served)
		_ = l.http.Serve(listener) // returns when the listener is closed
	}()
	s.running = l
}

// StopFor closes all connections and refuses new ones for d. It does nothing during
// an outage or after Close.
func (s *Server) StopFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.running == nil {
		return
	}
	s.running.close()
	s.running = nil
	time.AfterFunc(d, s.restart)
}

// restart listens on the address again. It tries repeatedly, because the port may
// still be in use.
func (s *Server) restart() {
	const maxAttempts = 100
	const retryInterval = 20 * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	var lastErr error
	for range maxAttempts {
		if s.closed {
			return
		}
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.startServing(listener)
			return
		}
		lastErr = err
		time.Sleep(retryInterval)
	}
	s.failure <- fmt.Errorf("listen again on %s after an outage: %w", s.address, lastErr)
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.running != nil {
		s.running.close()
	}
}

// WaitAndClose waits until the context ends or the server can't listen again, and
// closes the server. It returns the error of the listener, if there is one.
func (s *Server) WaitAndClose(ctx context.Context) error {
	defer s.Close()
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.failure:
		return err
	}
}

// MaxBodyBytes is the maximum size of a request body that a fake reads.
const MaxBodyBytes = 32 << 20

// ReadJSON decodes a request body into target. If that fails, it responds with 400
// and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err := decoder.Decode(target); err != nil {
		http.Error(w, "bad request: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON responds with status 200 and the value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ControlHandler serves the switches of a fake. GET returns them; POST changes the
// fields in the request body and returns the result. T is the fake's Switches type.
func ControlHandler[T any](get func() T, set func(T) error) http.HandlerFunc {
	var mu sync.Mutex
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		switches := get()
		if r.Method == http.MethodPost {
			if !ReadJSON(w, r, &switches) {
				return
			}
			if err := set(switches); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		WriteJSON(w, switches)
	}
}

// ErrAbortConnection is the panic value with which a handler aborts the connection
// without a response.
var ErrAbortConnection = http.ErrAbortHandler

// Duration is a non-negative duration that is written as text in JSON and on the
// command line, such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if parsed < 0 {
		return errors.New("duration is negative")
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalFlag implements flags.Unmarshaler.
func (d *Duration) UnmarshalFlag(text string) error { return d.UnmarshalText([]byte(text)) }
