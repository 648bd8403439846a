// Package admin serves health checks and metrics to operators and the platform's
// load balancer.
package admin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// readHeaderTimeout limits reading the header of a request on the admin listener.
const readHeaderTimeout = 5 * time.Second

// Config configures a handler.
type Config struct {
	// NotReadyReason returns the reason why the gateway is not ready, or an empty
	// string if it is.
	NotReadyReason func() string
	Metrics        http.Handler
}

// Handler returns the HTTP handler of the admin listener.
func Handler(c Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := c.NotReadyReason(); reason != "" {
			writeText(w, http.StatusServiceUnavailable, reason)
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	mux.Handle("GET /metrics", c.Metrics)
	return mux
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	w.Write([]byte(text + "\n"))
}

// Serve serves HTTP on the listener until ctx is cancelled.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serve admin listener")
}
