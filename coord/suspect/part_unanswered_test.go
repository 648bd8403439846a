package suspect

import (
	"testing"
	"time"
)

// Guards against a known good part that begins to crash replicas and is not blamed for it,
// because each of its requests has a fresh part as well.
func TestKnownGoodPartWithFreshOnes(t *testing.T) {
	const part, answered, fresh Part = 9, 1, 1_000
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	tracker := newPartTracker("a")
	tracker.RecordAnswer(at(0), at(0), []Part{part, answered})
	crashes := 0
	for ; crashes < 8; crashes++ {
		now, parts := at(1+crashes), []Part{part, answered, fresh + Part(crashes)}
		if tracker.Judge(now, parts, 1).Status == StatusRefuse {
			break
		}
		tracker.RecordCrash(now, CrashID(crashes), [][]Part{parts})
		tracker.RecordAnswer(now, now, []Part{answered})
	}
	if crashes >= 8 {
		t.Errorf("requests with the part are not refused after %d crashes", crashes)
	}
	t.Logf("refused after %d crashes", crashes)
	checkPartStatus(t, tracker, at(1+crashes), part, StatusRefuse)
	checkPartStatus(t, tracker, at(1+crashes), answered, StatusClear)
}

// Guards against blame on a sound part for crashes that it had no part in.
func TestKnownGoodPartStaysGood(t *testing.T) {
	const part, fresh Part = 9, 1_000
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	tests := map[string]struct {
		// crashes are the times of crashes, answers those of answers, in milliseconds.
		crashes, answers []int
		// culprit is a part of all requests, or 0.
		culprit Part
	}{
		"a rack fails":                {crashes: []int{100, 101, 102, 103, 104, 105, 900, 950}},
		"answers between the crashes": {crashes: []int{500, 1000, 1500, 2000, 2500, 3000}, answers: []int{1200, 2200}},
		"crashes because of another":  {crashes: []int{500, 1000, 1500, 2000, 2500, 3000}, culprit: 8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := newPartTracker("a")
			tracker.RecordAnswer(ms(0), ms(0), []Part{part})
			for i, at := range tc.crashes {
				for len(tc.answers) > 0 && tc.answers[0] < at {
					tracker.RecordAnswer(ms(tc.answers[0]), ms(tc.answers[0]), []Part{part})
					tc.answers = tc.answers[1:]
				}
				parts := []Part{part, fresh + Part(i)}
				if tc.culprit != 0 {
					parts = append(parts, tc.culprit)
				}
				tracker.RecordCrash(ms(at), CrashID(i), [][]Part{parts})
				checkPartStatus(t, tracker, ms(at), part, StatusClear)
			}
			if e := tracker.entries[part]; e != nil {
				t.Errorf("%d crashes count against the part", len(e.crashes))
			}
		})
	}
}
