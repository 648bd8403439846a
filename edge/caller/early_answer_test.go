package caller

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"siskinstand.example/coord/responsehead/headtest"
)

// Guards against a part of a response that callers get as a whole one: a replica answers a long
// upload at once, without a length, and resets the connection while the upload is written. The
// failed write takes the error of the connection, and the response seems to end properly.
func TestEarlyAnswer(t *testing.T) {
	const (
		plain  = "HTTP/1.1 200 OK\r\n" + brokenFields
		events = plain + "Content-Type: text/event-stream\r\n\r\n" + "id: 1\ndata: x\n\n"
	)
	for name, tc := range map[string]struct {
		path, text string
		end        func(*net.TCPConn, io.Reader)
		// wantStatus and wantBody are what the caller gets. The body of a status from 500 is the
		// host's own.
		wantStatus int
		wantBody   string
		// wantCut is set if the caller must see that the response broke off.
		wantCut bool
	}{
		"part without a length":                   {"/x", plain + "\r\npart", headtest.Reset, 502, "", false},
		"part without a length, failure":          {"/x", "HTTP/1.1 500 Error\r\n" + brokenFields + "\r\npart", headtest.Reset, 502, "", false},
		"part without a length, version 1.0":      {"/x", "HTTP/1.0 200 OK\r\n" + brokenFields + "\r\npart", headtest.Reset, 502, "", false},
		"part without a length, interim response": {"/x", "HTTP/1.1 103 Early Hints\r\n\r\n" + plain + "\r\npart", headtest.Reset, 502, "", false},
		"nothing without a length":                {"/x", plain + "\r\n", headtest.Reset, 502, "", false},
		"part of a length":                        {"/x", plain + "Content-Length: 5\r\n\r\npart", headtest.Reset, 502, "", false},
		"part of the chunks":                      {"/x", plain + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", headtest.Reset, 502, "", false},
		"chunks without their end":                {"/x", plain + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n", headtest.Reset, 502, "", false},
		"part without a length, upload read":      {"/x", plain + "\r\npart", headtest.ReadAndReset, 502, "", false},
		"stream without a length, upload read":    {"/stream/", events, headtest.ReadAndReset, 200, "id: 1\ndata: x\n\n", true},
		"stream without a length":                 {"/stream/", events, headtest.Reset, 200, "id: 1\ndata: x\n\n", true},
		"stream without a length or event":        {"/stream/", plain + "Content-Type: text/event-stream\r\n\r\n", headtest.Reset, 502, "", false},
		"refusal without a length":                {"/x", "HTTP/1.1 503 Full\r\n" + brokenFields + "Not-Executed: 1\r\n\r\npart", headtest.Reset, 503, "", false},
		"refusal of the request without a length": {"/x", "HTTP/1.1 400 Bad\r\n" + brokenFields + "Not-Executed: 1\r\n\r\npart", headtest.Reset, 503, "", false},
		"whole length":                            {"/x", plain + "Content-Length: 5\r\n\r\nwhole", headtest.Reset, 200, "whole", false},
		"whole chunks":                            {"/x", plain + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", headtest.Reset, 200, "whole", false},
		"refusal with a length":                   {"/x", "HTTP/1.1 503 Full\r\n" + brokenFields + "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", headtest.Reset, 503, "", false},
		"whole without a length, upload read":     {"/x", plain + "\r\nwhole", headtest.ReadOn, 200, "whole", false},
		"whole stream, upload read":               {"/stream/", events, headtest.ReadOn, 200, "id: 1\ndata: x\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startServer(t, headtest.ServeEarly(t, tc.text, tc.end))
			s.config.MaxBodyBytes, s.config.BodyTimeout = 2*headtest.LongUploadBytes, time.Minute
			front := httptest.NewServer(s)
			t.Cleanup(front.Close)
			a := ask(t, front.URL, tc.path, "broken", strings.Repeat("x", headtest.LongUploadBytes))
			if isCut := a.err != nil; a.status != tc.wantStatus || isCut != tc.wantCut {
				t.Errorf("answer %d %q, error %v; want status %d, cut off: %t", a.status, a.body, a.err, tc.wantStatus, tc.wantCut)
			}
			isOwn := strings.HasPrefix(a.body, `{"error":`) && a.header.Get("Replica-Stamp") == ""
			if wantOwn := tc.wantStatus >= 500; isOwn != wantOwn || !wantOwn && a.body != tc.wantBody {
				t.Errorf("answer %d %q, stamp %q, want %q, the host's own: %t", a.status, a.body, a.header.Get("Replica-Stamp"), tc.wantBody, wantOwn)
			}
		})
	}
}
