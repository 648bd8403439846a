package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

// Guards against an entry of another writer among those of the replicas that ends the process,
// stops it from following the list, or is used as a replica.
func TestMalformedReplicaEntries(t *testing.T) {
	entry := func(field, value string) string {
		fields := map[string]string{"backend": `"app"`, "address": `"127.0.0.1:9"`, "zone": `"z1"`, "version": `"v1"`, "slots": "16", "state": `"ready"`, "cold_left_ms": "0", "seq": "1", "born": "1700000000000"}
		fields[field] = value
		var list []string
		for name, v := range fields {
			list = append(list, fmt.Sprintf("%q:%s", name, v))
		}
		return "{" + strings.Join(list, ",") + "}"
	}
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	for name, value := range map[string]string{
		"nested":                    nested(200_000),
		"unclosed":                  strings.Repeat(`{"a":`, 200_000),
		"nested field":              entry("labels", nested(20_000)),
		"nested address":            entry("address", nested(5_000)),
		"slots beyond int64":        entry("slots", "1"+strings.Repeat("0", 400)),
		"slots that overflow":       entry("slots", "4611686018427387904"),
		"slots below zero":          entry("slots", "-1"),
		"cold time beyond any":      entry("cold_left_ms", "1e300"),
		"cold time not a number":    entry("cold_left_ms", "1e999"),
		"start beyond int64":        entry("born", "99999999999999999999"),
		"start in the far future":   entry("born", "9223372036854775807"),
		"port out of range":         entry("address", `"127.0.0.1:99999"`),
		"port 0":                    entry("address", `"127.0.0.1:0"`),
		"no port":                   entry("address", `"127.0.0.1"`),
		"no host":                   entry("address", `":80"`),
		"two addresses":             entry("address", `"127.0.0.1:9,127.0.0.1:10"`),
		"line break in the address": entry("address", `"127.0.0.1:9\r\nX: y"`),
		"long number":               entry("slots", strings.Repeat("9", 500_000)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t)
			s.addReplica("i-1", "app", "z1", 0)
			s.store.Put(platform.ReplicaPrefix+"i-2", []byte(value))
			time.Sleep(100 * time.Millisecond)
			for range 6 {
				s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-1")
			}
			if n := s.edge.loop.View().ReplicaCount; n != 1 {
				t.Errorf("%d replicas known, want only i-1", n)
			}
			s.addReplica("i-3", "llm", "z1", 3)
			s.checkReply(s.send(streamCall()), http.StatusOK, platform.StreamBody(3))
		})
	}
}
