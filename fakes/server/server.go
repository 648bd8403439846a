// Package server runs a fake's handler on an address that can go down and come
// back, so that clients see refused connections.
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
)

// Server serves one handler on one TCP address.
type Server struct {
	address string
	handler http.Handler

	mu      sync.Mutex
	running *http.Server
	closed  bool
	failure chan error
}

// Start listens on address; port 0 chooses a free port, which is kept for the
// server's whole life.
func Start(address string, handler http.Handler) (*Server, error) {
	s := &Server{address: address, handler: handler, failure: make(chan error, 1)}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.serve(listener)
	return s, nil
}

// Address returns the address as host and port.
func (s *Server) Address() string { return s.address }

// Failure delivers an error if the server can't listen again after an outage.
func (s *Server) Failure() <-chan error { return s.failure }

func (s *Server) serve(listener net.Listener) {
	s.running = &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.running)
}

// StopFor breaks all connections and refuses new ones for d.
func (s *Server) StopFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.running == nil {
		return
	}
	_ = s.running.Close()
	s.running = nil
	time.AfterFunc(d, s.up)
}

func (s *Server) up() {
	const tries = 100
	const pause = 20 * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	var last error
	for range tries {
		if s.closed {
			return
		}
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serve(listener)
			return
		}
		last = err
		time.Sleep(pause)
	}
	s.failure <- fmt.Errorf("listen again on %s: %w", s.address, last)
}

// Close stops the server and breaks its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.running != nil {
		_ = s.running.Close()
	}
}

// Wait returns when the context ends or the server fails for good.
func (s *Server) Wait(ctx context.Context) error {
	defer s.Close()
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.failure:
		return err
	}
}

// MaxBodyBytes bounds the request bodies that fakes read.
const MaxBodyBytes = 32 << 20

// ReadJSON decodes a request body and answers 400 if it can't.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err := decoder.Decode(target); err != nil {
		http.Error(w, "bad request: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with status 200 and the value.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ControlHandler serves a fake's switches: GET returns them, POST changes the fields
// that the body names. T is the structure of switches.
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

// ErrAbortConnection is the panic value that breaks a connection without an answer.
var ErrAbortConnection = http.ErrAbortHandler

// Duration is a duration written as text in JSON and on command lines, such as
// "250ms".
type Duration time.Duration

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the duration from text.
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

// UnmarshalFlag reads the duration from a command line.
func (d *Duration) UnmarshalFlag(text string) error { return d.UnmarshalText([]byte(text)) }
