package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run records a request that a replica ran.
type Run struct {
	AttemptID, Method, Target, Account, Authorization, Body, Priority, Helpers, LastEventID string
	// Peer is the other end of the connection.
	Peer      string
	TimeLeft  time.Duration
	StartedAt time.Time
	// Ended reports whether the replica has stopped working on the request,
	// Completed whether it sent the complete response.
	Ended, Completed bool
	// Unread is set if the replica cut the response off; see ReplicaConfig.UnreadTimeout.
	Unread bool
}

// ReplicaConfig holds the parameters of a replica.
type ReplicaConfig struct {
	ID, Service, Zone string
	Slots             int
	// StreamEvents is the number of events of each response. If it is 0, the
	// responses are not streams.
	StreamEvents int
	// EventInterval is the pause after each event of a stream.
	EventInterval time.Duration
	// AnswerDelay is the time that the replica takes for a response that is not a stream.
	AnswerDelay time.Duration
	// EventBytes is the size to which the data of each event is padded.
	EventBytes int
	// UnreadTimeout is the time after which the replica cuts off a response of which nothing
	// more is read; 0 means never.
	UnreadTimeout time.Duration
	// MaxHeldBytes is the size of all request bodies at the replica above which it crashes; 0
	// means no limit.
	MaxHeldBytes int
}

// Replica is an HTTP server that implements the platform's protocol for replicas.
type Replica struct {
	config  ReplicaConfig
	server  *http.Server
	address string

	mu                 sync.Mutex
	mode               ResponseMode
	runs               []*Run
	reservations       map[string]int
	orders             []string
	longestReservation time.Duration
	reservationDelay   time.Duration
	isLeaving          bool
	pause              string
	refusedAt          []time.Time
	// refusals counts the connections of ResponseRepeatedRefusal, broken the responses of
	// brokenResponse.
	refusals, broken int
	crashed          bool
	// heldBytes is the size of the bodies of the running requests; see MaxHeldBytes.
	heldBytes int
	// advertised is the address in the replica's entry in the store.
	advertised string
}

// NewReplica starts a replica on a loopback address.
func NewReplica(c ReplicaConfig) (*Replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{config: c, address: l.Addr().String(), reservations: map[string]int{}, advertised: l.Addr().String()}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute, ConnContext: r.limitSendBuffer}
	go func() { _ = r.server.Serve(l) }() // returns when the replica is closed
	return r, nil
}

// Close stops the replica and closes its connections.
func (r *Replica) Close() { _ = r.server.Close() } // best effort

// Crashed reports whether a request has stopped the replica; see ResponseCrash.
func (r *Replica) Crashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// Address returns the address on which the replica listens.
func (r *Replica) Address() string { return r.address }

// Advertise sets the address in the replica's entry in the store, for example to
// that of a proxy in front of the replica.
func (r *Replica) Advertise(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advertised = address
}

// Zone returns the replica's availability zone.
func (r *Replica) Zone() string { return r.config.Zone }

// ID returns the replica's ID.
func (r *Replica) ID() string { return r.config.ID }

// SetResponseMode changes how the replica responds to new requests.
func (r *Replica) SetResponseMode(mode ResponseMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

// Runs returns the requests that the replica has run or is running.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, len(r.runs))
	for i, run := range r.runs {
		runs[i] = *run
	}
	return runs
}

// ReservationCount returns the number of reservations that are not released.
func (r *Replica) ReservationCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.reservations)
}

// LongestReservation returns the longest hold time that a reservation asked for.
func (r *Replica) LongestReservation() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longestReservation
}

// SetLeaving makes the replica say in all its responses that it leaves.
func (r *Replica) SetLeaving(isLeaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isLeaving = isLeaving
}

// SetPause sets the Retry-After header of refusals; see ResponseAtCapacity.
func (r *Replica) SetPause(retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = retryAfter
}

// Refusals returns when the replica has refused requests.
func (r *Replica) Refusals() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.refusedAt...)
}

// SetReservationDelay delays the responses to orders that reserve memory.
func (r *Replica) SetReservationDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reservationDelay = d
}

// Orders returns the operations of all orders received so far.
func (r *Replica) Orders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.orders...)
}

