package membudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/bytebudget"
)

func testBudget() *Budget {
	return New(bytebudget.Config{
		Limit: 1 << 20, Reserve: 64 << 10, SmallBytes: 16 << 10, Share: 1, BodyShare: 1,
		StallTime: 50 * time.Millisecond, ProgressBytes: 1, MaxClaims: 100,
	}, tally.NoopScope)
}

// Guards against bytes that stay charged after a body was read, was too large or broke off, and
// against bodies that are changed on the way.
func TestReadBody(t *testing.T) {
	const limit = 300 << 10
	broken := errors.New("broken")
	tests := map[string]struct {
		size      int
		announced int64
		end       error
		want      error
	}{
		"empty":                {0, 0, io.EOF, nil},
		"small":                {100, 100, io.EOF, nil},
		"at the limit":         {limit, limit, io.EOF, nil},
		"chunked":              {limit, -1, io.EOF, nil},
		"too large, chunked":   {limit + 1, -1, io.EOF, ErrTooLarge},
		"too large, announced": {0, limit + 1, io.EOF, ErrTooLarge},
		"broken":               {1000, -1, broken, broken},
	}
	for name, tc := range tests {
		for mode, read := range map[string]func(io.Reader, *Claim) ([]byte, error){
			"segments": func(r io.Reader, c *Claim) ([]byte, error) {
				segments, err := ReadBody(r, c, tc.announced, limit, time.Time{})
				return bytes.Join(segments, nil), err
			},
			"joined": func(r io.Reader, c *Claim) ([]byte, error) { return ReadJoined(r, c, tc.announced, limit, time.Time{}) },
		} {
			t.Run(name+", "+mode, func(t *testing.T) {
				b := testBudget()
				c := b.Open(bytebudget.KindBody, "s", "a", func() {})
				text := strings.Repeat("abcdefg", tc.size/7+1)[:tc.size]
				got, err := read(io.MultiReader(iotest.HalfReader(strings.NewReader(text)), iotest.ErrReader(tc.end)), c)
				if !errors.Is(err, tc.want) || err == nil && string(got) != text {
					t.Errorf("%d bytes, error %v; want %d, error %v", len(got), err, tc.size, tc.want)
				}
				if held := b.Held(); err == nil && held < int64(tc.size) || held > 2*int64(tc.size)+firstSegmentBytes {
					t.Errorf("%d bytes charged for a body of %d", held, tc.size)
				}
				c.Close()
				if b.Held() != 0 {
					t.Errorf("%d bytes are still charged", b.Held())
				}
			})
		}
	}
}

// Guards against a body that waits for memory and is not told when a stalled one has returned it.
func TestStalledClaimIsCutOffForWaitingOne(t *testing.T) {
	b := testBudget()
	var stalled *Claim
	cutOff := make(chan struct{})
	stalled = b.Open(bytebudget.KindBody, "s", "", func() { close(cutOff) })
	if err := stalled.TryGrow(1 << 20); err != nil {
		t.Fatal(err)
	}
	go func() {
		<-cutOff
		stalled.Close()
	}()
	c := b.Open(bytebudget.KindBody, "t", "", func() {})
	if err := c.TryGrow(1 << 19); !errors.Is(err, ErrExhausted) {
		t.Errorf("error %v before the other body has stalled, want %v", err, ErrExhausted)
	}
	if err := c.Grow(1<<19, time.Now().Add(5*time.Second)); err != nil || !stalled.IsEvicted() {
		t.Errorf("error %v, stalled body cut off: %t", err, stalled.IsEvicted())
	}
}
