package main

import (
	"testing"

	"siskinstand.example/service/reference"
	"siskinstand.example/service/settings"
)

// Guards against committed reference pages that the program no longer writes.
func TestReference(t *testing.T) {
	parser, err := (&app{}).newParser()
	if err != nil {
		t.Fatal(err)
	}
	reference.AssertManPage(t, "../docs/man/siskinctl.1", parser, settings.Keys[Settings]())
	reference.AssertFile(t, "../docs/samples/siskinctl.ini", []byte(sampleSettings()))
}
