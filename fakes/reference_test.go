package main

import (
	"testing"

	"siskinstand.example/service/reference"
)

// Guards against a committed man page that is out of date.
func TestReference(t *testing.T) {
	reference.AssertManPage(t, "../docs/man/siskin-fake.1", newParser(), nil)
}
