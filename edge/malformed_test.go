package main

import (
	"strings"
	"testing"
	"time"

	"siskinstand.example/fakes/caller"
	"siskinstand.example/fakes/platform"
)

func TestMalformedRequests(t *testing.T) {
	// Guards against malformed requests that get no clear response in time or keep a connection open forever.
	s := newTestSite(t)
	s.addReplica("i-app", "app", "z1", 0)
	headers := "Attempt-Id: b1\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer " + platform.SampleKey + "\r\n"
	target := caller.Target{
		Host: platform.PlainHost, Path: "/idempotent/x", Headers: headers, Body: "{}", OK: 200,
		Stall: platform.HeaderTime, HeaderBytes: s.settings.Callers.MaxHeaderBytes,
	}
	ask := func(headers string) string {
		return "POST /idempotent/x HTTP/1.1\r\nHost: " + platform.PlainHost + "\r\n" + headers + "Content-Length: 2\r\n\r\n{}"
	}
	cases := append(target.Cases(),
		caller.Case{Name: "key of 20,000 bytes", Send: ask("Attempt-Id: b2\r\nAuthorization: Bearer " + strings.Repeat("k", 20000) + "\r\n"), Status: 401, Open: true},
		caller.Case{Name: "key of 200,000 bytes", Send: ask("Attempt-Id: b2\r\nAuthorization: Bearer " + strings.Repeat("k", 200000) + "\r\n"), Status: 431},
		caller.Case{Name: "no key", Send: ask("Attempt-Id: b2\r\n"), Status: 401, Open: true},
		caller.Case{Name: "key of another scheme", Send: ask("Attempt-Id: b2\r\nAuthorization: Basic eDp5\r\n"), Status: 401, Open: true},
		caller.Case{Name: "no attempt", Send: ask(strings.Replace(headers, "Attempt-Id: b1\r\n", "", 1)), Status: 400, Open: true},
		caller.Case{Name: "over-long attempt", Send: ask("Attempt-Id: " + strings.Repeat("a", 1000) + "\r\n" + headers), Status: 400, Open: true},
		caller.Case{Name: "two attempts", Send: ask("Attempt-Id: b0\r\n" + headers), Status: 400, Open: true},
		caller.Case{Name: "time limit that is no number", Send: ask(strings.Replace(headers, "8000", "soon", 1)), Status: 400, Open: true},
		caller.Case{Name: "time limit below zero", Send: ask(strings.Replace(headers, "8000", "-5", 1)), Status: 400, Open: true},
		caller.Case{Name: "time limit that is over", Send: ask(strings.Replace(headers, "8000", "0", 1)), Status: 503, Open: true},
		caller.Case{Name: "token counts that are no numbers", Send: ask(headers + "Token-Counts: many,few\r\n"), Status: 400, Open: true},
		caller.Case{Name: "absolute target", Send: strings.Replace(ask(headers), "POST ", "POST http://"+platform.PlainHost, 1), Status: 200, Open: true},
		caller.Case{Name: "request in HTTP/1.0", Send: strings.Replace(ask(headers), "HTTP/1.1", "HTTP/1.0", 1), Status: 200},
		caller.Case{Name: "body that stalls beyond the caller's limit", Send: strings.Replace(strings.Replace(ask(headers), "8000", "300", 1), "Content-Length: 2", "Content-Length: 9", 1), Status: 408, Within: 800 * time.Millisecond},
	)
	for _, c := range cases {
		if c.Within == 0 {
			c.Within = time.Second
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			if err := caller.Play(s.settings.Callers.Address, c); err != nil {
				t.Error(err)
			}
		})
	}
}
