package caller

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/edge/replica"
)

// Guards against broken responses that operators can't find: each is counted with its fault.
func TestFaults(t *testing.T) {
	const (
		plain  = "HTTP/1.1 200 OK\r\n" + brokenFields
		stream = plain + "Content-Type: text/event-stream\r\n"
	)
	for name, tc := range map[string]struct {
		path, text string
		want       replica.Fault
	}{
		"complete":                 {"/x", plain + "Content-Length: 0\r\n\r\n", replica.FaultNone},
		"refusal":                  {"/x", plain + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", replica.FaultNone},
		"no byte":                  {"/x", "", replica.FaultNone},
		"status 000":               {"/x", "HTTP/1.1 000 Odd\r\n" + brokenFields + "\r\n", replica.FaultHead},
		"blank in a name":          {"/x", plain + "X A: x\r\n\r\n", replica.FaultHead},
		"length that is no number": {"/x", plain + "Content-Length: x\r\n\r\n", replica.FaultBody},
		"chunk size that is none":  {"/x", plain + "Transfer-Encoding: chunked\r\n\r\nx\r\n", replica.FaultBody},
		"part of a head":           {"/x", plain + "X-A:", replica.FaultCut},
		"part of a body":           {"/x", plain + "Content-Length: 9\r\n\r\npart", replica.FaultCut},
		"part of an event":         {"/stream/", stream + "Content-Length: 5\r\n\r\nid: 1", replica.FaultCut},
		"no event":                 {"/stream/", stream + "\r\n", replica.FaultCut},
		"long head":                {"/x", plain + "X-A: " + strings.Repeat("x", 64<<10), replica.FaultEndless},
		"long body":                {"/x", plain + "\r\n" + strings.Repeat("x", 2<<20), replica.FaultEndless},
		"long event":               {"/stream/", stream + "\r\nid: 1\ndata: " + strings.Repeat("x", 256<<10), replica.FaultEndless},
		"response to another":      {"/x", strings.ReplaceAll(plain, "broken", "other") + "Content-Length: 0\r\n\r\n", replica.FaultOtherRequest},
		"response to two":          {"/x", plain + "Attempt-Id: other\r\nContent-Length: 0\r\n\r\n", replica.FaultOtherRequest},
		"success without a stamp":  {"/x", "HTTP/1.1 200 OK\r\nAttempt-Id: broken\r\nContent-Length: 0\r\n\r\n", replica.FaultNotOwn},
		"success with an encoding": {"/x", plain + "Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", replica.FaultNotOwn},
		"failure of the replica":   {"/x", "HTTP/1.1 500 Error\r\n" + brokenFields + "Content-Length: 0\r\n\r\n", replica.FaultNone},
		"version 1.0":              {"/x", "HTTP/1.0 200 OK\r\n" + brokenFields + "\r\nwhole", replica.FaultNone},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &brokenReplica{text: tc.text, closes: true}
			r.start(t)
			scope := tally.NewTestScope("", nil)
			s, _ := startServer(t, r.address)
			s.metrics.scope = scope
			front := httptest.NewServer(s)
			ask(t, front.URL, tc.path, "broken", "body")
			front.Close() // waits for the end of the request
			got := map[string]int64{}
			for _, c := range scope.Snapshot().Counters() {
				if c.Name() == "broken_responses" {
					got[c.Tags()["fault"]] = c.Value()
				}
			}
			if want := tc.want != replica.FaultNone; len(got) > 0 != want || want && got[string(tc.want)] != 1 {
				t.Errorf("counted %v, want one %q", got, tc.want)
			}
		})
	}
}
