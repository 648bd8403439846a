package main

import (
	"testing"

	"siskinstand.example/service/reference"
	"siskinstand.example/service/settings"

	"siskinstand.example/gateway/config"
)

// Guards against a committed man page or sample file that differs from what the
// program generates.
func TestReference(t *testing.T) {
	reference.AssertManPage(t, "../docs/man/siskin-gateway.1", program.Parser(), settings.Keys[config.Settings]())
	reference.AssertFile(t, "../docs/samples/gateway.ini", []byte(config.Sample()))
}
