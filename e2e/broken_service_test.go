package e2e

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/responsehead/headtest"
	fakehosts "siskinstand.example/fakes/hostlist"
)

// serviceTimeLimit is the time limit of the calls to the service of startServiceStack.
const serviceTimeLimit = 5 * time.Second

// startServiceStack starts a gateway and a sidecar beside the plain service at an address, and
// returns the address of the gateway.
func startServiceStack(t *testing.T, service string) string {
	t.Helper()
	dir := t.TempDir()
	listen, sidecarAdmin := freeAddress(t), freeAddress(t)
	settings := writeFile(t, dir, "host-1.ini", fmt.Sprintf(
		"[endpoint]\nname = host-1\nzone = zone-a\nkind = plain\n[listen]\naddress = %s\n[admin]\naddress = %s\n[engine]\naddress = %s\n", listen, sidecarAdmin, service))
	startProgram(t, dir, "sidecar", "host-1", settings, sidecarAdmin)
	hosts := startServer(t, fakehosts.New([]hostlist.Host{{
		Name: "host-1", Zone: "zone-a", Role: hostlist.RoleEndpoint, Service: "app", Address: listen, Incarnation: 1, State: hostlist.StateLive,
	}}, fakehosts.Switches{}).Handler())
	tokenHash := config.HashToken(token)
	routes := writeFile(t, dir, "routes.ini", fmt.Sprintf("[account e2e]\ntoken_sha256 = %s\n[route app]\naccounts = e2e\nservice = app\npool = app\nrepeatable = yes\ntimeout_ms = %d\n", hex.EncodeToString(tokenHash[:]), serviceTimeLimit.Milliseconds()))
	pools := writeFile(t, dir, "pools.ini", "[pool app]\nkind = plain\nservice = app\n")
	callers, admin := freeAddress(t), freeAddress(t)
	settings = writeFile(t, dir, "gateway.ini", fmt.Sprintf(
		"[process]\nid = gateway-1\nzone = zone-a\n[callers]\naddress = %s\n[admin]\naddress = %s\n[tables]\nroutes = %s\npools = %s\n[platform]\nhost_list = http://%s\n[shutdown]\nnotice = 0s\n",
		callers, admin, routes, pools, hosts.Address()))
	startProgram(t, dir, "gateway", "gateway", settings, admin)
	return callers
}

// Guards against a broken response of a plain service that callers of the gateway get as an
// answer.
func TestBrokenServiceResponse(t *testing.T) {
	const fields = "Content-Type: text/plain\r\n"
	cases := append(headtest.Broken(fields), headtest.Cut(fields)[40])
	service := headtest.Listen(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			q, _, err := headtest.ReadRequest(r)
			if err != nil {
				return
			}
			var n int
			if _, err := fmt.Sscanf(q.URL.Path, "/broken/%d", &n); err == nil {
				fmt.Fprint(c, cases[n].Text)
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		}
	})
	gateway := startServiceStack(t, service)
	call := func(path string) (int, string) {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+gateway+"/services/app"+path, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Errorf("%s: %v", path, err)
		}
		return response.StatusCode, string(body)
	}
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		status, body := call("/sound")
		if status == http.StatusOK && body == "whole" {
			break
		}
		if time.Since(start) > serviceTimeLimit {
			t.Fatalf("answer %d %s of the sound service", status, body)
		}
	}
	for n, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			if status, body := call(fmt.Sprintf("/broken/%d", n)); status != http.StatusBadGateway || !strings.Contains(body, `"may_have_run"`) {
				t.Errorf("answer %d %s, want 502 may_have_run", status, body)
			}
			if status, body := call("/sound"); status != http.StatusOK || body != "whole" {
				t.Errorf("answer %d %s of the sound service", status, body)
			}
		})
	}
}

// Guards against a part of an answer that callers of the gateway get as a whole one: the service
// answers a long upload at once, without a length, and resets the connection while the sidecar
// still writes the upload.
func TestEarlyServiceResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for name, text := range map[string]string{
		"part without a length":      head + "\r\npart",
		"part of a length":           head + "Content-Length: 9\r\n\r\npart",
		"status 000":                 "HTTP/1.1 000 Zero\r\nContent-Length: 5\r\n\r\nwhole",
		"status 000 of a long reply": "HTTP/1.1 000 Zero\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			gateway := startServiceStack(t, serveUploads(t, text))
			upload := strings.Repeat("x", longUploadBytes)
			for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
				status, body := callService(t, gateway, upload)
				if status == http.StatusServiceUnavailable && time.Since(start) < serviceTimeLimit {
					continue // the sidecar has not probed the service yet
				}
				if status != http.StatusBadGateway || !strings.Contains(body, `"may_have_run"`) {
					t.Errorf("answer %d %.200s, want 502 may_have_run", status, body)
				}
				return
			}
		})
	}
}

// longUploadBytes is more than the buffers of a connection hold and less than the longest prompt
// that the gateway takes the body for.
const longUploadBytes = 3 << 20

// serveUploads starts a service that is healthy and answers uploads early with a text and a reset.
func serveUploads(t *testing.T, text string) string {
	t.Helper()
	return headtest.Listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if q.Method == http.MethodGet {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			return
		}
		fmt.Fprint(c, text)
		time.Sleep(20 * time.Millisecond) // the reset would discard what is still in transit
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

func callService(t *testing.T, gateway, body string) (int, string) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+gateway+"/services/app/upload", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("the answer broke off: %v", err)
	}
	return response.StatusCode, string(data)
}
