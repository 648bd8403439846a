package httpapi

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/dispatch"
)

// answer is what both forms of a model's answer share.
type answer struct {
	server  *Server
	w       http.ResponseWriter
	format  format
	id      string
	model   string
	created int64
	// deadline ends the request, also while a slow caller holds up a write.
	deadline time.Time
}

// modelSink is a sink with the two ends of a model's answer.
type modelSink interface {
	dispatch.Sink
	finish(dispatch.Result) error
	fail(error) error
}

// wholeSink collects an answer that is not streamed.
type wholeSink struct {
	*answer
	text []byte
}

// Deliver keeps the piece.
func (s *wholeSink) Deliver(p dispatch.ResponsePart) error {
	if int64(len(s.text)+len(p.Data)) > s.server.config.Limits.MaxAnswerBytes {
		return verdict.New(verdict.Ran, verdict.ReasonInternal, "the answer exceeds %d bytes; ask for a stream", s.server.config.Limits.MaxAnswerBytes)
	}
	s.text = append(s.text, p.Data...)
	return nil
}

// Restart discards the text.
func (s *wholeSink) Restart() bool {
	s.text = nil
	return true
}

func (s *wholeSink) finish(r dispatch.Result) error {
	writeJSON(s.w, s.server.config.Limits.WriteTimeout, http.StatusOK, s.whole(string(s.text), r))
	return nil
}

func (s *wholeSink) fail(err error) error { return err }

// streamSink writes server-sent events. The status line waits for the first
// piece, so that a refusal keeps its own status.
type streamSink struct {
	*answer
	usage bool
	begun bool
	// rest holds the bytes of a character that a chunk boundary has split.
	rest []byte
}

// Deliver writes an event. It blocks as long as the caller doesn't read, which
// stops the reads from the sidecar, and fails after the write time limit.
func (s *streamSink) Deliver(p dispatch.ResponsePart) error {
	text := append(s.rest, p.Data...)
	cut := completePrefix(text)
	s.rest = append([]byte(nil), text[cut:]...)
	if cut == 0 {
		return nil
	}
	return s.write(s.event(string(text[:cut]), !s.begun, nil))
}

// Restart reports false: events that were sent cannot be taken back.
func (s *streamSink) Restart() bool { return !s.begun }

func (s *streamSink) finish(r dispatch.Result) error {
	finish := r.FinishReason
	if err := s.write(s.event(string(s.rest), !s.begun, &finish)); err != nil {
		return errAnswered
	}
	if s.usage {
		d := s.event("", false, nil)
		d.Choices, d.Usage = []choice{}, usageOf(r)
		if s.write(d) != nil {
			return errAnswered
		}
	}
	_ = s.send([]byte("data: [DONE]\n\n"))
	return nil
}

// fail ends a stream that has begun with an error event and without the final
// marker.
func (s *streamSink) fail(err error) error {
	if !s.begun {
		return err
	}
	v, body := refusalOf(err)
	s.server.refusals.Tagged(map[string]string{"verdict": string(v.Verdict), "reason": string(v.Reason)}).Counter("broken_streams").Inc(1)
	_ = s.write(body)
	return errAnswered
}

func (s *streamSink) write(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	return s.send(append(event, "\n\n"...))
}

func (s *streamSink) send(event []byte) error {
	controller := http.NewResponseController(s.w)
	_ = controller.SetWriteDeadline(writeDeadline(s.server.config.Limits.WriteTimeout, s.deadline))
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return controller.Flush()
}

// lastWrite is the time after a request's deadline for its error event.
const lastWrite = 100 * time.Millisecond

// writeDeadline bounds a write by its time limit and the request's deadline.
func writeDeadline(timeout time.Duration, deadline time.Time) time.Time {
	if limit := time.Now().Add(timeout); limit.Before(deadline.Add(lastWrite)) {
		return limit
	}
	return deadline.Add(lastWrite)
}

// completePrefix returns the length of text without a split last character.
func completePrefix(text []byte) int {
	for i := len(text) - 1; i >= 0 && i >= len(text)-utf8.UTFMax; i-- {
		if utf8.RuneStart(text[i]) {
			if utf8.FullRune(text[i:]) {
				return len(text)
			}
			return i
		}
	}
	return len(text)
}
