package replica

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a part of a response without a length that counts as the whole, since a look at the
// state of its connection has taken the reset that would have failed the next read.
func TestResetIsSeenAfterLook(t *testing.T) {
	for name, tc := range map[string]struct {
		// end is what the replica does before it closes the connection.
		end func(net.Conn)
		// wantUnread is set if the look is to show unread data instead of the end.
		wantUnread bool
		wantBody   string
		wantErr    string
	}{
		"reset": {
			end: func(c net.Conn) {
				_ = c.(*net.TCPConn).SetLinger(0) // fails only for a closed connection
			},
			wantBody: "part", wantErr: "connection reset by peer",
		},
		"closed": {end: func(net.Conn) {}, wantBody: "part"},
		"closed with unread data": {
			end: func(c net.Conn) {
				_, _ = io.WriteString(c, " two") // the check of the body shows a failure
			},
			wantUnread: true, wantBody: "part two",
		},
	} {
		t.Run(name, func(t *testing.T) {
			partRead := make(chan struct{})
			s := serveLimited(t, 1, closePort, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart") // the check of the body shows a failure
				<-partRead
				tc.end(c)
			})
			resp, err := send(testPool(t), s.address, "a1", "")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			part := make([]byte, len("part"))
			if _, err := io.ReadFull(resp, part); err != nil {
				t.Fatal(err)
			}
			close(partRead)
			for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
				if state, hasUnread := resp.conn.link(); state == linkClosed || hasUnread {
					if hasUnread != tc.wantUnread {
						t.Errorf("the look shows unread data: %t, want %t", hasUnread, tc.wantUnread)
					}
					break
				}
				if time.Now().After(end) {
					t.Fatal("the end of the connection was not seen within 5s")
				}
			}
			rest, err := io.ReadAll(resp)
			if diff := cmp.Diff(tc.wantBody, string(part)+string(rest)); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			if got := errorText(err); tc.wantErr == "" && got != "" || !strings.Contains(got, tc.wantErr) {
				t.Errorf("the response ended with the error %q, want %q", got, tc.wantErr)
			}
		})
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
