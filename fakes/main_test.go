package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"siskinstand.example/fakes/engine"
	"siskinstand.example/fakes/server"
)

// Guards against --switches that resets fields it does not name, or accepts unknown
// fields and invalid values.
func TestSwitchesOption(t *testing.T) {
	switches := engine.DefaultConfig().Switches
	if err := (listenOptions{Switches: `{"token_time":"7ms","cold":true}`}).applySwitches(&switches); err != nil {
		t.Fatal(err)
	}
	if time.Duration(switches.TokenTime) != 7*time.Millisecond || !switches.Cold || switches.CollapseFactor == 0 {
		t.Errorf("got %+v, want token_time 7ms, cold, and the other switches unchanged", switches)
	}
	for _, bad := range []string{`{"token_time":"7"}`, `{"tokentime":"7ms"}`, `{"token_time":"-1s"}`, `{`} {
		if (listenOptions{Switches: bad}).applySwitches(&switches) == nil {
			t.Errorf("%s accepted, want an error", bad)
		}
	}
}

// Guards against a control endpoint that changes fields missing from the request,
// and against a server that does not listen on its address again after an outage.
func TestControlAndOutage(t *testing.T) {
	fake := engine.New(engine.DefaultConfig())
	defer fake.Close()
	s, err := server.StartLoopback(fake.Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	before := fake.Switches()
	postSwitches(t, s.Address(), `{"leak_tokens":5}`, http.StatusOK)
	postSwitches(t, s.Address(), `{"leak_tokens":-5}`, http.StatusBadRequest)
	before.LeakTokens = 5
	if fake.Switches() != before {
		t.Errorf("got %+v, want %+v", fake.Switches(), before)
	}
	s.StopFor(200 * time.Millisecond)
	if connection, err := net.Dial("tcp", s.Address()); err == nil {
		connection.Close()
		t.Error("connection accepted during an outage")
	}
	for range 500 {
		if connection, err := net.Dial("tcp", s.Address()); err == nil {
			connection.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("server did not accept connections within 5 s after an outage")
}

func postSwitches(t *testing.T, address, body string, want int) {
	t.Helper()
	response, err := http.Post("http://"+address+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, _ = io.Copy(io.Discard, response.Body); response.StatusCode != want {
		t.Errorf("%s: status %d, want %d", body, response.StatusCode, want)
	}
}
