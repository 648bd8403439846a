package main

import (
	"testing"

	"siskinstand.example/service/reference"
	"siskinstand.example/service/settings"
)

// Guards against a committed manual page or sample settings file that differs
// from the one generated from the code.
func TestReference(t *testing.T) {
	parser, err := (&app{}).newParser()
	if err != nil {
		t.Fatal(err)
	}
	reference.AssertManPage(t, "../docs/man/siskinctl.1", parser, settings.Keys[Settings]())
	reference.AssertFile(t, "../docs/samples/siskinctl.ini", []byte(sampleSettings()))
}
