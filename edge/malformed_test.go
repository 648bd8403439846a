package main

import (
	"strings"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
	"siskinstand.example/fakes/rawhttp"
)

func TestMalformedRequests(t *testing.T) {
	// Guards against malformed requests that get no clear response in time or keep a connection open forever.
	s := newTestSite(t)
	s.addReplica("i-app", "app", "z1", 0)
	headers := "Attempt-Id: b1\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer " + platform.SampleAPIKey + "\r\n"
	target := rawhttp.Target{
		Host: platform.PlainHost, Path: "/idempotent/x", Headers: headers, Body: "{}", WantStatus: 200,
		StallTimeout: platform.HeaderTimeout, MaxHeaderBytes: s.settings.Callers.MaxHeaderBytes,
	}
	rawRequest := func(headers string) string {
		return "POST /idempotent/x HTTP/1.1\r\nHost: " + platform.PlainHost + "\r\n" + headers + "Content-Length: 2\r\n\r\n{}"
	}
	cases := append(target.Cases(),
		rawhttp.Case{Name: "key of 20,000 bytes", Send: rawRequest("Attempt-Id: b2\r\nAuthorization: Bearer " + strings.Repeat("k", 20000) + "\r\n"), WantStatus: 401, KeepsConnection: true},
		rawhttp.Case{Name: "key of 200,000 bytes", Send: rawRequest("Attempt-Id: b2\r\nAuthorization: Bearer " + strings.Repeat("k", 200000) + "\r\n"), WantStatus: 431},
		rawhttp.Case{Name: "no key", Send: rawRequest("Attempt-Id: b2\r\n"), WantStatus: 401, KeepsConnection: true},
		rawhttp.Case{Name: "key of another scheme", Send: rawRequest("Attempt-Id: b2\r\nAuthorization: Basic eDp5\r\n"), WantStatus: 401, KeepsConnection: true},
		rawhttp.Case{Name: "no attempt", Send: rawRequest(strings.Replace(headers, "Attempt-Id: b1\r\n", "", 1)), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "over-long attempt", Send: rawRequest("Attempt-Id: " + strings.Repeat("a", 1000) + "\r\n" + headers), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "two attempts", Send: rawRequest("Attempt-Id: b0\r\n" + headers), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "time limit that is no number", Send: rawRequest(strings.Replace(headers, "8000", "soon", 1)), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "time limit below zero", Send: rawRequest(strings.Replace(headers, "8000", "-5", 1)), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "time limit that is over", Send: rawRequest(strings.Replace(headers, "8000", "0", 1)), WantStatus: 503, KeepsConnection: true},
		rawhttp.Case{Name: "token counts that are no numbers", Send: rawRequest(headers + "Token-Counts: many,few\r\n"), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "absolute target", Send: strings.Replace(rawRequest(headers), "POST ", "POST http://"+platform.PlainHost, 1), WantStatus: 200, KeepsConnection: true},
		rawhttp.Case{Name: "request in HTTP/1.0", Send: strings.Replace(rawRequest(headers), "HTTP/1.1", "HTTP/1.0", 1), WantStatus: 200},
		rawhttp.Case{Name: "body that stalls beyond the caller's limit", Send: strings.Replace(strings.Replace(rawRequest(headers), "8000", "300", 1), "Content-Length: 2", "Content-Length: 9", 1), WantStatus: 408, TimeLimit: 800 * time.Millisecond},
	)
	for _, c := range cases {
		if c.TimeLimit == 0 {
			c.TimeLimit = time.Second
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			if err := rawhttp.Run(s.settings.Callers.Address, c); err != nil {
				t.Error(err)
			}
		})
	}
}
