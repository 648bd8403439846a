package grpcserver

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/peerpb"
	"siskinstand.example/service/logging"
	"siskinstand.example/sidecar/control"
)

func offerFromProto(o *peerpb.Offer, own *peerpb.GroupMember, deadline time.Time) control.Offer {
	offer := control.Offer{
		RequestID: o.RequestId, AttemptNumber: o.Attempt, Account: o.Account, Weight: o.AccountWeight,
		PromptTokens: o.PromptTokens, MaxOutputTokens: o.MaxOutputTokens, Deadline: deadline,
		Fingerprint: o.Fingerprint, Repeatable: o.Repeatable, Isolated: o.Isolated,
		BodyFollows: int64(len(o.Body)) < o.BodyBytes, Revision: o.GetSender().GetConfigRevision(),
	}
	if own != nil {
		offer.HoldID = own.HoldId
	}
	return offer
}

func asVerdictError(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "engine failed").WithCause(err)
}

// requestVerbosity is the log verbosity at which the outcome of every attempt is
// logged.
const requestVerbosity = 2

func (a *attempt) log(message string, fields ...any) {
	if !klog.V(requestVerbosity).Enabled() {
		return
	}
	klog.InfoS(message, append([]any{
		logging.FieldRequestID, a.offer.GetRequestId(), logging.FieldAttempt, a.offer.GetAttempt(), logging.FieldAccount, a.offer.GetAccount(),
	}, fields...)...)
}

func (a *attempt) newEvent() *peerpb.AttemptEvent {
	return &peerpb.AttemptEvent{
		Sender: a.server.sender(), Load: loadToProto(a.server.config.Loop.Snapshot()),
		RequestId: a.offer.GetRequestId(), Attempt: a.offer.GetAttempt(),
	}
}

func (a *attempt) sendRefused(e *verdict.Error, suspects []suspect.Report) error {
	a.log("attempt refused", logging.FieldVerdict, e.Verdict, logging.FieldReason, e.Reason, "message", e.Message)
	event := a.newEvent()
	event.Kind = &peerpb.AttemptEvent_Refused{Refused: &peerpb.Refused{
		Verdict: string(e.Verdict), Reason: string(e.Reason), Message: e.Message, RetryAfterMs: e.RetryAfter.Milliseconds(),
		Suspects: suspectReportsToProto(suspects),
	}}
	return a.stream.Send(event)
}

func (a *attempt) sendAdmitted() error {
	event := a.newEvent()
	event.Kind = &peerpb.AttemptEvent_Admitted{Admitted: &peerpb.Admitted{
		PromptTokens: a.offer.PromptTokens, StartRequired: a.loopAttempt.Offer.StartRequired(),
	}}
	return a.stream.Send(event)
}

func (a *attempt) sendChunk(c engine.Chunk) error {
	chunk := &peerpb.Chunk{Position: a.offer.ResumePosition + a.chunksSent, Data: c.Data, Tokens: c.Tokens, HttpStatus: int32(c.HTTPStatus)}
	for _, h := range c.Header {
		chunk.Headers = append(chunk.Headers, &peerpb.Header{Name: h.Name, Value: h.Value})
	}
	a.chunksSent++
	event := a.newEvent()
	event.Kind = &peerpb.AttemptEvent_Chunk{Chunk: chunk}
	return a.stream.Send(event)
}

func (a *attempt) sendFinal(r engine.Result) error {
	a.log("attempt answered", "chunks", a.chunksSent)
	event := a.newEvent()
	event.Kind = &peerpb.AttemptEvent_Final{Final: &peerpb.Final{
		FinishReason: r.FinishReason, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Chunks: a.offer.ResumePosition + a.chunksSent,
	}}
	return a.stream.Send(event)
}

func (a *attempt) sendFailed(err error, suspects []suspect.Report) error {
	e := asVerdictError(err)
	a.log("attempt failed", logging.FieldVerdict, e.Verdict, logging.FieldReason, e.Reason, "message", e.Message)
	event := a.newEvent()
	event.Kind = &peerpb.AttemptEvent_Failed{Failed: &peerpb.Failed{
		Verdict: string(e.Verdict), Reason: string(e.Reason), Message: e.Message,
		Suspects: suspectReportsToProto(suspects),
	}}
	return a.stream.Send(event)
}
