package responsehead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"siskinstand.example/coord/responsehead/headtest"
)

// FuzzChecker guards against a verdict that depends on how the bytes are split, and against an
// accepted head that net/http reads as something else.
func FuzzChecker(f *testing.F) {
	for _, list := range [][]headtest.Case{headtest.Broken(testFields), headtest.Sound(testFields), headtest.Cut(testFields)} {
		for _, tc := range list {
			f.Add(tc.Text, 3)
		}
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		whole := feedInPieces(text, max(len(text), 1))
		split := feedInPieces(text, max(size, 1))
		if whole.IsOpen() != split.IsOpen() || (whole.Err() == nil) != (split.Err() == nil) {
			t.Fatalf("whole: open %t, error %v; in pieces: open %t, error %v", whole.IsOpen(), whole.Err(), split.IsOpen(), split.Err())
		}
		if whole.IsOpen() || whole.Err() != nil {
			return
		}
		r := bufio.NewReader(strings.NewReader(text))
		for {
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				return // net/http rejects lengths and codings that the checker does not look at
			}
			if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
				continue
			}
			if response.StatusCode != whole.status || !IsFinalStatus(response.StatusCode) {
				t.Fatalf("accepted status %d, net/http reads %d", whole.status, response.StatusCode)
			}
			for name := range response.Header {
				if strings.ContainsAny(name, " \t\r\n\x00") {
					t.Fatalf("accepted the name %q", name)
				}
			}
			return
		}
	})
}
