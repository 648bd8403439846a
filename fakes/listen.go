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

// listenOptions are common to all subcommands.
type listenOptions struct {
	Listen   string `long:"listen" default:"127.0.0.1:0" description:"address to listen on, as host and port"`
	Switches string `long:"switches" description:"switches at start as a JSON object, in the form of POST /control"`
}

// apply changes the fields of target that the switches name.
func (o listenOptions) apply(target any) error {
	if o.Switches == "" {
		return nil
	}
	decoder := json.NewDecoder(strings.NewReader(o.Switches))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	if accepted, encodeError := json.Marshal(target); encodeError == nil {
		return fmt.Errorf("--switches: %w; accepted, with their values at start: %s", err, accepted)
	}
	return fmt.Errorf("--switches: %w", err)
}

// downer lets a fake take its own server down; the server is started after it.
type downer struct{ server *server.Server }

func (d *downer) down(t time.Duration) { d.server.StopFor(t) }

// serve prints the address to standard output and runs until a signal.
func (o listenOptions) serve(handler http.Handler, d *downer) error {
	s, err := server.Start(o.Listen, handler)
	if err != nil {
		return err
	}
	if d != nil {
		d.server = s
	}
	fmt.Fprintln(os.Stdout, s.Address())
	var group rungroup.Group
	group.AddSignalHandler(func(context.Context) {})
	group.Add("server", s.Wait)
	return group.Run()
}
