// Package rpcstats counts the bytes that gRPC carries for each method.
package rpcstats

import (
	"context"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// Name is the counter, in bytes, with the tags method and direction.
const Name = "rpc_bytes"

// other stands for every method that is not ours, so that a caller with made-up
// methods cannot add time series.
const other = "other"

type counters struct{ sent, received tally.Counter }

// Handler is a stats.Handler for servers and clients. It counts messages with
// their gRPC prefix and received headers; HTTP/2 frames, pings and TLS are left
// out.
type Handler struct{ methods map[string]counters }

var _ stats.Handler = (*Handler)(nil)

// New returns a handler for the methods of the services.
func New(scope tally.Scope, services ...*grpc.ServiceDesc) *Handler {
	h := &Handler{methods: map[string]counters{}}
	h.add(scope, other, other)
	for _, s := range services {
		for _, m := range s.Methods {
			h.add(scope, "/"+s.ServiceName+"/"+m.MethodName, m.MethodName)
		}
		for _, m := range s.Streams {
			h.add(scope, "/"+s.ServiceName+"/"+m.StreamName, m.StreamName)
		}
	}
	return h
}

func (h *Handler) add(scope tally.Scope, method, tag string) {
	count := func(direction string) tally.Counter {
		return scope.Tagged(map[string]string{"method": tag, "direction": direction}).Counter(Name)
	}
	h.methods[method] = counters{sent: count("sent"), received: count("received")}
}

type methodKey struct{}

// TagRPC keeps the counters of the method in the context.
func (h *Handler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	c, ok := h.methods[info.FullMethodName]
	if !ok {
		c = h.methods[other]
	}
	return context.WithValue(ctx, methodKey{}, c)
}

// HandleRPC counts one event.
func (h *Handler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, ok := ctx.Value(methodKey{}).(counters)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.OutPayload:
		c.sent.Inc(int64(e.WireLength))
	case *stats.InPayload:
		c.received.Inc(int64(e.WireLength))
	case *stats.InHeader:
		c.received.Inc(int64(e.WireLength))
	}
}

// TagConn does nothing.
func (*Handler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (*Handler) HandleConn(context.Context, stats.ConnStats) {}
