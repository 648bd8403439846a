package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/verdict"
)

// serveRepeating serves requests with the given response to their bodies. Before a response, it
// repeats the previous one on the same connection.
func serveRepeating(t *testing.T, respond func(body string) string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		previous := ""
		for r := bufio.NewReader(c); ; {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			response := respond(string(body))
			fmt.Fprint(c, previous+response)
			previous = response
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Guards against the response to an earlier request that an engine writes once more: callers
// get the answer to another request, or a refusal for a request that has run.
func TestRepeatedResponse(t *testing.T) {
	t.Run("plain service", func(t *testing.T) {
		client := NewPlainClient(serveRepeating(t, func(body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}), DefaultLimits())
		for _, body := range []string{"first", "second", "third"} {
			got := ""
			_, err := client.Run(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte(body)}, func(c Chunk) error {
				got += string(c.Data)
				return nil
			})
			if diff := cmp.Diff(body, got); diff != "" || err != nil {
				t.Errorf("error %v, response (-want +got):\n%s", err, diff)
			}
		}
	})
	t.Run("model engine", func(t *testing.T) {
		client := NewModelClient(serveRepeating(t, func(body string) string {
			if body == "" {
				return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" // a report of state
			}
			const refusal = `{"error":{"code":"overloaded","verdict":"not_run"}}`
			return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(refusal), refusal)
		}), DefaultLimits())
		if _, err := client.State(t.Context()); err != nil {
			t.Fatal(err)
		}
		_, err := client.Run(t.Context(), Request{Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}")}, func(Chunk) error { return nil })
		if diff := cmp.Diff(verdict.NotRun, verdict.FromError(err)); diff != "" {
			t.Errorf("verdict of %v (-want +got):\n%s", err, diff)
		}
	})
}
