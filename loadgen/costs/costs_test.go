package costs

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const sampleLog = `  1.0 edge-1 I1204 06:00:00.1 1 run.go:55] "placed" request_id="a" replica="i-1" helpers=["i-2"] predicted_ms=100 waited_ms=0 sends=0
  1.1 edge-1 I1204 06:00:00.2 1 run.go:55] "placed" request_id="b" replica="i-1" helpers=null predicted_ms=900 sends=0
  1.2 edge-1 I1204 06:00:00.3 1 request.go:1] "answered" request_id="a" status=200 reason="" prompt=5000 sends=1 first_ms=130 took_ms=900
  1.3 edge-1 I1204 06:00:00.4 1 request.go:1] "answered" request_id="b" status=502 reason="x" prompt=200000 sends=1 first_ms=0
  1.4 edge-1 I1204 06:00:00.5 1 request.go:1] "answered" request_id="c" status=200 reason="" prompt=5000 sends=1 first_ms=130
I1204 06:00:00.6 1 run.go:55] "placed" request_id="d" predicted_ms=800 waited_ms=50 sends=0
I1204 06:00:01.6 1 request.go:1] "answered" request_id="d" status=200 prompt=200000 sends=1 first_ms=700
`

func TestReadSamples(t *testing.T) {
	// Guards against samples of requests that failed or have no prediction.
	got, err := ReadSamples(strings.NewReader(sampleLog))
	if err != nil {
		t.Fatal(err)
	}
	want := []Sample{{5000, 100 * time.Millisecond, 130 * time.Millisecond}, {200_000, 800 * time.Millisecond, 650 * time.Millisecond}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	var b strings.Builder
	if err := WriteTable(&b, got); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"short, up to 20,000 tokens  1", "+30 / +30 / +30", "-150 / -150 / -150"} {
		if !strings.Contains(b.String(), line) {
			t.Errorf("%q is not in\n%s", line, b.String())
		}
	}
}
