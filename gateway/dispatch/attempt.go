package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"siskinstand.example/coord/assembly"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/sidecar"
	"siskinstand.example/gateway/suspects"
	pb "siskinstand.example/peerpb"
)

const (
	// budgetMargin is subtracted from the time budget of an offer, so that the
	// sidecar's refusal, which states the exact reason, arrives before the
	// caller's deadline.
	budgetMargin = 50 * time.Millisecond
	// budgetMarginDivisor limits the margin to 1/20 of the remaining time, for
	// short deadlines.
	budgetMarginDivisor = 20
)

type attemptState struct {
	execution     *execution
	target        target
	number        uint32
	stream        *sidecar.Attempt
	renewal       *renewal
	admitted      bool
	chunkReceived bool
	// sidecarIncarnation is the incarnation in the latest sidecar message.
	sidecarIncarnation uint64
}

// runAttempt sends an offer to the target endpoint and relays the response.
func (x *execution) runAttempt(ctx context.Context, t target) (Result, *verdict.Error) {
	x.attempts++
	x.dispatcher.metrics.attempts.Inc(1)
	ok := x.request.Route.Repeatable || !x.mayHaveRun
	if !x.dispatcher.config.Invariants.Check(ok, invariant.AtMostOnce, "retry of request %s, which is not repeatable and may have run", x.request.ID) {
		return Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "the call may have run")
	}
	if failure := x.acquireHolds(ctx, t.group); failure != nil {
		return Result{}, failure
	}
	s := &attemptState{execution: x, target: t}
	number, resume := x.assembler.BeginAttempt()
	s.number = number
	if resume > 0 {
		x.dispatcher.metrics.resumed.Inc(1)
	}
	var err error
	s.stream, err = x.dispatcher.config.Client.OpenAttempt(ctx, t.endpoint, x.newOffer(t, number, resume))
	if err != nil {
		if ctx.Err() == nil {
			x.dispatcher.config.Control.EndpointUnreachable(ctx, t.endpoint)
		}
		t.group.release(x.dispatcher.config.Client)
		return Result{}, asVerdictError(err)
	}
	defer s.stream.Close()
	s.renewal = t.group.startRenewal(ctx, x.dispatcher.config.Client, s.stream)
	defer s.renewal.stop()
	result, failure := s.receive(ctx)
	s.logOutcome(failure)
	if failure != nil {
		s.releaseGroup(failure)
	}
	return result, failure
}

func (x *execution) newOffer(t target, number uint32, resume int64) *pb.Offer {
	left := time.Until(x.request.Deadline)
	left -= min(budgetMargin, left/budgetMarginDivisor)
	o := &pb.Offer{
		RequestId: x.request.ID, Attempt: number, Endpoint: t.endpoint.Name,
		Account: x.request.Account.Name, AccountWeight: x.request.Account.Weight,
		Pool: x.request.Pool.Name, Model: x.request.Route.Model,
		PromptTokens: x.request.PromptTokens, MaxOutputTokens: x.request.MaxOutputTokens,
		BudgetMs:    max(left.Milliseconds(), 1),
		Fingerprint: x.request.Keys.Fingerprint, PrefixKey: x.request.Keys.Prefix,
		Repeatable: x.request.Route.Repeatable, Streaming: x.request.Streaming,
		Method: x.request.Method, Path: x.request.Path, Headers: x.request.Header,
		BodyBytes:  int64(len(x.request.Body)),
		ResumeText: string(x.deliveredText), ResumePosition: resume,
		Isolated: t.isolated, Group: t.group.toProto(),
	}
	if len(x.request.Body) <= sidecar.InlineBodyBytes {
		o.Body = x.request.Body
	}
	return o
}

