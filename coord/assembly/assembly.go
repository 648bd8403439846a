// Package assembly puts the chunks of one answer in order. Reordered chunks are
// buffered. Duplicate chunks, chunks after the end and chunks of other requests or
// attempts never reach the caller, and an answer without its final marker is never
// complete.
package assembly

import "fmt"

// MaxBuffered bounds the chunks buffered while an earlier one is missing. A
// sidecar sends in order over one gRPC stream, so more than a few indicate a
// faulty sender.
const MaxBuffered = 256

// Chunk is a part of an answer. Position counts chunks from zero across all
// attempts of the request.
type Chunk struct {
	RequestID string
	Attempt   uint32
	Position  int64
	Data      []byte
	Tokens    int32
}

// Final is the final marker of an attempt. Chunks is the length of the whole
// answer across all attempts.
type Final struct {
	RequestID    string
	Attempt      uint32
	Chunks       int64
	FinishReason string
	PromptTokens int64
	OutputTokens int64
}

// DropReason is the reason why a chunk or final marker was dropped.
type DropReason string

// Drop reasons.
const (
	DropNone           DropReason = ""
	DropOtherRequest   DropReason = "other_request"
	DropOlderAttempt   DropReason = "older_attempt"
	DropUnknownAttempt DropReason = "unknown_attempt"
	DropDuplicate      DropReason = "duplicate"
	DropAfterEnd       DropReason = "after_end"
)

// Error is a violation of the stream protocol by the sender. The attempt has
// failed and its stream must be closed.
type Error struct{ Message string }

func (e *Error) Error() string { return e.Message }

// Assembler reassembles one answer. It is not safe for concurrent use.
type Assembler struct {
	requestID    string
	attempt      uint32
	nextPosition int64
	buffered     map[int64]Chunk
	final        *Final
	complete     bool
}

// New returns an assembler that has not begun an attempt.
func New(requestID string) *Assembler {
	return &Assembler{requestID: requestID, buffered: map[int64]Chunk{}}
}

// BeginAttempt starts the next attempt and returns its number and the position
// at which it must resume. Chunks buffered from older attempts are discarded,
// because a new attempt may split the answer at different places.
func (a *Assembler) BeginAttempt() (attempt uint32, resumePosition int64) {
	a.attempt++
	clear(a.buffered)
	a.final = nil
	return a.attempt, a.nextPosition
}

// NextPosition returns the position of the next chunk to deliver.
func (a *Assembler) NextPosition() int64 { return a.nextPosition }

// IsComplete reports whether the final marker and every chunk before it have
// arrived.
func (a *Assembler) IsComplete() bool { return a.complete }

// Accept takes a chunk and returns the chunks that can now be delivered, in
// order, or the reason why this one was dropped.
func (a *Assembler) Accept(c Chunk) ([]Chunk, DropReason, error) {
	if drop := a.dropReason(c.RequestID, c.Attempt); drop != DropNone {
		return nil, drop, nil
	}
	if _, buffered := a.buffered[c.Position]; buffered || c.Position < a.nextPosition {
		return nil, DropDuplicate, nil
	}
	if a.final != nil && c.Position >= a.final.Chunks {
		return nil, DropNone, &Error{fmt.Sprintf("chunk %d follows the final marker at %d", c.Position, a.final.Chunks)}
	}
	if c.Position > a.nextPosition {
		if len(a.buffered) >= MaxBuffered {
			return nil, DropNone, &Error{fmt.Sprintf("chunk %d is missing after %d later ones", a.nextPosition, MaxBuffered)}
		}
		a.buffered[c.Position] = c
		return nil, DropNone, nil
	}
	ready := []Chunk{c}
	a.nextPosition++
	for {
		buffered, ok := a.buffered[a.nextPosition]
		if !ok {
			break
		}
		delete(a.buffered, a.nextPosition)
		ready = append(ready, buffered)
		a.nextPosition++
	}
	a.updateComplete()
	return ready, DropNone, nil
}

// AcceptFinal takes a final marker, which may arrive before the last chunks.
func (a *Assembler) AcceptFinal(f Final) (DropReason, error) {
	if drop := a.dropReason(f.RequestID, f.Attempt); drop != DropNone {
		return drop, nil
	}
	if a.final != nil {
		return DropDuplicate, nil
	}
	if f.Chunks < a.nextPosition {
		return DropNone, &Error{fmt.Sprintf("final marker at %d, but %d chunks were delivered", f.Chunks, a.nextPosition)}
	}
	for position := range a.buffered {
		if position >= f.Chunks {
			return DropNone, &Error{fmt.Sprintf("final marker at %d, but chunk %d arrived", f.Chunks, position)}
		}
	}
	a.final = &f
	a.updateComplete()
	return DropNone, nil
}

// Result returns the final marker of a complete answer.
func (a *Assembler) Result() (Final, bool) {
	if !a.complete {
		return Final{}, false
	}
	return *a.final, true
}

func (a *Assembler) updateComplete() {
	a.complete = a.final != nil && a.nextPosition == a.final.Chunks
}

func (a *Assembler) dropReason(requestID string, attempt uint32) DropReason {
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

// Restarted returns an assembler for the same request that delivers the answer
// from its first chunk again but still ignores all previous attempts.
func (a *Assembler) Restarted() *Assembler {
	r := New(a.requestID)
	r.attempt = a.attempt
	return r
}
