// Package admin serves health checks and metrics to operators and the
// platform's balancer.
package admin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// readTimeout bounds the header of a request on the admin listener.
const readTimeout = 5 * time.Second

// Config constructs a handler.
type Config struct {
	// NotReadyReason returns an empty text, or the reason why the gateway is not ready.
	NotReadyReason func() string
	Metrics        http.Handler
}

// Handler returns the routes of the admin listener.
func Handler(c Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := c.NotReadyReason(); reason != "" {
			write(w, http.StatusServiceUnavailable, reason)
			return
		}
		write(w, http.StatusOK, "ready")
	})
	mux.Handle("GET /metrics", c.Metrics)
	return mux
}

func write(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	w.Write([]byte(text + "\n"))
}

// Serve runs the listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serve admin")
}
