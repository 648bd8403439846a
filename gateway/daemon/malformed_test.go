package daemon

import (
	"strings"
	"testing"
	"time"

	"siskinstand.example/fakes/rawhttp"
)

// Guards against malformed requests that get no definite response in time or keep
// their connection open forever.
func TestMalformedRequests(t *testing.T) {
	f := startGateway(t, "", startSidecar(t, "s1", respondWith("x"), nil))
	headers := "Authorization: Bearer " + testToken + "\r\n"
	target := rawhttp.Target{
		Host: "models.example", Path: chatPath, Headers: headers, WantStatus: 200,
		StallTimeout: 500 * time.Millisecond, MaxHeaderBytes: f.daemon.Settings.Callers.MaxHeaderBytes,
	}
	target.Body = chatBody
	modelRequest := func(headers string) string {
		return "POST " + chatPath + " HTTP/1.1\r\nHost: models.example\r\n" + headers + "Content-Length: 2\r\n\r\n{}"
	}
	serviceRequest := func(headers string) string {
		return "POST /services/book/x HTTP/1.1\r\nHost: models.example\r\nAuthorization: Bearer " + testToken + "\r\n" + headers + "Content-Length: 2\r\n\r\n{}"
	}
	cases := append(target.Cases(),
		rawhttp.Case{Name: "token of 20,000 bytes", Send: modelRequest("Authorization: Bearer " + strings.Repeat("k", 20000) + "\r\n"), WantStatus: 401, KeepsConnection: true},
		rawhttp.Case{Name: "token of 200,000 bytes", Send: modelRequest("Authorization: Bearer " + strings.Repeat("k", 200000) + "\r\n"), WantStatus: 431},
		rawhttp.Case{Name: "over-long idempotency key", Send: serviceRequest("Idempotency-Key: " + strings.Repeat("k", 300) + "\r\n"), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "idempotency key of 200,000 bytes", Send: serviceRequest("Idempotency-Key: " + strings.Repeat("k", 200000) + "\r\n"), WantStatus: 431},
		rawhttp.Case{Name: "no idempotency key", Send: serviceRequest(""), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "two idempotency keys", Send: serviceRequest("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "deadline that is not a number", Send: modelRequest(headers + "Siskin-Deadline-Ms: soon\r\n"), WantStatus: 400, KeepsConnection: true},
		rawhttp.Case{Name: "negative deadline", Send: modelRequest(headers + "Siskin-Deadline-Ms: -5\r\n"), WantStatus: 504, KeepsConnection: true},
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
