package daemon

import (
	"strings"
	"testing"
	"time"

	"siskinstand.example/fakes/rawhttp"
)

func TestBadBytes(t *testing.T) {
	// Guards against bytes of a caller that get no clear answer in time, or keep
	// a connection open for good.
	f := startGateway(t, "", startSidecar(t, "s1", answer("x"), nil))
	headers := "Authorization: Bearer " + testToken + "\r\n"
	target := rawhttp.Target{
		Host: "models.example", Path: chatPath, Headers: headers, WantStatus: 200,
		StallTimeout: 500 * time.Millisecond, MaxHeaderBytes: f.daemon.Settings.Callers.MaxHeaderBytes,
	}
	target.Body = chatBody
	ask := func(headers string) string {
		return "POST " + chatPath + " HTTP/1.1\r\nHost: models.example\r\n" + headers + "Content-Length: 2\r\n\r\n{}"
	}
	order := func(headers string) string {
		return "POST /services/book/x HTTP/1.1\r\nHost: models.example\r\nAuthorization: Bearer " + testToken + "\r\n" + headers + "Content-Length: 2\r\n\r\n{}"
	}
	cases := append(target.Cases(),
		rawhttp.Case{Name: "token of 20,000 bytes", Send: ask("Authorization: Bearer " + strings.Repeat("k", 20000) + "\r\n"), WantStatus: 401, KeepsConnection: true},
		rawhttp.Case{Name: "token of 200,000 bytes", Send: ask("Authorization: Bearer " + strings.Repeat("k", 200000) + "\r\n"), WantStatus: 431},
		rawhttp.Case{Name: "over-long idempotency key", Send: order("Idempotency-Key: " + strings.Repeat("k", 300) + "\r\n"), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "idempotency key of 200,000 bytes", Send: order("Idempotency-Key: " + strings.Repeat("k", 200000) + "\r\n"), WantStatus: 431},
		rawhttp.Case{Name: "no idempotency key", Send: order(""), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "two idempotency keys", Send: order("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "time limit that is no number", Send: ask(headers + "Siskin-Deadline-Ms: soon\r\n"), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "time limit below zero", Send: ask(headers + "Siskin-Deadline-Ms: -5\r\n"), WantStatus: 504, KeepsConnection: true},
	)
	for _, c := range cases {
		if c.TimeLimit == 0 {
			c.TimeLimit = time.Second
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			if err := rawhttp.Run(f.daemon.CallerAddress(), c); err != nil {
				t.Error(err)
			}
		})
	}
}
