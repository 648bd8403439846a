package assembly

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against a caller's stream that lacks, repeats or misplaces a chunk
// when chunks arrive late, twice or out of order over several attempts, and
// against an answer that is complete without its final marker.
func TestAnyArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 12).Draw(t, "chunks")
		a := New("r")
		var got []int64
		var stale []Chunk
		deliver := func(c Chunk) {
			ready, _, err := a.Accept(c)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range ready {
				got = append(got, r.Position)
			}
		}
		attempts := rapid.IntRange(1, 4).Draw(t, "attempts")
		for i := range attempts {
			number, resume := a.BeginAttempt()
			last := i == attempts-1
			var sent []Chunk
			for p := resume; p < total; p++ {
				sent = append(sent, Chunk{RequestID: "r", Attempt: number, Position: p})
			}
			if !last && len(sent) > 0 {
				sent = sent[:rapid.IntRange(0, len(sent)-1).Draw(t, "cut")]
			}
			arrivals := append(append([]Chunk{}, sent...), stale...)
			arrivals = append(arrivals, sent...)
			arrivals = append(arrivals, Chunk{RequestID: "other", Attempt: number, Position: a.NextPosition()})
			arrivals = rapid.Permutation(arrivals).Draw(t, "arrivals")
			final := Final{RequestID: "r", Attempt: number, Chunks: total}
			finalAt := rapid.IntRange(0, len(arrivals)).Draw(t, "final")
			for n, c := range arrivals {
				if last && n == finalAt {
					mustEnd(t, a, final)
				}
				deliver(c)
			}
			if !last && a.Complete() {
				t.Fatal("complete without a final marker")
			}
			if last && finalAt == len(arrivals) {
				mustEnd(t, a, final)
			}
			stale = append(stale, sent...)
		}
		if !a.Complete() || fmt.Sprint(got) != fmt.Sprint(upTo(total)) {
			t.Fatalf("complete %v, positions %v, want %d in order", a.Complete(), got, total)
		}
	})
}

func mustEnd(t *rapid.T, a *Assembler, f Final) {
	if _, err := a.AcceptFinal(f); err != nil {
		t.Fatal(err)
	}
}

func upTo(n int64) []int64 {
	var list []int64
	for i := range n {
		list = append(list, i)
	}
	return list
}

// Guards against messages that contradict each other being accepted.
func TestRefusesContradictions(t *testing.T) {
	tests := map[string]func(a *Assembler) error{
		"final before delivered chunks": func(a *Assembler) error {
			_, err := a.AcceptFinal(Final{RequestID: "r", Attempt: 1, Chunks: 0})
			return err
		},
		"chunk after the final marker": func(a *Assembler) error {
			if _, err := a.AcceptFinal(Final{RequestID: "r", Attempt: 1, Chunks: 2}); err != nil {
				return nil
			}
			_, _, err := a.Accept(Chunk{RequestID: "r", Attempt: 1, Position: 2})
			return err
		},
		"endless gap": func(a *Assembler) error {
			for i := range int64(MaxPending) {
				if _, _, err := a.Accept(Chunk{RequestID: "r", Attempt: 1, Position: 2 + i}); err != nil {
					return nil
				}
			}
			_, _, err := a.Accept(Chunk{RequestID: "r", Attempt: 1, Position: 2 + MaxPending})
			return err
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			a := New("r")
			a.BeginAttempt()
			if _, _, err := a.Accept(Chunk{RequestID: "r", Attempt: 1, Position: 0}); err != nil {
				t.Fatal(err)
			}
			if act(a) == nil {
				t.Error("contradiction was accepted")
			}
		})
	}
}
