// Package assembly puts the chunks of one answer in order. Late, duplicate and
// reordered chunks and chunks of other requests or older attempts never reach
// the caller, and an answer without its final marker is never complete.
package assembly

import "fmt"

// MaxPending bounds the chunks held for a missing earlier one. A sidecar sends
// in order over one gRPC stream, so more than a few means a faulty sender.
const MaxPending = 256

// Chunk is a piece of an answer. Position counts chunks from zero over all
// attempts of the request.
type Chunk struct {
	RequestID string
	Attempt   uint32
	Position  int64
	Data      []byte
	Tokens    int32
}

// Final is the final marker of an attempt. Chunks counts the whole answer over
// all attempts.
type Final struct {
	RequestID    string
	Attempt      uint32
	Chunks       int64
	FinishReason string
	PromptTokens int64
	OutputTokens int64
}

// DropReason says why a chunk was not delivered.
type DropReason string

// The reasons for dropping a chunk or a final marker.
const (
	DropNone           DropReason = ""
	DropOtherRequest   DropReason = "other_request"
	DropOlderAttempt   DropReason = "older_attempt"
	DropUnknownAttempt DropReason = "unknown_attempt"
	DropDuplicate      DropReason = "duplicate"
	DropAfterEnd       DropReason = "after_end"
)

// Error is a breach of the stream protocol by the sender; the attempt has
// failed and its stream must be closed.
type Error struct{ Message string }

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// Assembler is the state of one answer. It is not safe for concurrent use.
type Assembler struct {
	requestID string
	attempt   uint32
	next      int64
	pending   map[int64]Chunk
	final     *Final
	complete  bool
}

// New returns an assembler without an attempt.
func New(requestID string) *Assembler {
	return &Assembler{requestID: requestID, pending: map[int64]Chunk{}}
}

// BeginAttempt starts the next attempt and returns its number and the position at
// which it must resume. Chunks held from older attempts are discarded, because
// a new attempt may cut the answer at different places.
func (a *Assembler) BeginAttempt() (attempt uint32, resume int64) {
	a.attempt++
	clear(a.pending)
	a.final = nil
	return a.attempt, a.next
}

// NextPosition returns the position of the next chunk to deliver.
func (a *Assembler) NextPosition() int64 { return a.next }

// Complete reports whether the final marker and every chunk before it arrived.
func (a *Assembler) Complete() bool { return a.complete }

// Accept takes a chunk and returns the chunks that can now be delivered, in
// order, or the reason why this one was dropped.
func (a *Assembler) Accept(c Chunk) ([]Chunk, DropReason, error) {
	if drop := a.check(c.RequestID, c.Attempt); drop != DropNone {
		return nil, drop, nil
	}
	if _, held := a.pending[c.Position]; held || c.Position < a.next {
		return nil, DropDuplicate, nil
	}
	if a.final != nil && c.Position >= a.final.Chunks {
		return nil, DropNone, &Error{fmt.Sprintf("chunk %d follows the final marker at %d", c.Position, a.final.Chunks)}
	}
	if c.Position > a.next {
		if len(a.pending) >= MaxPending {
			return nil, DropNone, &Error{fmt.Sprintf("chunk %d is missing after %d later ones", a.next, MaxPending)}
		}
		a.pending[c.Position] = c
		return nil, DropNone, nil
	}
	ready := []Chunk{c}
	a.next++
	for {
		held, ok := a.pending[a.next]
		if !ok {
			break
		}
		delete(a.pending, a.next)
		ready = append(ready, held)
		a.next++
	}
	a.finish()
	return ready, DropNone, nil
}

// AcceptFinal takes a final marker, which may arrive before the last chunks.
func (a *Assembler) AcceptFinal(f Final) (DropReason, error) {
	if drop := a.check(f.RequestID, f.Attempt); drop != DropNone {
		return drop, nil
	}
	if a.final != nil {
		return DropDuplicate, nil
	}
	if f.Chunks < a.next {
		return DropNone, &Error{fmt.Sprintf("final marker at %d, but %d chunks were delivered", f.Chunks, a.next)}
	}
	for position := range a.pending {
		if position >= f.Chunks {
			return DropNone, &Error{fmt.Sprintf("final marker at %d, but chunk %d arrived", f.Chunks, position)}
		}
	}
	a.final = &f
	a.finish()
	return DropNone, nil
}

// Result returns the final marker of a complete answer.
func (a *Assembler) Result() (Final, bool) {
	if !a.complete {
		return Final{}, false
	}
	return *a.final, true
}

func (a *Assembler) finish() {
	a.complete = a.final != nil && a.next == a.final.Chunks
}

func (a *Assembler) check(requestID string, attempt uint32) DropReason {
	switch {
	case requestID != a.requestID:
		return DropOtherRequest
	case a.complete:
		return DropAfterEnd
	case attempt < a.attempt:
		return DropOlderAttempt
	case attempt > a.attempt:
		return DropUnknownAttempt
	}
	return DropNone
}

// Restarted returns an assembler of the same request that delivers the answer
// from its first chunk again and still ignores all attempts so far.
func (a *Assembler) Restarted() *Assembler {
	r := New(a.requestID)
	r.attempt = a.attempt
	return r
}
