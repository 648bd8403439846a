package placement

import (
	"fmt"
	"testing"
)

func TestHashIDSpreads(t *testing.T) {
	// Guards against a hash that gives one of two replicas nearly all requests.
	wins := 0
	for i := range 1000 {
		request := fmt.Sprintf("a%d", i)
		if HashID("i-1"+request) < HashID("i-2"+request) {
			wins++
		}
	}
	if wins < 400 || wins > 600 {
		t.Errorf("one replica ranks first in %d of 1000 pairs, want 400 to 600", wins)
	}
}
