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
	// budgetMargin is kept back from the budget of an offer, so that the
	// sidecar's accurate refusal arrives before the caller's deadline.
	budgetMargin = 50 * time.Millisecond
	// budgetMarginShare bounds the margin of short deadlines to a twentieth.
	budgetMarginShare = 20
)

// attemptState is one attempt between its offer and its end.
type attemptState struct {
	x        *execution
	target   target
	number   uint32
	stream   *sidecar.Attempt
	renewal  *renewal
	admitted bool
	received bool
	// process is the incarnation of the sidecar that answered.
	process uint64
}

// attempt sends one offer and carries its answer.
func (x *execution) attempt(ctx context.Context, t target) (Result, *verdict.Error) {
	x.offers++
	x.d.metrics.attempts.Inc(1)
	ok := x.r.Route.Repeatable || !x.mayHaveRun
	if !x.d.config.Invariants.Check(ok, invariant.AtMostOnce, "request %s was to be sent again after it may have run", x.r.ID) {
		return Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "the call may have run")
	}
	if failure := x.acquire(ctx, t.group); failure != nil {
		return Result{}, failure
	}
	s := &attemptState{x: x, target: t}
	number, resume := x.assembler.BeginAttempt()
	s.number = number
	if resume > 0 {
		x.d.metrics.resumed.Inc(1)
	}
	var err error
	s.stream, err = x.d.config.Client.OpenAttempt(ctx, t.endpoint, x.offer(t, number, resume))
	if err != nil {
		if ctx.Err() == nil {
			x.d.config.Control.EndpointUnreachable(ctx, t.endpoint)
		}
		t.group.release(x.d.config.Client)
		return Result{}, asFailure(err)
	}
	defer s.stream.Close()
	s.renewal = t.group.renew(ctx, x.d.config.Client, s.stream)
	defer s.renewal.stop()
	result, failure := s.receive(ctx)
	s.log(failure)
	if failure != nil {
		s.endGroup(failure)
	}
	return result, failure
}

func (x *execution) offer(t target, number uint32, resume int64) *pb.Offer {
	left := time.Until(x.r.Deadline)
	left -= min(budgetMargin, left/budgetMarginShare)
	o := &pb.Offer{
		RequestId: x.r.ID, Attempt: number, Endpoint: t.endpoint.Name,
		Account: x.r.Account.Name, AccountWeight: x.r.Account.Weight,
		Pool: x.r.Pool.Name, Model: x.r.Route.Model,
		PromptTokens: x.r.PromptTokens, MaxOutputTokens: x.r.MaxOutputTokens,
		BudgetMs:    max(left.Milliseconds(), 1),
		Fingerprint: x.r.Keys.Fingerprint, PrefixKey: x.r.Keys.Prefix,
		Repeatable: x.r.Route.Repeatable, Streaming: x.r.Streaming,
		Method: x.r.Method, Path: x.r.Path, Headers: x.r.Header,
		BodyBytes:  int64(len(x.r.Body)),
		ResumeText: string(x.text), ResumePosition: resume,
		Isolated: t.isolated, Group: t.group.message(),
	}
	if len(x.r.Body) <= sidecar.InlineBodyBytes {
		o.Body = x.r.Body
	}
	return o
}

func (s *attemptState) receive(ctx context.Context) (Result, *verdict.Error) {
	for {
		event, err := s.stream.Recv()
		if err != nil {
			return Result{}, s.broken(ctx, asFailure(err))
		}
		s.process = event.GetSender().GetIncarnation()
		s.x.d.config.Control.EndpointResponded(s.target.endpoint)
		if event.GetRequestId() != s.x.r.ID || event.GetAttempt() != s.number {
			s.x.d.metrics.dropped(assembly.DropOtherRequest)
			continue
		}
		done, failure := s.handle(ctx, event)
		if failure != nil {
			return Result{}, failure
		}
		if done {
			final, _ := s.x.assembler.Result()
			return Result{FinishReason: final.FinishReason, PromptTokens: final.PromptTokens, OutputTokens: final.OutputTokens}, nil
		}
	}
}

// endGroup gives up the holds of a failed attempt and notes a lost member.
func (s *attemptState) endGroup(failure *verdict.Error) {
	s.target.group.release(s.x.d.config.Client)
	if !s.renewal.stop() {
		failure.Reason = verdict.ReasonGroupMemberLost
		s.x.skip = append(s.x.skip, s.renewal.lost)
	}
}

func (s *attemptState) handle(ctx context.Context, event *pb.AttemptEvent) (done bool, failure *verdict.Error) {
	switch kind := event.GetKind().(type) {
	case *pb.AttemptEvent_Refused:
		r := kind.Refused
		return false, s.failed(r.GetVerdict(), r.GetReason(), r.GetMessage(), r.GetRetryAfterMs(), r.GetSuspects())
	case *pb.AttemptEvent_Failed:
		f := kind.Failed
		return false, s.failed(f.GetVerdict(), f.GetReason(), f.GetMessage(), 0, f.GetSuspects())
	case *pb.AttemptEvent_Admitted:
		return false, s.admit(kind.Admitted)
	case *pb.AttemptEvent_Chunk:
		failure = s.chunk(ctx, kind.Chunk)
	case *pb.AttemptEvent_Final:
		failure = s.final(kind.Final)
	}
	return s.x.assembler.Complete(), failure
}

