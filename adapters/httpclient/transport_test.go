package httpclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/coord/responsehead"
	"siskinstand.example/coord/responsehead/headtest"
)

// serve answers a request with its body echoed, or with the text if its path is /broken. It
// closes the connection after the text if closes is set.
func serve(t *testing.T, text string, closes bool) string {
	t.Helper()
	return "http://" + headtest.Listen(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			q, body, err := headtest.ReadRequest(r)
			switch {
			case err != nil:
				return
			case q.URL.Path != "/broken":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				continue
			}
			fmt.Fprint(c, text)
			if closes {
				return
			}
		}
	})
}

func newClient(t *testing.T) *http.Client {
	t.Helper()
	transport := NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableCompression: true})
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

func post(client *http.Client, url, body string) (string, error) {
	response, err := client.Post(url, "text/plain", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func checkEcho(t *testing.T, client *http.Client, url, body string) {
	t.Helper()
	if got, err := post(client, url, body); err != nil || got != body {
		t.Errorf("response %q, %v, want %q", got, err, body)
	}
}

// Guards against a head that net/http repairs, on a new and on a kept connection, and against
// its remains in the response to the next call.
func TestBrokenHead(t *testing.T) {
	for _, tc := range headtest.Broken("X-Id: 1\r\n") {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept=%t", tc.Name, kept), func(t *testing.T) {
				t.Parallel()
				url, client := serve(t, tc.Text, false), newClient(t)
				if kept {
					checkEcho(t, client, url, "first")
				}
				if got, err := post(client, url+"/broken", "two"); !errors.Is(err, responsehead.ErrMalformed) {
					t.Errorf("response %q, error %v, want ErrMalformed", got, err)
				}
				checkEcho(t, client, url, "next")
			})
		}
	}
}

// Guards against the beginning of a head that counts as a response with an empty body.
func TestCutHead(t *testing.T) {
	for _, tc := range headtest.Cut("X-Id: 1\r\n") {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			url, client := serve(t, tc.Text, true), newClient(t)
			checkEcho(t, client, url, "first")
			if got, err := post(client, url+"/broken", "two"); err == nil {
				t.Errorf("response %q, want an error", got)
			}
		})
	}
}

// Guards against strictness that costs servers that keep to HTTP/1.
func TestSoundHead(t *testing.T) {
	for _, tc := range headtest.Sound("X-Id: 1\r\n") {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			url, client := serve(t, tc.Text, true), newClient(t)
			checkEcho(t, client, url, "first")
			if got, err := post(client, url+"/broken", "two"); err != nil || got != "whole" {
				t.Errorf("response %q, %v, want %q", got, err, "whole")
			}
		})
	}
}

// Guards against a call without a body that net/http sends again, unnoticed, because the response
// on a kept connection is broken.
func TestBrokenHeadIsNotAskedAgain(t *testing.T) {
	for _, tc := range headtest.Broken("X-Id: 1\r\n") {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			url := "http://" + headtest.Listen(t, func(c net.Conn) {
				for r := bufio.NewReader(c); ; {
					q, _, err := headtest.ReadRequest(r)
					switch {
					case err != nil:
						return
					case q.URL.Path == "/broken":
						calls.Add(1)
						fmt.Fprint(c, tc.Text)
					default:
						fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
					}
				}
			})
			client := newClient(t)
			for _, path := range []string{"/", "/broken"} {
				response, err := client.Get(url + path)
				if err == nil {
					response.Body.Close()
				}
			}
			if n := calls.Load(); n != 1 {
				t.Errorf("%d calls arrived, want 1", n)
			}
		})
	}
}
