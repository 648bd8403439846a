package responsehead

import (
	"errors"
	"strings"
	"testing"

	"siskinstand.example/coord/responsehead/headtest"
)

const testFields = "X-Id: 1\r\n"

// feedInPieces feeds a text in pieces of the given size and returns the checker.
func feedInPieces(text string, size int) *Checker {
	c := &Checker{}
	c.Reset()
	for p := []byte(text); len(p) > 0; p = p[min(size, len(p)):] {
		c.Feed(p[:min(size, len(p))])
	}
	return c
}

// Guards against heads that net/http repairs, however the bytes are split.
func TestBrokenHeads(t *testing.T) {
	for _, tc := range headtest.Broken(testFields) {
		t.Run(tc.Name, func(t *testing.T) {
			for _, size := range []int{1, 7, len(tc.Text)} {
				if err := feedInPieces(tc.Text, size).Err(); !errors.Is(err, ErrMalformed) {
					t.Errorf("pieces of %d bytes: error %v, want ErrMalformed", size, err)
				}
			}
		})
	}
}

// Guards against strictness that costs servers that keep to HTTP/1.
func TestSoundHeads(t *testing.T) {
	for _, tc := range headtest.Sound(testFields) {
		t.Run(tc.Name, func(t *testing.T) {
			for _, size := range []int{1, 7, len(tc.Text)} {
				if c := feedInPieces(tc.Text, size); c.Err() != nil || c.IsOpen() {
					t.Errorf("pieces of %d bytes: error %v, open %t, want a complete head", size, c.Err(), c.IsOpen())
				}
			}
		})
	}
}

// Guards against a head without an end that counts as complete.
func TestCutHeads(t *testing.T) {
	head, _, _ := strings.Cut(headtest.Sound(testFields)[0].Text, "whole")
	for n := range head {
		if c := feedInPieces(head[:n], 1); !c.IsOpen() {
			t.Errorf("head of %d bytes of %d counts as complete, error %v", n, len(head), c.Err())
		}
	}
}
