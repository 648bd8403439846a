package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ResponseMode is how a replica answers requests.
type ResponseMode string

// The ways of answering.
const (
	// ResponseComplete answers completely.
	ResponseComplete ResponseMode = ""
	// ResponseAtCapacity rejects everything.
	ResponseAtCapacity ResponseMode = "full"
	// ResponseServerError runs and answers 500.
	ResponseServerError ResponseMode = "error"
	// ResponseTruncated runs and closes in the middle of its answer, of streams in the
	// middle of an event.
	ResponseTruncated ResponseMode = "cut"
	// ResponseAborted runs and closes without an answer.
	ResponseAborted ResponseMode = "reset"
	// ResponseCrash runs and takes the replica down.
	ResponseCrash ResponseMode = "die"
	// ResponseHang runs and never answers.
	ResponseHang ResponseMode = "mute"
	// ResponseUnstamped answers without the receipt.
	ResponseUnstamped ResponseMode = "unstamped"
	// ResponseWrongID answers with another request's identifier.
	ResponseWrongID ResponseMode = "foreign"
	// ResponseDuplicated sends a second answer after the first.
	ResponseDuplicated ResponseMode = "extra"
	// ResponseRestartedStream answers a stream from its first event, whatever it is asked.
	ResponseRestartedStream ResponseMode = "again"
	// ResponseNotFound runs and answers 404.
	ResponseNotFound ResponseMode = "reject"
	// ResponseMalformed answers bytes that are no HTTP.
	ResponseMalformed ResponseMode = "garbage"
)

// Run is a request that a replica has run.
type Run struct {
	AttemptID, Method, Target, Account, Authorization, Body, Priority, Helpers, LastEventID string
	TimeLeft                                                                                time.Duration
	StartedAt                                                                               time.Time
	// Ended is set once the replica has stopped to work on it, Whole if it came
	// to its end.
	Ended, Completed bool
}

// ReplicaConfig describes a replica.
type ReplicaConfig struct {
	ID, Service, Zone string
	Slots             int
	// StreamEvents and Pause describe a stream.
	StreamEvents  int
	EventInterval time.Duration
}

// Replica is an HTTP server that speaks the platform's protocol for replicas.
type Replica struct {
	config  ReplicaConfig
	server  *http.Server
	address string

	mu      sync.Mutex
	answer  ResponseMode
	runs    []*Run
	tickets map[string]int
	orders  []string
	longest time.Duration
	dead    bool
	// advertised is the address in the list of replicas.
	advertised string
}

// NewReplica starts a replica on loopback.
func NewReplica(c ReplicaConfig) (*Replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{config: c, address: l.Addr().String(), tickets: map[string]int{}, advertised: l.Addr().String()}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }() // it returns when the replica is closed
	return r, nil
}

// Close ends the replica and its connections.
func (r *Replica) Close() { _ = r.server.Close() } // nothing is left to do about an error

// Crashed reports whether a request has taken the replica down.
func (r *Replica) Crashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead
}

// Address is where the replica listens.
func (r *Replica) Address() string { return r.address }

// Advertise changes the address in the list of replicas, for a relay before the
// replica.
func (r *Replica) Advertise(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advertised = address
}

// Zone is the replica's availability zone.
func (r *Replica) Zone() string { return r.config.Zone }

// ID names the replica.
func (r *Replica) ID() string { return r.config.ID }

// SetResponseMode changes how requests are answered from now on.
func (r *Replica) SetResponseMode(a ResponseMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = a
}

// Runs returns what the replica has run.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, len(r.runs))
	for i, run := range r.runs {
		runs[i] = *run
	}
	return runs
}

// ReservationCount returns the number of reservations, and Orders all orders so far.
func (r *Replica) ReservationCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tickets)
}

// LongestReservation returns the longest life that a reservation was given.
func (r *Replica) LongestReservation() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longest
}

// Orders returns the orders so far.
func (r *Replica) Orders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.orders...)
}

