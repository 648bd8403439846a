package assembly

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against delivering an answer with missing, repeated or misplaced
// chunks when chunks arrive late, twice or out of order over several attempts,
// and against completing an answer without its final marker.
func TestAnyArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 12).Draw(t, "chunks")
		a := New("r")
		var delivered []int64
		var stale []Chunk
		accept := func(c Chunk) {
			ready, _, err := a.Accept(c)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range ready {
				delivered = append(delivered, r.Position)
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
					mustAcceptFinal(t, a, final)
				}
				accept(c)
			}
			if !last && a.IsComplete() {
				t.Fatal("complete without a final marker")
			}
			if last && finalAt == len(arrivals) {
				mustAcceptFinal(t, a, final)
			}
			stale = append(stale, sent...)
		}
		if !a.IsComplete() || fmt.Sprint(delivered) != fmt.Sprint(firstN(total)) {
			t.Fatalf("complete = %v, delivered positions %v, want %d in order", a.IsComplete(), delivered, total)
		}
	})
}

func mustAcceptFinal(t *rapid.T, a *Assembler, f Final) {
	if _, err := a.AcceptFinal(f); err != nil {
		t.Fatal(err)
	}
}

func firstN(n int64) []int64 {
	var list []int64
	for i := range n {
		list = append(list, i)
	}
	return list
}

// Guards against accepting messages that contradict each other, and more than
// MaxBuffered chunks after a missing one.
func TestContradictionsAreRejected(t *testing.T) {
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
			for i := range int64(MaxBuffered) {
				if _, _, err := a.Accept(Chunk{RequestID: "r", Attempt: 1, Position: 2 + i}); err != nil {
					return nil
				}
			}
			_, _, err := a.Accept(Chunk{RequestID: "r", Attempt: 1, Position: 2 + MaxBuffered})
			return err
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			a := New("r")
			a.BeginAttempt()
			if _, _, err := a.Accept(Chunk{RequestID: "r", Attempt: 1, Position: 0}); err != nil {
				t.Fatal(err)
			}
			if send(a) == nil {
				t.Error("contradicting message was accepted")
			}
		})
	}
}
