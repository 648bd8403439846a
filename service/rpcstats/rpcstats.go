// Package rpcstats counts the bytes sent and received over gRPC for each method.
package rpcstats

import (
	"context"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// CounterName is the name of the byte counter. Its tags are method and direction.
const CounterName = "rpc_bytes"

// otherMethod is the tag value for all unregistered methods, so that a caller cannot
// create time series by inventing method names.
const otherMethod = "other"

type counters struct{ sent, received tally.Counter }

// Handler is a stats.Handler for servers and clients. It counts messages, including
// their gRPC prefix, and received headers. It does not count sent headers, trailers
// and the overhead of HTTP/2 frames, pings and TLS.
type Handler struct{ methods map[string]counters }

var _ stats.Handler = (*Handler)(nil)

// New returns a handler that counts the methods of the given services separately.
func New(scope tally.Scope, services ...*grpc.ServiceDesc) *Handler {
	h := &Handler{methods: map[string]counters{}}
	h.addMethod(scope, otherMethod, otherMethod)
	for _, s := range services {
		for _, m := range s.Methods {
			h.addMethod(scope, "/"+s.ServiceName+"/"+m.MethodName, m.MethodName)
		}
		for _, m := range s.Streams {
			h.addMethod(scope, "/"+s.ServiceName+"/"+m.StreamName, m.StreamName)
		}
	}
	return h
}

func (h *Handler) addMethod(scope tally.Scope, method, tag string) {
	newCounter := func(direction string) tally.Counter {
		return scope.Tagged(map[string]string{"method": tag, "direction": direction}).Counter(CounterName)
	}
	h.methods[method] = counters{sent: newCounter("sent"), received: newCounter("received")}
}

type countersKey struct{}

// TagRPC stores the counters of the method in the context.
func (h *Handler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	c, ok := h.methods[info.FullMethodName]
	if !ok {
		c = h.methods[otherMethod]
	}
	return context.WithValue(ctx, countersKey{}, c)
}

// HandleRPC counts the bytes of a message or received header.
func (h *Handler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, ok := ctx.Value(countersKey{}).(counters)
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
