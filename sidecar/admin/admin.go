// Package admin serves health checks and metrics on the admin listener.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/sidecar/control"
)

// headerTimeout bounds the time in which a client must send its request header.
const headerTimeout = 5 * time.Second

// NewHandler returns a handler for /healthz, /readyz and /metrics. The sidecar
// is ready while its endpoint is serving.
func NewHandler(loop *control.Loop, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		state := loop.Snapshot().State
		if state != control.StateServing {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintln(w, state)
	})
	mux.Handle("GET /metrics", metrics)
	return mux
}

// Serve serves HTTP requests until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve admin listener")
	}
	return nil
}
