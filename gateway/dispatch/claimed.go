package dispatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/verdict"
	pb "siskinstand.example/peerpb"
	"siskinstand.example/service/logging"
)

const (
	// maxRecordedBytes is the largest response body stored with its claim.
	maxRecordedBytes = 4 << 10
	// claimUpdateTimeout limits the claim update after a call. The update is not
	// cancelled with the request, because the caller may have disconnected.
	claimUpdateTimeout = 3 * time.Second
	contentTypeHeader  = "Content-Type"
)

// runClaimed runs a non-repeatable call. The claim is written to the store
// before the call is dispatched.
func (d *Dispatcher) runClaimed(ctx context.Context, r *Request, sink Sink) (Result, error) {
	if r.IdempotencyKey == "" {
		return Result{}, verdict.New(verdict.NotRun, verdict.ReasonIdempotencyKeyRequired, "route %s needs the Idempotency-Key header", r.Route.Name)
	}
	key := claim.NewKey(r.Account.Name, r.Route.Name, r.IdempotencyKey)
	claimID := d.config.ProcessID + "/" + r.ID
	bodyHash := xxhash.Sum64(r.Body)
	record, err := d.config.Claims.Claim(ctx, key, claimID, bodyHash)
	if err != nil {
		refusal := verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "the claim for the call could not be stored").WithCause(err)
		return Result{}, refusal.WithRetryAfter(d.config.RetryAfter)
	}
	if record.State != claim.StateClaimed {
		return d.respondToDuplicate(record, bodyHash, sink)
	}
	recorder := &recordingSink{Sink: sink}
	result, err := d.execute(ctx, r, recorder)
	if err == nil {
		d.updateClaim(ctx, r, func(updateCtx context.Context) error {
			return d.config.Claims.Complete(updateCtx, key, claimID, recorder.result())
		})
		return result, nil
	}
	if verdict.FromError(err) == verdict.NotRun {
		d.updateClaim(ctx, r, func(updateCtx context.Context) error { return d.config.Claims.Release(updateCtx, key, claimID) })
	}
	return result, err
}

// updateClaim writes the outcome of a call to its claim. It stops waiting for the
// write when the request's deadline passes or the caller disconnects, so that a slow
// store does not delay the response any longer; the write continues in the
// background.
func (d *Dispatcher) updateClaim(ctx context.Context, r *Request, write func(context.Context) error) {
	updateCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimUpdateTimeout)
	done := make(chan struct{})
	d.claimUpdates.Go(func() {
		defer close(done)
		defer cancel()
		d.logClaimError(r, write(updateCtx))
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// AwaitClaimUpdates waits until the claim updates of all ended requests have ended or ctx
// is done. While ctx is not done, no request may be running.
func (d *Dispatcher) AwaitClaimUpdates(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.claimUpdates.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// respondToDuplicate responds to a request whose idempotency key has already been
// claimed, with the recorded result if there is one.
func (d *Dispatcher) respondToDuplicate(record claim.Record, bodyHash uint64, sink Sink) (Result, error) {
	switch {
	case record.State == claim.StateReleased:
		refusal := verdict.New(verdict.NotRun, verdict.ReasonDuplicateRequest, "the claim for the key was just released")
		return Result{}, refusal.WithRetryAfter(d.config.RetryAfter)
	case record.BodyHash != bodyHash:
		return Result{}, verdict.New(verdict.NotRun, verdict.ReasonIdempotencyKeyReused, "the Idempotency-Key was used for another body")
	case record.State != claim.StateDone:
		return Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "a call with the key was claimed by %s at %s and may have run", record.Holder, record.ClaimedAt.UTC().Format(time.RFC3339))
	case record.Result.Truncated:
		return Result{}, verdict.New(verdict.Ran, verdict.ReasonDuplicateRequest, "the call has run with status %d; its answer was too large to be recorded", record.Result.HTTPStatus)
	}
	part := ResponsePart{Data: record.Result.Body, Status: record.Result.HTTPStatus}
	if record.Result.ContentType != "" {
		part.Header = []*pb.Header{{Name: contentTypeHeader, Value: record.Result.ContentType}}
	}
	if err := sink.Deliver(part); err != nil {
		return Result{}, verdict.New(verdict.Ran, verdict.ReasonCancelled, "the caller stopped reading").WithCause(err)
	}
	return Result{}, nil
}

func (d *Dispatcher) logClaimError(r *Request, err error) {
	if err != nil {
		// Unless the write took effect, the claim remains in the store and a resent
		// call gets may_have_run.
		klog.ErrorS(err, "failed to update claim", logging.FieldRequestID, r.ID, logging.FieldAccount, r.Account.Name)
	}
}

// recordingSink records a response of up to maxRecordedBytes for its claim.
type recordingSink struct {
	Sink
	recorded claim.Result
}

// Deliver records the part and passes it to the underlying sink.
func (s *recordingSink) Deliver(p ResponsePart) error {
	if p.Status != 0 {
		s.recorded.HTTPStatus = p.Status
		for _, h := range p.Header {
			if h.GetName() == contentTypeHeader {
				s.recorded.ContentType = h.GetValue()
			}
		}
	}
	if len(s.recorded.Body)+len(p.Data) > maxRecordedBytes {
		s.recorded.Truncated = true
	} else if !s.recorded.Truncated {
		s.recorded.Body = append(s.recorded.Body, p.Data...)
	}
	return s.Sink.Deliver(p)
}

func (s *recordingSink) result() claim.Result {
	if s.recorded.Truncated {
		s.recorded.Body = nil
	}
	return s.recorded
}
