package httpapi

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/dispatch"
)

// modelResponse holds the fields shared by buffered and streamed responses of a
// model.
type modelResponse struct {
	server  *Server
	w       http.ResponseWriter
	format  format
	id      string
	model   string
	created int64
	// deadline is the request's deadline. It also limits the writes of a stream to
	// a slow caller.
	deadline time.Time
}

// modelSink is a sink that also writes the end of a model's response.
type modelSink interface {
	dispatch.Sink
	finish(dispatch.Result) error
	fail(error) error
}

// bufferedSink collects a response that is not streamed.
type bufferedSink struct {
	*modelResponse
	text []byte
}

// Deliver buffers the part. It fails if the response exceeds MaxAnswerBytes.
func (s *bufferedSink) Deliver(p dispatch.ResponsePart) error {
	if int64(len(s.text)+len(p.Data)) > s.server.config.Limits.MaxAnswerBytes {
		return verdict.New(verdict.Ran, verdict.ReasonInternal, "the answer exceeds %d bytes; ask for a stream", s.server.config.Limits.MaxAnswerBytes)
	}
	s.text = append(s.text, p.Data...)
	return nil
}

// Restart discards the buffered text.
func (s *bufferedSink) Restart() bool {
	s.text = nil
	return true
}

func (s *bufferedSink) finish(r dispatch.Result) error {
	writeJSON(s.w, s.server.config.Limits.WriteTimeout, http.StatusOK, s.completeBody(string(s.text), r))
	return nil
}

func (s *bufferedSink) fail(err error) error { return err }

// streamSink writes server-sent events. The status line is sent with the first
// event, so that an error before it gets its own status code.
type streamSink struct {
	*modelResponse
	includeUsage bool
	started      bool
	// partialRune holds the first bytes of a character that is split across
	// chunks.
	partialRune []byte
}

// Deliver writes an event with the characters that are complete, if any. It blocks
// while the caller does not read, which applies back-pressure to the sidecar, and
// fails at the write deadline.
func (s *streamSink) Deliver(p dispatch.ResponsePart) error {
	text := append(s.partialRune, p.Data...)
	cut := completePrefix(text)
	s.partialRune = append([]byte(nil), text[cut:]...)
	if cut == 0 {
		return nil
	}
	return s.sendEvent(s.eventBody(string(text[:cut]), !s.started, nil))
}

// Restart returns false once an event was sent, as it cannot be withdrawn.
func (s *streamSink) Restart() bool { return !s.started }

func (s *streamSink) finish(r dispatch.Result) error {
	finish := r.FinishReason
	if err := s.sendEvent(s.eventBody(string(s.partialRune), !s.started, &finish)); err != nil {
		return errResponseStarted
	}
	if s.includeUsage {
		d := s.eventBody("", false, nil)
		d.Choices, d.Usage = []choice{}, newUsage(r)
		if s.sendEvent(d) != nil {
			return errResponseStarted
		}
	}
	_ = s.send([]byte("data: [DONE]\n\n"))
	return nil
}

// fail ends a started stream with an error event in place of the [DONE] marker.
func (s *streamSink) fail(err error) error {
	if !s.started {
		return err
	}
	v, body := newErrorBody(err)
	s.server.metrics.Tagged(map[string]string{"verdict": string(v.Verdict), "reason": string(v.Reason)}).Counter("broken_streams").Inc(1)
	_ = s.sendEvent(body)
	return errResponseStarted
}

func (s *streamSink) sendEvent(v any) error {
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
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return controller.Flush()
}

// errorEventGrace is the time allowed after a request's deadline to write the
// error event.
const errorEventGrace = 100 * time.Millisecond

// writeDeadline returns the deadline of a write: the write timeout from now, but
// at most errorEventGrace after the request's deadline.
func writeDeadline(timeout time.Duration, deadline time.Time) time.Time {
	if limit := time.Now().Add(timeout); limit.Before(deadline.Add(errorEventGrace)) {
		return limit
	}
	return deadline.Add(errorEventGrace)
}

// completePrefix returns the length of text without an incomplete character at
// its end.
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