func (s *attemptState) receive(ctx context.Context) (Result, *verdict.Error) {
	for {
		event, err := s.stream.Recv()
		if err != nil {
			return Result{}, s.handleStreamError(ctx, asVerdictError(err))
		}
		s.sidecarIncarnation = event.GetSender().GetIncarnation()
		s.execution.dispatcher.config.Control.EndpointResponded(s.target.endpoint)
		if event.GetRequestId() != s.execution.request.ID || event.GetAttempt() != s.number {
			s.execution.dispatcher.metrics.countDroppedChunk(assembly.DropOtherRequest)
			continue
		}
		done, failure := s.handleEvent(ctx, event)
		if failure != nil {
			return Result{}, failure
		}
		if done {
			final, _ := s.execution.assembler.Result()
			return Result{FinishReason: final.FinishReason, PromptTokens: final.PromptTokens, OutputTokens: final.OutputTokens}, nil
		}
	}
}

// releaseGroup releases the holds of a failed attempt. If a member was lost, it
// excludes the member from further attempts and sets the failure's reason.
func (s *attemptState) releaseGroup(failure *verdict.Error) {
	s.target.group.release(s.execution.dispatcher.config.Client)
	if lost := s.renewal.stop(); lost != "" {
		failure.Reason = verdict.ReasonGroupMemberLost
		s.execution.failedEndpoints = append(s.execution.failedEndpoints, lost)
	}
}

func (s *attemptState) handleEvent(ctx context.Context, event *pb.AttemptEvent) (done bool, failure *verdict.Error) {
	switch kind := event.GetKind().(type) {
	case *pb.AttemptEvent_Refused:
		r := kind.Refused
		return false, s.handleSidecarFailure(r.GetVerdict(), r.GetReason(), r.GetMessage(), r.GetRetryAfterMs(), r.GetSuspects())
	case *pb.AttemptEvent_Failed:
		f := kind.Failed
		return false, s.handleSidecarFailure(f.GetVerdict(), f.GetReason(), f.GetMessage(), 0, f.GetSuspects())
	case *pb.AttemptEvent_Admitted:
		return false, s.handleAdmitted(kind.Admitted)
	case *pb.AttemptEvent_Chunk:
		failure = s.handleChunk(ctx, kind.Chunk)
	case *pb.AttemptEvent_Final:
		failure = s.handleFinal(kind.Final)
	}
	return s.execution.assembler.IsComplete(), failure
}

// handleSidecarFailure converts a refusal or failure from the sidecar into an error. It
// also records the reported crash suspects and a crash of the endpoint's engine. The
// verdict not_run is invalid once the sidecar has sent part of the response.
func (s *attemptState) handleSidecarFailure(v, reason, message string, retryAfterMs int64, list []*pb.Suspect) *verdict.Error {
	s.execution.dispatcher.config.Suspects.MergeReports("", list)
	if verdict.Reason(reason) == verdict.ReasonEngineFailed && verdict.Parse(v) != verdict.NotRun {
		s.execution.dispatcher.config.Suspects.RecordCrashedEndpoint(s.execution.request.Keys.Fingerprint, s.target.endpoint.Name)
	}
	e := verdict.New(verdict.Parse(v), verdict.Reason(reason), "endpoint %s: %s", s.target.endpoint.Name, message)
	e.RetryAfter = time.Duration(max(retryAfterMs, 0)) * time.Millisecond
	ok := e.Verdict != verdict.NotRun || !s.chunkReceived
	if !s.execution.dispatcher.config.Invariants.Check(ok, invariant.NotRunVerdict, "endpoint %s refused request %s as not_run after a chunk", s.target.endpoint.Name, s.execution.request.ID) {
		e.Verdict = verdict.MayHaveRun
	}
	return e
}

// handleAdmitted sends the messages that the sidecar expects after admission: a body too
// large for the offer, and Start if required.
func (s *attemptState) handleAdmitted(a *pb.Admitted) *verdict.Error {
	if s.admitted {
		return nil
	}
	s.admitted = true
	s.execution.objectives.admitted = true
	if s.renewal.stop() != "" {
		// The attempt has been cancelled because a member was lost. The verdict in
		// the sidecar's next event states whether the request may have run.
		return nil
	}
	if a.GetStartRequired() && !time.Now().Before(s.execution.request.Deadline) {
		// A gateway process that was paused may read the admission after the
		// deadline. The call does not run without the Start message.
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineExceeded, "the deadline passed before the call was started")
	}
	if len(s.execution.request.Body) > sidecar.InlineBodyBytes {
		if err := s.stream.SendBody(s.execution.request.Body); err != nil {
			return asVerdictError(err)
		}
	}
	if a.GetStartRequired() {
		if err := s.stream.Start(); err != nil {
			return asVerdictError(err)
		}
	}
	return nil
}

