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

// Guards against switches at start that reset the fields they don't name or
// hide a mistake.
func TestSwitchesAtStart(t *testing.T) {
	switches := engine.DefaultConfig().Switches
	if err := (listenOptions{Switches: `{"token_time":"7ms","cold":true}`}).apply(&switches); err != nil {
		t.Fatal(err)
	}
	if time.Duration(switches.TokenTime) != 7*time.Millisecond || !switches.Cold || switches.CollapseFactor == 0 {
		t.Errorf("got %+v", switches)
	}
	for _, bad := range []string{`{"token_time":"7"}`, `{"tokentime":"7ms"}`, `{"token_time":"-1s"}`, `{`} {
		if (listenOptions{Switches: bad}).apply(&switches) == nil {
			t.Errorf("%s accepted", bad)
		}
	}
}

// Guards against a control endpoint that changes fields it was not given, and a
// server that does not come back on its address.
func TestControlAndOutage(t *testing.T) {
	fake := engine.New(engine.DefaultConfig())
	defer fake.Close()
	s, err := server.Start("127.0.0.1:0", fake.Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	before := fake.Switches()
	post(t, s.Address(), `{"leak_tokens":5}`, http.StatusOK)
	post(t, s.Address(), `{"leak_tokens":-5}`, http.StatusBadRequest)
	before.LeakTokens = 5
	if fake.Switches() != before {
		t.Errorf("got %+v, want %+v", fake.Switches(), before)
	}
	s.StopFor(200 * time.Millisecond)
	if connection, err := net.Dial("tcp", s.Address()); err == nil {
		connection.Close()
		t.Error("connection accepted while down")
	}
	for range 500 {
		if connection, err := net.Dial("tcp", s.Address()); err == nil {
			connection.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("server did not come back")
}

func post(t *testing.T, address, body string, want int) {
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
