package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"siskinstand.example/fakes/server"
	"siskinstand.example/service/rungroup"
)

// listenOptions holds the options that all subcommands share.
type listenOptions struct {
	Listen   string `long:"listen" default:"127.0.0.1:0" description:"address to listen on, as host and port"`
	Switches string `long:"switches" description:"switches at start as a JSON object, in the form of POST /control"`
}

// applySwitches sets the fields of target that --switches names.
func (o listenOptions) applySwitches(target any) error {
	if o.Switches == "" {
		return nil
	}
	decoder := json.NewDecoder(strings.NewReader(o.Switches))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	if accepted, encodeErr := json.Marshal(target); encodeErr == nil {
		return fmt.Errorf("--switches: %w; accepted switches and their values: %s", err, accepted)
	}
	return fmt.Errorf("--switches: %w", err)
}

// serverStopper lets a fake stop its own server for a time. The fake is created
// first, so the server is set later.
type serverStopper struct{ server *server.Server }

func (s *serverStopper) stopFor(d time.Duration) { s.server.StopFor(d) }

// serve prints the address to standard output and runs until a signal arrives or
// the server can't listen again after an outage. The stopper may be nil.
func (o listenOptions) serve(handler http.Handler, stopper *serverStopper) error {
	s, err := server.Start(o.Listen, handler)
	if err != nil {
		return err
	}
	if stopper != nil {
		stopper.server = s
	}
	fmt.Fprintln(os.Stdout, s.Address())
	var group rungroup.Group
	group.AddSignalHandler(func(context.Context) {})
	group.Add("server", s.WaitAndClose)
	return group.Run()
}