func (s *attemptState) handleChunk(ctx context.Context, c *pb.Chunk) *verdict.Error {
	s.chunkReceived = true
	x := s.execution
	ready, drop, err := x.assembler.Accept(assembly.Chunk{
		RequestID: x.request.ID, Attempt: s.number, Position: c.GetPosition(), Data: c.GetData(), Tokens: c.GetTokens(),
	})
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "endpoint %s broke the stream order", s.target.endpoint.Name).WithCause(err)
	}
	if drop != assembly.DropNone {
		x.dispatcher.metrics.countDroppedChunk(drop)
		return nil
	}
	for _, chunk := range ready {
		if failure := x.deliver(ctx, chunk, c); failure != nil {
			return failure
		}
	}
	return nil
}

// deliver passes one chunk to the sink. The message is the one that made the
// chunk deliverable; it holds the status and headers of a plain service's
// response only if it is itself the first chunk.
func (x *execution) deliver(ctx context.Context, chunk assembly.Chunk, message *pb.Chunk) *verdict.Error {
	ok := chunk.Position == x.deliveredChunks && chunk.RequestID == x.request.ID
	if !x.dispatcher.config.Invariants.Check(ok, invariant.StreamIdentity, "request %s would receive chunk %d of request %s, expected chunk %d", x.request.ID, chunk.Position, chunk.RequestID, x.deliveredChunks) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "the answer is out of order")
	}
	if !x.firstTokenRecorded {
		x.firstTokenRecorded = true
		x.dispatcher.metrics.firstToken.RecordDuration(time.Since(x.started))
	}
	x.objectives.recordChunk(time.Now(), chunk.Tokens)
	part := ResponsePart{Data: chunk.Data}
	if chunk.Position == 0 && message.GetPosition() == 0 {
		part.Status, part.Header = int(message.GetHttpStatus()), message.GetHeaders()
	}
	if err := x.sink.Deliver(part); err != nil {
		if failure := (*verdict.Error)(nil); errors.As(err, &failure) {
			return failure
		}
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "the caller stopped reading").WithCause(err)
	}
	x.deliveredChunks++
	if x.request.Route.Model != "" {
		x.deliveredText = append(x.deliveredText, chunk.Data...)
	}
	return nil
}

func (s *attemptState) handleFinal(f *pb.Final) *verdict.Error {
	_, err := s.execution.assembler.AcceptFinal(assembly.Final{
		RequestID: s.execution.request.ID, Attempt: s.number, Chunks: f.GetChunks(),
		FinishReason: f.GetFinishReason(), PromptTokens: f.GetPromptTokens(), OutputTokens: f.GetOutputTokens(),
	})
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "endpoint %s broke the stream order", s.target.endpoint.Name).WithCause(err)
	}
	return nil
}

// handleStreamError handles a stream that ended before the response was
// complete. If the sidecar was lost while it ran the request, the request gets a
// strike as a crash suspect.
func (s *attemptState) handleStreamError(ctx context.Context, failure *verdict.Error) *verdict.Error {
	if ctx.Err() != nil {
		return failure.WithCause(fmt.Errorf("%w: %w", context.Cause(ctx), failure.Err))
	}
	if !s.stream.SidecarLost(failure) {
		return failure
	}
	s.execution.dispatcher.config.Control.EndpointUnreachable(ctx, s.target.endpoint)
	if s.admitted || s.chunkReceived {
		s.execution.dispatcher.config.Suspects.AddStrike(s.execution.request.Keys.Fingerprint, suspects.Crash{
			Endpoint: s.target.endpoint.Name, Incarnation: s.sidecarIncarnation, Isolated: s.target.isolated,
		})
	}
	return failure
}
