package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

const operatorsBodyLimit = 4 << 20

// Guards against limits on memory that refuse ordinary callers on a lightly loaded host of the
// smallest size.
func TestOrdinaryCallersAtTheLimits(t *testing.T) {
	s := newCrowdSite(t, buildEdge(t), 184, operatorsBodyLimit)
	body := strings.Repeat("x", operatorsBodyLimit)
	client := platform.NewClient()
	defer client.Close()
	calls := map[string]func(c *platform.Call){
		"largest body":                func(c *platform.Call) { c.Body = body },
		"largest body, and close":     func(c *platform.Call) { c.Body, c.Header = body, map[string]string{"Connection": "close"} },
		"largest body, with Expect":   func(c *platform.Call) { c.Body, c.Header = body, map[string]string{"Expect": "100-continue"} },
		"largest header":              func(c *platform.Call) { c.Header = map[string]string{"X": strings.Repeat("x", 16000)} },
		"large answer":                func(c *platform.Call) { c.Path = "/idempotent/large" },
		"large answer, largest body":  func(c *platform.Call) { c.Path, c.Body = "/idempotent/large", body },
		"one byte":                    func(c *platform.Call) { c.Body = "x" },
		"as large as a medium prompt": func(c *platform.Call) { c.Body = body[:200<<10] },
	}
	for name, change := range calls {
		call := platform.PlainCall("idempotent")
		change(&call)
		if reply := client.Send(t.Context(), s.edge.callerAddress, call); reply.Err != nil || reply.Status != http.StatusOK {
			t.Errorf("%s: status %d (%v), want 200", name, reply.Status, reply.Err)
		}
	}
	var g sync.WaitGroup
	for range 60 {
		g.Go(func() {
			for range 5 {
				call := platform.PlainCall("idempotent")
				call.Body = body[:20<<10]
				if reply := platform.SendOnNewConnection(context.Background(), s.edge.callerAddress, call); reply.Err != nil || reply.Status != http.StatusOK {
					t.Errorf("one of 60 ordinary callers: status %d %s (%v), want 200", reply.Status, reply.Body, reply.Err)
				}
			}
		})
	}
	g.Wait()
	call := platform.PlainCall("idempotent")
	call.Body = body + "x"
	reply := client.Send(t.Context(), s.edge.callerAddress, call)
	if reply.Err != nil || reply.Status != http.StatusRequestEntityTooLarge || !strings.Contains(reply.Body, `"verdict":"not_run"`) {
		t.Errorf("one byte over the limit: status %d %q (%v), want 413, not run", reply.Status, reply.Body, reply.Err)
	}
}

// Guards against a client that is asked for a body which is refused anyway, and against a refusal
// that is lost because the client is still sending.
func TestRefusalOfLargeBodyArrives(t *testing.T) {
	s := newCrowdSite(t, buildEdge(t), 184, operatorsBodyLimit)
	tests := map[string]func(c crowdConn){
		"expects to continue": func(c crowdConn) { c.plainHead(lengthField(40<<20) + "Expect: 100-continue\r\n") },
		"sends at once": func(c crowdConn) {
			c.plainHead(lengthField(40 << 20))
			go c.repeat(crowdFiller, 40<<20, 0)
		},
		"sends all before it reads": func(c crowdConn) {
			c.plainHead(lengthField(operatorsBodyLimit + 1<<20))
			c.repeat(crowdFiller, operatorsBodyLimit+1<<20, 0)
		},
		"sends chunks": func(c crowdConn) {
			c.plainHead(chunked)
			go c.chunks(60<<10, 40<<20/(60<<10))
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			n, err := net.Dial("tcp4", s.edge.callerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			_ = n.SetReadDeadline(time.Now().Add(5 * time.Second))
			send(crowdConn{n})
			resp, err := http.ReadResponse(bufio.NewReader(n), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge || !strings.Contains(string(body), `"verdict":"not_run"`) {
				t.Errorf("status %d %q (%v), want 413, not run", resp.StatusCode, body, err)
			}
		})
	}
}
