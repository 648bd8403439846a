package main

import (
	"testing"

	"siskinstand.example/service/reference"
	"siskinstand.example/service/settings"
	"siskinstand.example/sidecar/config"
)

// Guards against committed reference pages that differ from what the program
// generates.
func TestReference(t *testing.T) {
	reference.AssertManPage(t, "../docs/man/siskin-sidecar.1", program.Parser(), settings.Keys[config.Settings]())
	reference.AssertFile(t, "../docs/samples/sidecar.ini", []byte(config.Sample()))
}