// failed turns the sidecar's refusal or failure into an error. A sidecar that
// has sent a part of the answer cannot say that the request did not run.
func (s *attemptState) failed(v, reason, message string, retryAfterMs int64, list []*pb.Suspect) *verdict.Error {
	s.x.d.config.Suspects.MergeReports("", list)
	if verdict.Reason(reason) == verdict.ReasonEngineFailed && verdict.Parse(v) != verdict.NotRun {
		s.x.d.config.Suspects.RecordCrashedEndpoint(s.x.r.Keys.Fingerprint, s.target.endpoint.Name)
	}
	e := verdict.New(verdict.Parse(v), verdict.Reason(reason), "endpoint %s: %s", s.target.endpoint.Name, message)
	e.RetryAfter = time.Duration(max(retryAfterMs, 0)) * time.Millisecond
	ok := e.Verdict != verdict.NotRun || !s.received
	if !s.x.d.config.Invariants.Check(ok, invariant.NotRunVerdict, "endpoint %s refused request %s as not_run after a chunk", s.target.endpoint.Name, s.x.r.ID) {
		e.Verdict = verdict.MayHaveRun
	}
	return e
}

// admit sends what the sidecar waits for after admission.
func (s *attemptState) admit(a *pb.Admitted) *verdict.Error {
	if s.admitted {
		return nil
	}
	s.admitted = true
	s.x.objectives.admitted = true
	if !s.renewal.stop() {
		// The cancellation of the group is on its way; the sidecar's answer
		// says whether the leader had started.
		return nil
	}
	if a.GetStartRequired() && !time.Now().Before(s.x.r.Deadline) {
		// A gateway that was paused reads the admission late. Nothing runs
		// without the Start message.
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineExceeded, "the deadline passed before the call was started")
	}
	if len(s.x.r.Body) > sidecar.InlineBodyBytes {
		if err := s.stream.SendBody(s.x.r.Body); err != nil {
			return asFailure(err)
		}
	}
	if a.GetStartRequired() {
		if err := s.stream.Start(); err != nil {
			return asFailure(err)
		}
	}
	return nil
}

func (s *attemptState) chunk(ctx context.Context, c *pb.Chunk) *verdict.Error {
	s.received = true
	x := s.x
	ready, drop, err := x.assembler.Accept(assembly.Chunk{
		RequestID: x.r.ID, Attempt: s.number, Position: c.GetPosition(), Data: c.GetData(), Tokens: c.GetTokens(),
	})
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "endpoint %s broke the stream order", s.target.endpoint.Name).WithCause(err)
	}
	if drop != assembly.DropNone {
		x.d.metrics.dropped(drop)
		return nil
	}
	for _, chunk := range ready {
		if failure := x.deliver(ctx, chunk, c); failure != nil {
			return failure
		}
	}
	return nil
}

// deliver hands one chunk to the caller. The message that completed the order
// carries the head of a plain service's answer only if it is the first one.
func (x *execution) deliver(ctx context.Context, chunk assembly.Chunk, message *pb.Chunk) *verdict.Error {
	ok := chunk.Position == x.delivered && chunk.RequestID == x.r.ID
	if !x.d.config.Invariants.Check(ok, invariant.StreamIdentity, "request %s was to get chunk %d of %s, expected %d", x.r.ID, chunk.Position, chunk.RequestID, x.delivered) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "the answer is out of order")
	}
	if !x.firstToken {
		x.firstToken = true
		x.d.metrics.firstToken.RecordDuration(time.Since(x.started))
	}
	x.objectives.chunk(time.Now(), chunk.Tokens)
	piece := ResponsePart{Data: chunk.Data}
	if chunk.Position == 0 && message.GetPosition() == 0 {
		piece.Status, piece.Header = int(message.GetHttpStatus()), message.GetHeaders()
	}
	if err := x.sink.Deliver(piece); err != nil {
		if failure := (*verdict.Error)(nil); errors.As(err, &failure) {
			return failure
		}
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "the caller stopped reading").WithCause(err)
	}
	x.delivered++
	if x.r.Route.Model != "" {
		x.text = append(x.text, chunk.Data...)
	}
	return nil
}

func (s *attemptState) final(f *pb.Final) *verdict.Error {
	_, err := s.x.assembler.AcceptFinal(assembly.Final{
		RequestID: s.x.r.ID, Attempt: s.number, Chunks: f.GetChunks(),
		FinishReason: f.GetFinishReason(), PromptTokens: f.GetPromptTokens(), OutputTokens: f.GetOutputTokens(),
	})
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "endpoint %s broke the stream order", s.target.endpoint.Name).WithCause(err)
	}
	return nil
}

// broken draws the conclusions from a stream that ended without an answer. A
// request that was running becomes a suspect if the sidecar was lost.
func (s *attemptState) broken(ctx context.Context, failure *verdict.Error) *verdict.Error {
	if ctx.Err() != nil {
		return failure.WithCause(fmt.Errorf("%w: %w", context.Cause(ctx), failure.Err))
	}
	if !s.stream.SidecarLost(failure) {
		return failure
	}
	s.x.d.config.Control.EndpointUnreachable(ctx, s.target.endpoint)
	if s.admitted || s.received {
		s.x.d.config.Suspects.AddStrike(s.x.r.Keys.Fingerprint, suspects.Crash{
			Endpoint: s.target.endpoint.Name, Incarnation: s.process, Isolated: s.target.isolated,
		})
	}
	return failure
}
