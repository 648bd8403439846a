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

// engineCancelTimeout bounds the call that cancels a failed run in the engine.
const engineCancelTimeout = 2 * time.Second

// maxMessageDuration bounds the durations in messages, such as the remaining time of
// an offer.
const maxMessageDuration = 24 * time.Hour

// durationFromMillis converts milliseconds to a duration. It clamps the value
// before the multiplication, which could overflow.
func durationFromMillis(milliseconds int64) time.Duration {
	limit := maxMessageDuration.Milliseconds()
	return time.Duration(max(min(milliseconds, limit), -limit)) * time.Millisecond
}

// Attempt runs one attempt of one request. Unless the stream breaks, it ends
// with exactly one Refused, Failed or Final event.
func (s *Server) Attempt(stream attemptStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	a := &attempt{server: s, stream: stream, offer: first.GetOffer()}
	if refusal := a.validateOffer(); refusal != nil {
		return a.sendRefused(refusal, nil)
	}
	return a.run()
}

// attempt is the state of one Attempt stream. It is used by the stream's handler
// and, during a run, by the callback that receives the engine's chunks.
type attempt struct {
	server      *Server
	stream      attemptStream
	offer       *peerpb.Offer
	loopAttempt *control.Attempt
	arrivedAt   time.Time
	priority    int
	chunksSent  int64
	// lastChunkAt is the arrival time of the previous chunk.
	lastChunkAt time.Time
	// ended is set after the run. It is atomic because a faulty engine adapter
	// may deliver a chunk from another goroutine even after that.
	ended atomic.Bool
}

func (a *attempt) validateOffer() *verdict.Error {
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
	a.arrivedAt = time.Now()
	deadline := a.arrivedAt.Add(durationFromMillis(a.offer.BudgetMs))
	ctx, stop := context.WithDeadline(a.stream.Context(), deadline)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	own, _, _ := a.groupMembers()
	loopAttempt, err := a.server.config.Loop.Offer(offerFromProto(a.offer, own, deadline))
	if err != nil {
		return a.sendRefused(asVerdictError(err), nil)
	}
	a.loopAttempt = loopAttempt
	in := newAttemptInput(a.offer)
	go in.read(a.stream, cancel)
	if decision := a.awaitDispatch(ctx, in); decision != nil {
		return a.sendRefused(decision.Refusal, decision.Suspects)
	}
	if refusal := a.server.config.Loop.AuthorizeDispatch(loopAttempt); refusal != nil {
		return a.sendRefused(refusal, nil)
	}
	return a.runEngine(ctx, cancel, deadline, in)
}

// awaitDispatch waits for the admission and, if required, for Start and the rest
// of the body. It returns nil once the attempt may be dispatched, or the refusal.
func (a *attempt) awaitDispatch(ctx context.Context, in *attemptInput) *control.Decision {
	ready := (<-chan struct{})(nil)
	expired := (<-chan time.Time)(nil)
	for {
		select {
		case d := <-a.loopAttempt.Decisions():
			if d.Refusal != nil {
				return &d
			}
			a.priority = d.Priority
			if err := a.sendAdmitted(); err != nil {
				return a.cancelBeforeDispatch(verdict.ReasonCancelled, "gateway is gone")
			}
			if !a.loopAttempt.Offer.StartRequired() {
				return nil
			}
			ready = in.ready
			expired = time.After(control.StartTimeout - time.Since(d.AdmittedAt))
		case <-ready:
			return nil
		case <-expired:
			return a.cancelBeforeDispatch(verdict.ReasonCancelled, "no start within "+control.StartTimeout.String())
		case <-ctx.Done():
			return a.cancelBeforeDispatch(a.cancelReason(ctx))
		}
	}
}

func (a *attempt) cancelReason(ctx context.Context) (verdict.Reason, string) {
	if ctx.Err() == context.DeadlineExceeded {
		return verdict.ReasonDeadlineExceeded, "deadline passed in the queue"
	}
	return verdict.ReasonCancelled, "gateway cancelled the attempt"
}

// cancelBeforeDispatch cancels an attempt that was not dispatched and returns
// its refusal.
func (a *attempt) cancelBeforeDispatch(reason verdict.Reason, message string) *control.Decision {
	v := verdict.MayHaveRun
	if a.server.config.Loop.Cancel(a.loopAttempt) {
		v = verdict.NotRun
	}
	return &control.Decision{Refusal: verdict.New(v, reason, "%s", message)}
}

func (a *attempt) runEngine(ctx context.Context, cancel context.CancelCauseFunc, deadline time.Time, in *attemptInput) error {
	runEnded := make(chan struct{})
	defer close(runEnded)
	go func() {
		select {
		case <-a.loopAttempt.Aborted():
			cancel(verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "engine died"))
		case <-runEnded:
		}
	}()
	release := a.keepMemberHolds(ctx, cancel)
	result, err := a.callEngine(ctx, deadline, in)
	a.ended.Store(true)
	release()
	if err != nil {
		err = verdictFromCause(ctx, err)
		cancelCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), engineCancelTimeout)
		_ = a.server.config.Engine.Cancel(cancelCtx, a.loopAttempt.Offer.ID())
		stop()
	}
	suspects := a.server.config.Loop.EndAttempt(a.loopAttempt, result.OutputTokens, err)
	a.server.burnRecorder.RecordAnswer(a.burnKey(), time.Since(a.arrivedAt), err == nil)
	if err != nil {
		return a.sendFailed(err, suspects)
	}
	return a.sendFinal(result)
}

func (a *attempt) callEngine(ctx context.Context, deadline time.Time, in *attemptInput) (engine.Result, error) {
	own, _, members := a.groupMembers()
	if own != nil {
		// The run reserves the same memory itself, so the hold must be freed
		// first.
		_ = a.server.config.Engine.Free(ctx, own.HoldId)
	}
	request := a.engineRequest(deadline, in)
	request.Members = members
	return a.server.config.Engine.Run(ctx, request, func(c engine.Chunk) error {
		a.recordChunk(c.Tokens)
		if !a.server.config.Invariants.Check(!a.ended.Load(), invariant.StreamIdentity, "chunk of attempt %s after its end", a.loopAttempt.Offer.ID()) {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "chunk after the end")
		}
		return a.sendChunk(c)
	})
}

func (a *attempt) engineRequest(deadline time.Time, in *attemptInput) engine.Request {
	r := engine.Request{
		AttemptID: a.loopAttempt.Offer.ID(), Model: a.offer.Model, Method: a.offer.Method, Path: a.offer.Path,
		Body: in.body, PromptTokens: a.offer.PromptTokens, MaxOutputTokens: a.offer.MaxOutputTokens,
		Priority: a.priority, ResumeText: a.offer.ResumeText, Deadline: deadline,
	}
	for _, h := range a.offer.Headers {
		r.Header = append(r.Header, engine.Header{Name: h.Name, Value: h.Value})
	}
	return r
}
