package freshness

import (
	"testing"
	"time"
)

func TestProof(t *testing.T) {
	// Guards against a late response to an earlier request that changes the age of the
	// proof.
	var p Proof
	if p.IsFresh(time.Second, time.Hour) {
		t.Fatal("a zero proof is within the limit")
	}
	p = p.Update(5 * time.Second).Update(3 * time.Second)
	if age, ok := p.Age(9 * time.Second); !ok || age != 4*time.Second {
		t.Fatalf("age = %v, %v, want 4s, true", age, ok)
	}
	if !p.IsFresh(10*time.Second, 5*time.Second) || p.IsFresh(10*time.Second+1, 5*time.Second) {
		t.Fatal("with a limit of 5s, want an age of 5s within it and one of 5s and 1ns not")
	}
}
