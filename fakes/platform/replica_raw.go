package platform

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// respondRaw writes directly to the connection, to send a malformed or a second
// response.
func (r *Replica) respondRaw(w http.ResponseWriter, q *http.Request, mode ResponseMode) bool {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	if mode == ResponseMalformed {
		fmt.Fprint(c, "\x00\x01 no answer\r\n\r\n")
		_ = c.Close() // the test checks the other end
		return false
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: stamp.%s\r\nContent-Length: 5\r\n\r\nfirst", q.Header.Get("Attempt-Id"), r.config.ID)
	fmt.Fprint(c, text+strings.ReplaceAll(text, "first", "extra"))
	return true
}

// maxRefusalWait limits the wait for the request after a refusal.
const maxRefusalWait = 3 * time.Second

// repeatRefusal rejects a request and runs the next one on its connection. Before the response
// to that one, it repeats the rejection, for every second connection without an attempt ID.
func (r *Replica) repeatRefusal(w http.ResponseWriter, q *http.Request) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(maxRefusalWait)) // a closed connection fails the read below
	const rejection = "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	id := fmt.Sprintf("Attempt-Id: %s\r\n", q.Header.Get("Attempt-Id"))
	fmt.Fprintf(c, rejection, id)
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil || next.URL.Path == "/siskinstand/order" {
		return
	}
	body, err := io.ReadAll(next.Body)
	if err != nil {
		return
	}
	run := r.recordRun(next, string(body))
	r.mu.Lock()
	r.refusals++
	if r.refusals%2 == 0 {
		id = ""
	}
	run.Ended, run.Completed = true, true
	r.mu.Unlock()
	contentType, text := "text/plain", "answer of "+r.config.ID
	if r.config.StreamEvents > 0 {
		contentType, text = "text/event-stream", streamText(next, r.config.StreamEvents)
	}
	fmt.Fprintf(c, rejection, id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: stamp.%s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		next.Header.Get("Attempt-Id"), r.config.ID, contentType, len(text), text)
}

// streamText returns the events of a stream that come after Last-Event-Id.
func streamText(q *http.Request, events int) string {
	first := 0
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	var text strings.Builder
	for i := first; i < events; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", i, i)
	}
	return text.String()
}

// crash closes the listener and all connections.
func (r *Replica) crash() {
	r.mu.Lock()
	r.crashed = true
	r.mu.Unlock()
	r.Close()
	panic(http.ErrAbortHandler)
}
