package grpcserver

import (
	"context"
	"errors"
	"io"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/peerpb"
)

// input collects the messages that follow the offer. One goroutine writes it;
// the handler reads the body only if it came with the offer or after ready is
// closed.
type input struct {
	body    []byte
	want    int64
	started bool
	whole   bool
	ready   chan struct{}
}

func newInput(o *peerpb.Offer) *input {
	inline := int64(len(o.Body)) >= o.BodyBytes
	return &input{body: o.Body, want: o.BodyBytes, whole: inline, ready: make(chan struct{})}
}

// read runs until the stream ends and cancels the attempt on a Cancel message,
// a broken stream or a message that does not belong there.
func (in *input) read(stream attemptStream, cancel context.CancelCauseFunc) {
	signalled := false
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil || m.GetCancel() != nil {
			cancel(verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "gateway cancelled the attempt"))
			return
		}
		if !in.accept(m) {
			cancel(verdict.New(verdict.MayHaveRun, verdict.ReasonBadRequest, "unexpected message or body size"))
			return
		}
		if in.started && in.whole && !signalled {
			signalled = true
			close(in.ready)
		}
	}
}

func (in *input) accept(m *peerpb.AttemptRequest) bool {
	if m.GetStart() != nil {
		in.started = true
		return true
	}
	body := m.GetBody()
	if body == nil || in.whole || int64(len(in.body)+len(body.Data)) > in.want {
		return false
	}
	if in.body == nil {
		in.body = make([]byte, 0, in.want)
	}
	in.body = append(in.body, body.Data...)
	in.whole = body.Last
	return !in.whole || int64(len(in.body)) == in.want
}