// StoreEntry returns the value of the replica's entry in the store.
func (r *Replica) StoreEntry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"backend": r.config.Service, "address": r.advertised, "zone": r.config.Zone, "version": "v1", "slots": r.config.Slots,
		"state": state, "cold_left_ms": 0, "seq": 1, "born": 1700000000000,
	}
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get("Attempt-Id"); id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	r.mu.Lock()
	isLeaving := r.isLeaving
	r.mu.Unlock()
	if isLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := q.Header.Get("Expect-Replica"); expected != "" && expected != r.config.ID {
		w.Header().Set("Replica-Id", r.config.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/siskinstand/order" {
		r.orderHandler(w, q)
		return
	}
	r.mu.Lock()
	mode := r.mode
	r.mu.Unlock()
	if mode == ResponseAtCapacity {
		r.mu.Lock()
		r.refusedAt = append(r.refusedAt, time.Now())
		if r.pause != "" {
			w.Header().Set("Retry-After", r.pause)
		}
		r.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if mode == ResponseSlowRefusal {
		r.refuseSlowly(w, q)
		return
	}
	if mode == ResponseEarlyReset {
		run := r.recordRun(q, "")
		r.brokenResponse(w, q, mode)
		r.mu.Lock()
		run.Ended = true
		r.mu.Unlock()
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if mode == ResponseRepeatedRefusal {
		r.repeatRefusal(w, q)
		return
	}
	run := r.recordRun(q, string(body))
	defer r.hold(len(body))()
	complete := false
	defer func() {
		r.mu.Lock()
		run.Ended, run.Completed = true, complete
		r.mu.Unlock()
	}()
	complete = r.respond(w, q, mode)
}

// recordRun adds a request to the runs.
func (r *Replica) recordRun(q *http.Request, body string) *Run {
	deadlineMS, _ := strconv.Atoi(q.Header.Get("Deadline-Ms")) // an invalid header is recorded as 0
	run := &Run{
		AttemptID: q.Header.Get("Attempt-Id"), Method: q.Method, Target: q.RequestURI, Account: q.Header.Get("Tenant"),
		Authorization: q.Header.Get("Authorization"), Body: body, Priority: q.Header.Get("Request-Priority"), Helpers: q.Header.Get("Helpers"),
		LastEventID: q.Header.Get("Last-Event-Id"), Peer: q.RemoteAddr, TimeLeft: time.Duration(deadlineMS) * time.Millisecond, StartedAt: time.Now(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	return run
}

// respond writes the response and reports whether it is complete.
func (r *Replica) respond(w http.ResponseWriter, q *http.Request, mode ResponseMode) bool {
	h := w.Header()
	h.Set("Replica-Stamp", "stamp."+r.config.ID)
	switch mode {
	case ResponseAborted:
		panic(http.ErrAbortHandler)
	case ResponseCrash:
		r.crash()
	case ResponseCrashMidway:
		if r.config.StreamEvents > 0 {
			h.Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 0\ndata: token 0\n\n")
		} else {
			h.Set("Content-Length", "100")
			fmt.Fprint(w, "half")
		}
		_ = http.NewResponseController(w).Flush() // the connection is closed next
		r.crash()
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
		return r.respondRaw(w, q, mode)
	case ResponseBrokenHead, ResponseCutHead, ResponseEndless:
		r.brokenResponse(w, q, mode)
		return false
	}
	if r.config.StreamEvents > 0 {
		return r.streamEvents(w, q, mode)
	}
	if mode == ResponseTruncated {
		h.Set("Content-Length", "100")
		fmt.Fprint(w, "half")
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(r.config.AnswerDelay):
	case <-q.Context().Done():
		return false
	}
	fmt.Fprintf(w, "answer of %s", r.config.ID)
	return true
}

// orderHandler makes or releases a reservation.
func (r *Replica) orderHandler(w http.ResponseWriter, q *http.Request) {
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
	if delay := r.reservationDelay; delay > 0 && body.Op == "reserve" {
		r.mu.Unlock()
		time.Sleep(delay)
		r.mu.Lock()
	}
	switch body.Op {
	case "reserve":
		if r.mode == ResponseAtCapacity {
			w.WriteHeader(http.StatusConflict)
			return
		}
		r.reservations[body.ID] = body.Tokens
		r.longestReservation = max(r.longestReservation, time.Duration(body.Hold)*time.Millisecond)
	case "release":
		delete(r.reservations, body.ID)
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fmt.Fprint(w, `{"free":1000}`)
}
