package grpcserver

import (
	"context"
	"errors"
	"io"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/peerpb"
)

// attemptInput collects the messages that follow the offer. Only the goroutine
// of read writes it. The handler may read the body if it was sent with the
// offer, or after ready is closed.
type attemptInput struct {
	body          []byte
	bodyBytes     int64
	startReceived bool
	bodyComplete  bool
	ready         chan struct{}
}

func newAttemptInput(o *peerpb.Offer) *attemptInput {
	bodyInOffer := int64(len(o.Body)) >= o.BodyBytes
	return &attemptInput{body: o.Body, bodyBytes: o.BodyBytes, bodyComplete: bodyInOffer, ready: make(chan struct{})}
}

// read receives messages until the stream ends. It cancels the attempt on a
// Cancel message, a broken stream or an unexpected message.
func (in *attemptInput) read(stream attemptStream, cancel context.CancelCauseFunc) {
	readyClosed := false
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
		if in.startReceived && in.bodyComplete && !readyClosed {
			readyClosed = true
			close(in.ready)
		}
	}
}

func (in *attemptInput) accept(m *peerpb.AttemptRequest) bool {
	if m.GetStart() != nil {
		in.startReceived = true
		return true
	}
	body := m.GetBody()
	if body == nil || in.bodyComplete || int64(len(in.body)+len(body.Data)) > in.bodyBytes {
		return false
	}
	if in.body == nil {
		in.body = make([]byte, 0, in.bodyBytes)
	}
	in.body = append(in.body, body.Data...)
	in.bodyComplete = body.Last
	return !in.bodyComplete || int64(len(in.body)) == in.bodyBytes
}
