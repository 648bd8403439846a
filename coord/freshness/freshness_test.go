package freshness

import (
	"testing"
	"time"
)

func TestProof(t *testing.T) {
	// Guards against an answer that arrives late and makes a proof look newer or older than it is.
	var p Proof
	if p.Within(time.Second, time.Hour) {
		t.Fatal("a zero proof proves something")
	}
	p = p.Update(5 * time.Second).Update(3 * time.Second)
	if age, ok := p.Age(9 * time.Second); !ok || age != 4*time.Second {
		t.Fatalf("age %v %v, want 4s", age, ok)
	}
	if !p.Within(10*time.Second, 5*time.Second) || p.Within(10*time.Second+1, 5*time.Second) {
		t.Fatal("the bound is not exact")
	}
}
