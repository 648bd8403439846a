// Case 4 checks rule BUDGET for a request that crashes replicas in the middle of
// their answer.

package cases

import (
	"fmt"
	"time"
)

const (
	midAnswerBackAfter = 3 * time.Second
	repeatEvery        = 2500 * time.Millisecond
	poisonAttempts     = 8
)

func case4() {
	site := NewSite(PlainConfig(7, false))
	poison := &Poison{Record: site.Record, Point: CrashMidAnswer, BackAfter: midAnswerBackAfter}
	if !HasTrouble() {
		poison.Point = CrashNever
	}
	site.AddReplicas("desk", 9, 6, poison.Handle)
	site.StartEdges(3)
	for n := range poisonAttempts {
		site.SendPoison(site.Edges[n%len(site.Edges)], fmt.Sprintf("poison-%d", n+1))
		time.Sleep(repeatEvery)
	}
	arrivals, crashes, late := poison.Counts(contactTime)
	code := 0
	if late > 3 {
		code = 1
	}
	if arrivals == 0 {
		code = 2
	}
	site.End(code, "the request reached replicas %d times and crashed %d; %d attempts of clients reached one later than 3 s after the third crash (BUDGET allows 3)", arrivals, crashes, late)
}
