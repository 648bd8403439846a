package platform

import (
	"time"
)

// Hostnames of the routes in the sample configuration, and the API key that calls
// use by default.
const (
	StreamHost = "llm.example"
	PlainHost  = "app.example"
	// PublicPath is the path prefix of a route of PlainHost that requires no key.
	PublicPath   = "/public/"
	SampleAPIKey = "key-1"
)

// Services in the sample configuration.
const (
	ModelService = "llm"
	PlainService = "app"
)

// Time limits in the sample configuration: for the header of a request, and for an
// idle connection between requests.
const (
	HeaderTimeout = 500 * time.Millisecond
	IdleTimeout   = 2 * time.Second
)

// Account is a client account in a configuration.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// Configuration returns a sample configuration with a streaming, an idempotent and
// a non-idempotent route. The path prefix of each is its route_type.
func Configuration(version int64, timeout time.Duration, accounts []Account) map[string]any {
	route := func(host, kind, service string, maxAttempts int) map[string]any {
		isStream := kind == "streaming"
		return map[string]any{
			"name": host + kind, "hostname": host, "prefix": "/" + kind + "/", "route_type": kind, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 5000, "max_attempts": maxAttempts, "backend": service, "resumable": isStream, "sticky": isStream, "target_gap_ms": 200,
		}
	}
	public := route(PlainHost, "idempotent", PlainService, 2)
	public["name"], public["prefix"], public["public"] = "public", PublicPath, true
	return map[string]any{
		"version": version,
		"routes": []any{
			route(StreamHost, "streaming", ModelService, 2), route(PlainHost, "idempotent", PlainService, 2), route(PlainHost, "non_idempotent", PlainService, 1), public,
		},
		"services": []any{
			map[string]any{"name": ModelService, "engine": map[string]any{
				"slots": 16, "kv_capacity": 450000, "stride": 46, "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
				"read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048,
			}},
			map[string]any{"name": PlainService},
		},
		"limits": map[string]any{
			"max_body_bytes": 1 << 20, "max_header_bytes": 48 << 10,
			"header_timeout_ms": HeaderTimeout.Milliseconds(), "idle_timeout_ms": IdleTimeout.Milliseconds(),
		},
		"tenants": accounts,
	}
}

// SetMaxConnections sets the limit of connections to each replica in a configuration.
func SetMaxConnections(configuration map[string]any, limit int) {
	for _, s := range configuration["services"].([]any) {
		s.(map[string]any)["max_conns"] = limit
	}
}

// Keys in the store, or their prefixes, that the operator and the replicas write.
const (
	ConfigKey      = "op/config"
	EvacuatePrefix = "op/evacuate/"
	ReplicaPrefix  = "servers/"
	// ReadyPath is the path at which the load balancer checks whether an entry host
	// is ready.
	ReadyPath = "/siskinstand/readyz"
)
