package main

import (
	"testing"

	"siskinstand.example/service/reference"
)

// Guards against committed reference pages that the program no longer writes.
func TestReference(t *testing.T) {
	reference.AssertManPage(t, "../docs/man/siskin-load.1", newParser(), nil)
}
