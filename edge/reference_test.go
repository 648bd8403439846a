package main

import (
	"testing"

	"siskinstand.example/service/reference"
	"siskinstand.example/service/settings"

	"siskinstand.example/edge/config"
)

// Guards against a man page and a settings sample in docs that differ from what the program
// generates.
func TestReference(t *testing.T) {
	reference.AssertManPage(t, "../docs/man/siskin-edge.1", program.Parser(), settings.Keys[config.Settings]())
	reference.AssertFile(t, "../docs/samples/edge.ini", []byte(config.Sample()))
}
