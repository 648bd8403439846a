package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/peerpb"
	"siskinstand.example/platform/engine"
	"siskinstand.example/sidecar/control"
)

type attemptStream = peerpb.Sidecar_AttemptServer

// Attempt runs one attempt of one request.
func (s *Server) Attempt(stream attemptStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	a := &attempt{server: s, stream: stream, offer: first.GetOffer()}
	if a.offer == nil {
		return a.refuse(verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "first message must be an offer"))
	}
	if a.offer.BodyBytes > s.config.MaxBodyBytes {
		return a.refuse(verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "body exceeds %d bytes", s.config.MaxBodyBytes))
	}
	return a.run()
}

// attempt is the state of one Attempt stream, used by its handler only.
type attempt struct {
	server *Server
	stream attemptStream
	offer  *peerpb.Offer
	ticket *control.Ticket
	chunks int64
}

func (a *attempt) run() error {
	deadline := time.Now().Add(time.Duration(a.offer.BudgetMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(a.stream.Context(), deadline)
	defer cancel()
	ticket, err := a.server.config.Loop.Offer(offerOf(a.offer, deadline))
	if err != nil {
		return a.refuse(asError(err))
	}
	a.ticket = ticket
	in := newInput(a.offer)
	go in.read(a.stream, cancel)
	if refusal := a.await(ctx, in); refusal != nil {
		return a.refuse(refusal)
	}
	if refusal := a.server.config.Loop.Dispatch(ticket); refusal != nil {
		return a.refuse(refusal)
	}
	return a.runEngine(ctx, deadline, in)
}

// await returns once the attempt may be dispatched, or why it may not be.
func (a *attempt) await(ctx context.Context, in *input) *verdict.Error {
	ready := (<-chan struct{})(nil)
	expired := (<-chan time.Time)(nil)
	for {
		select {
		case d := <-a.ticket.Decisions():
			if d.Refusal != nil {
				return d.Refusal
			}
			if err := a.sendAdmitted(); err != nil {
				return a.giveUp("gateway is gone")
			}
			if !a.ticket.Offer.StartRequired() {
				return nil
			}
			ready = in.ready
			expired = time.After(control.StartLimit - time.Since(d.AdmittedAt))
		case <-ready:
			return nil
		case <-expired:
			return a.giveUp("no start within " + control.StartLimit.String())
		case <-ctx.Done():
			return a.giveUp("attempt was cancelled or its deadline passed")
		}
	}
}

// giveUp ends an attempt that was not dispatched.
func (a *attempt) giveUp(message string) *verdict.Error {
	if a.server.config.Loop.Cancel(a.ticket) {
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "%s", message)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "%s", message)
}

func (a *attempt) runEngine(ctx context.Context, deadline time.Time, in *input) error {
	loop := a.server.config.Loop
	result, err := a.server.config.Engine.Run(ctx, a.request(deadline, in), func(c engine.Chunk) error {
		if a.chunks == 0 {
			loop.FirstToken(a.ticket)
		}
		return a.sendChunk(c)
	})
	if err != nil {
		cancelCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		_ = a.server.config.Engine.Cancel(cancelCtx, a.ticket.Offer.ID())
		cancel()
	}
	loop.Done(a.ticket, result.OutputTokens, err)
	if err != nil {
		return a.fail(err)
	}
	return a.sendFinal(result)
}

func (a *attempt) request(deadline time.Time, in *input) engine.Request {
	r := engine.Request{
		AttemptID: a.ticket.Offer.ID(), Model: a.offer.Model, Method: a.offer.Method, Path: a.offer.Path,
		Body: in.body, PromptTokens: a.offer.PromptTokens, MaxOutputTokens: a.offer.MaxOutputTokens,
		ResumeText: a.offer.ResumeText, Deadline: deadline,
	}
	for _, h := range a.offer.Headers {
		r.Header = append(r.Header, engine.Header{Name: h.Name, Value: h.Value})
	}
	return r
}

// cancelTimeout bounds the order to cancel a run that has failed here.
const cancelTimeout = 2 * time.Second

// input collects the messages that follow the offer.
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

// read runs until the stream ends. The body is published by closing ready, so
// no other goroutine reads it before.
func (in *input) read(stream attemptStream, cancel context.CancelFunc) {
	signalled := false
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil || m.GetCancel() != nil || !in.accept(m, signalled) {
			cancel()
			return
		}
		if in.started && in.whole && !signalled {
			signalled = true
			close(in.ready)
		}
	}
}

func (in *input) accept(m *peerpb.AttemptRequest, signalled bool) bool {
	if m.GetStart() != nil {
		in.started = true
		return true
	}
	body := m.GetBody()
	if body == nil || signalled || in.whole || int64(len(in.body)+len(body.Data)) > in.want {
		return false
	}
	in.body = append(in.body, body.Data...)
	in.whole = body.Last
	return !in.whole || int64(len(in.body)) == in.want
}
