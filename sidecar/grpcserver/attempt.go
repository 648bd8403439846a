package grpcserver

import (
	"context"
	"sync/atomic"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/peerpb"
	"siskinstand.example/sidecar/control"
)

type attemptStream = peerpb.Sidecar_AttemptServer

// cancelTimeout bounds the order to cancel a run that has failed here.
const cancelTimeout = 2 * time.Second

// maxDuration bounds the durations that a message may state, such as the
// remaining time of an offer.
const maxDuration = 24 * time.Hour

// durationOf bounds the value before the multiplication, which could overflow.
func durationOf(milliseconds int64) time.Duration {
	limit := maxDuration.Milliseconds()
	return time.Duration(max(min(milliseconds, limit), -limit)) * time.Millisecond
}

// Attempt runs one attempt of one request.
func (s *Server) Attempt(stream attemptStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	a := &attempt{server: s, stream: stream, offer: first.GetOffer()}
	if refusal := a.check(); refusal != nil {
		return a.refuse(refusal, nil)
	}
	return a.run()
}

// attempt is the state of one Attempt stream, used by its handler only.
type attempt struct {
	server   *Server
	stream   attemptStream
	offer    *peerpb.Offer
	ticket   *control.Attempt
	arrived  time.Time
	priority int
	chunks   int64
	// lastChunk is the arrival of the chunk before the present one.
	lastChunk time.Time
	// ended is read by the engine adapter, which may use its own goroutine.
	ended atomic.Bool
}

func (a *attempt) check() *verdict.Error {
	o := a.offer
	switch {
	case o == nil:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "first message must be an offer")
	case o.Endpoint != "" && o.Endpoint != a.server.config.Endpoint:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "offer is for endpoint %s", o.Endpoint)
	case o.RequestId == "":
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "offer has no request identifier")
	case o.BodyBytes > a.server.config.MaxBodyBytes || int64(len(o.Body)) > max(o.BodyBytes, 0):
		return verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "body of %d bytes is not accepted; limit %d", o.BodyBytes, a.server.config.MaxBodyBytes)
	}
	return nil
}

func (a *attempt) run() error {
	a.arrived = time.Now()
	deadline := a.arrived.Add(durationOf(a.offer.BudgetMs))
	ctx, stop := context.WithDeadline(a.stream.Context(), deadline)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	own, _, _ := a.othersOf()
	ticket, err := a.server.config.Loop.Offer(offerOf(a.offer, own, deadline))
	if err != nil {
		return a.refuse(asError(err), nil)
	}
	a.ticket = ticket
	in := newInput(a.offer)
	go in.read(a.stream, cancel)
	if refused := a.await(ctx, in); refused != nil {
		return a.refuse(refused.Refusal, refused.Suspects)
	}
	if refusal := a.server.config.Loop.Dispatch(ticket); refusal != nil {
		return a.refuse(refusal, nil)
	}
	return a.runEngine(ctx, cancel, deadline, in)
}

// await returns nil once the attempt may be dispatched, or why it may not be.
func (a *attempt) await(ctx context.Context, in *input) *control.Decision {
	ready := (<-chan struct{})(nil)
	expired := (<-chan time.Time)(nil)
	for {
		select {
		case d := <-a.ticket.Decisions():
			if d.Refusal != nil {
				return &d
			}
			a.priority = d.Priority
			if err := a.sendAdmitted(); err != nil {
				return a.giveUp(verdict.ReasonCancelled, "gateway is gone")
			}
			if !a.ticket.Offer.StartRequired() {
				return nil
			}
			ready = in.ready
			expired = time.After(control.StartTimeout - time.Since(d.AdmittedAt))
		case <-ready:
			return nil
		case <-expired:
			return a.giveUp(verdict.ReasonCancelled, "no start within "+control.StartTimeout.String())
		case <-ctx.Done():
			return a.giveUp(a.whyEnded(ctx))
		}
	}
}

func (a *attempt) whyEnded(ctx context.Context) (verdict.Reason, string) {
	if ctx.Err() == context.DeadlineExceeded {
		return verdict.ReasonDeadlineExceeded, "deadline passed in the queue"
	}
	return verdict.ReasonCancelled, "gateway cancelled the attempt"
}

// giveUp ends an attempt that was not dispatched.
func (a *attempt) giveUp(reason verdict.Reason, message string) *control.Decision {
	v := verdict.MayHaveRun
	if a.server.config.Loop.Cancel(a.ticket) {
		v = verdict.NotRun
	}
	return &control.Decision{Refusal: verdict.New(v, reason, "%s", message)}
}

func (a *attempt) runEngine(ctx context.Context, cancel context.CancelCauseFunc, deadline time.Time, in *input) error {
	watched := make(chan struct{})
	defer close(watched)
	go func() {
		select {
		case <-a.ticket.Aborted():
			cancel(verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "engine died"))
		case <-watched:
		}
	}()
	release := a.leadGroup(ctx, cancel)
	result, err := a.callEngine(ctx, deadline, in)
	a.ended.Store(true)
	release()
	if err != nil {
		err = causeOf(ctx, err)
		cancelCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		_ = a.server.config.Engine.Cancel(cancelCtx, a.ticket.Offer.ID())
		stop()
	}
	suspects := a.server.config.Loop.EndAttempt(a.ticket, result.OutputTokens, err)
	a.server.burn.RecordAnswer(a.burnKey(), time.Since(a.arrived), err == nil)
	if err != nil {
		return a.fail(err, suspects)
	}
	return a.sendFinal(result)
}

func (a *attempt) callEngine(ctx context.Context, deadline time.Time, in *input) (engine.Result, error) {
	own, _, members := a.othersOf()
	if own != nil {
		// The run reserves the memory itself and would not find it free.
		_ = a.server.config.Engine.Free(ctx, own.HoldId)
	}
	request := a.request(deadline, in)
	request.Members = members
	return a.server.config.Engine.Run(ctx, request, func(c engine.Chunk) error {
		a.measure(c.Tokens)
		if !a.server.config.Invariants.Check(!a.ended.Load(), invariant.StreamIdentity, "chunk of attempt %s after its end", a.ticket.Offer.ID()) {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "chunk after the end")
		}
		return a.sendChunk(c)
	})
}

func (a *attempt) request(deadline time.Time, in *input) engine.Request {
	r := engine.Request{
		AttemptID: a.ticket.Offer.ID(), Model: a.offer.Model, Method: a.offer.Method, Path: a.offer.Path,
		Body: in.body, PromptTokens: a.offer.PromptTokens, MaxOutputTokens: a.offer.MaxOutputTokens,
		Priority: a.priority, ResumeText: a.offer.ResumeText, Deadline: deadline,
	}
	for _, h := range a.offer.Headers {
		r.Header = append(r.Header, engine.Header{Name: h.Name, Value: h.Value})
	}
	return r
}