// StoreEntry returns the replica's entry in the list of replicas.
func (r *Replica) StoreEntry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"backend": r.config.Service, "address": r.advertised, "zone": r.config.Zone, "version": "v1", "slots": r.config.Slots,
		"state": state, "cold_left_ms": 0, "seq": 1, "born": 1700000000000,
	}
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Expect-Replica"); expected != "" && expected != r.config.ID {
		w.Header().Set("Replica-Id", r.config.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/siskinstand/order" {
		r.order(w, q)
		return
	}
	r.mu.Lock()
	answer := r.answer
	r.mu.Unlock()
	if answer == ResponseAtCapacity {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	run := r.begin(q, string(body))
	whole := false
	defer func() {
		r.mu.Lock()
		run.Ended, run.Completed = true, whole
		r.mu.Unlock()
	}()
	whole = r.respond(w, q, answer)
}

func (r *Replica) begin(q *http.Request, body string) *Run {
	left, _ := strconv.Atoi(q.Header.Get("Deadline-Ms")) // 0 shows in the run
	run := &Run{
		AttemptID: q.Header.Get("Attempt-Id"), Method: q.Method, Target: q.RequestURI, Account: q.Header.Get("Tenant"),
		Authorization: q.Header.Get("Authorization"), Body: body, Priority: q.Header.Get("Request-Priority"), Helpers: q.Header.Get("Helpers"),
		LastEventID: q.Header.Get("Last-Event-Id"), TimeLeft: time.Duration(left) * time.Millisecond, StartedAt: time.Now(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	return run
}

// respond answers and reports whether the answer is whole.
func (r *Replica) respond(w http.ResponseWriter, q *http.Request, answer ResponseMode) bool {
	h := w.Header()
	h.Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	h.Set("Replica-Stamp", "stamp."+r.config.ID)
	switch answer {
	case ResponseAborted:
		panic(http.ErrAbortHandler)
	case ResponseCrash:
		r.mu.Lock()
		r.dead = true
		r.mu.Unlock()
		r.Close()
		panic(http.ErrAbortHandler)
	case ResponseHang:
		<-q.Context().Done()
		return false
	case ResponseServerError:
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "failed")
		return true
	case ResponseNotFound:
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, "nothing here")
		return true
	case ResponseUnstamped:
		h.Del("Replica-Stamp")
	case ResponseWrongID:
		h.Set("Attempt-Id", "another")
	case ResponseMalformed, ResponseDuplicated:
		return r.raw(w, q, answer)
	}
	if r.config.StreamEvents > 0 {
		return r.stream(w, q, answer)
	}
	if answer == ResponseTruncated {
		h.Set("Content-Length", "100")
		fmt.Fprint(w, "half")
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "answer of %s", r.config.ID)
	return true
}

func (r *Replica) stream(w http.ResponseWriter, q *http.Request, answer ResponseMode) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil && answer != ResponseRestartedStream {
		first = last + 1
	}
	control := http.NewResponseController(w)
	for i := first; i < r.config.StreamEvents; i++ {
		if answer == ResponseTruncated && i >= r.config.StreamEvents/2 {
			fmt.Fprintf(w, "id: %d\nda", i)
			_ = control.Flush() // the connection is closed next
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		if control.Flush() != nil {
			return false
		}
		select {
		case <-q.Context().Done():
			return false
		case <-time.After(r.config.EventInterval):
		}
	}
	return true
}

// raw answers outside of the protocol, or twice.
func (r *Replica) raw(w http.ResponseWriter, q *http.Request, answer ResponseMode) bool {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	if answer == ResponseMalformed {
		fmt.Fprint(c, "\x00\x01 no answer\r\n\r\n")
		_ = c.Close() // the test looks at the other end
		return false
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: stamp.%s\r\nContent-Length: 5\r\n\r\nfirst", q.Header.Get("Attempt-Id"), r.config.ID)
	fmt.Fprint(c, text+strings.ReplaceAll(text, "first", "extra"))
	return true
}

func (r *Replica) order(w http.ResponseWriter, q *http.Request) {
	var body struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int    `json:"token_count"`
		Hold   int64  `json:"hold_ms"`
	}
	if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, body.Op)
	switch body.Op {
	case "reserve":
		if r.answer == ResponseAtCapacity {
			w.WriteHeader(http.StatusConflict)
			return
		}
		r.tickets[body.ID] = body.Tokens
		r.longest = max(r.longest, time.Duration(body.Hold)*time.Millisecond)
	case "release":
		delete(r.tickets, body.ID)
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fmt.Fprint(w, `{"free":1000}`)
}
