package main

import (
	"testing"

	"siskinstand.example/service/reference"
)

// Guards against a committed man page that differs from the one generated from
// the flags.
func TestReference(t *testing.T) {
	reference.AssertManPage(t, "../docs/man/siskin-load.1", newParser(), nil)
}
