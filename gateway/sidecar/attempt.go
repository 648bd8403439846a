package sidecar

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinstand.example/coord/verdict"
	pb "siskinstand.example/peerpb"
)

// InlineBodyBytes is the largest body sent with the offer. A larger body is sent
// after admission, so that a waiting prompt is only in memory once.
const InlineBodyBytes = 64 << 10

// bodyPartBytes is the size of the parts in which a larger body is sent.
const bodyPartBytes = 256 << 10

// Client opens attempts, control streams and holds on sidecars.
type Client struct {
	connections *ConnectionPool
	sender      func() *pb.Sender
}

// NewClient returns a client that sets the sender of its messages to sender().
func NewClient(c *ConnectionPool, sender func() *pb.Sender) *Client {
	return &Client{connections: c, sender: sender}
}

// Attempt is an open attempt stream. Recv must be called from a single goroutine.
// While it is not called, gRPC flow control limits what the sidecar can send.
type Attempt struct {
	endpoint      *Endpoint
	stream        pb.Sidecar_AttemptClient
	release       func()
	cancel        context.CancelFunc
	stopLostWatch func() bool
}

// OpenAttempt opens a stream to the endpoint's sidecar and sends the offer. If the
// error has the verdict not_run, nothing was sent.
func (c *Client) OpenAttempt(ctx context.Context, e *Endpoint, offer *pb.Offer) (*Attempt, error) {
	conn, release, err := c.connections.Get(ctx, e.Address)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "endpoint %s is unreachable", e.Name).WithCause(err)
	}
	streamCtx, cancel := context.WithCancel(ctx)
	a := &Attempt{endpoint: e, release: release, cancel: cancel, stopLostWatch: context.AfterFunc(e.lost, cancel)}
	a.stream, err = pb.NewSidecarClient(conn).Attempt(streamCtx)
	if err != nil {
		a.Close()
		return nil, verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "endpoint %s is unreachable", e.Name).WithCause(err)
	}
	offer.Sender = c.sender()
	e.AddUnreportedTokens(offer.GetPromptTokens())
	if err := a.send(&pb.AttemptRequest{Kind: &pb.AttemptRequest_Offer{Offer: offer}}); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// Recv returns the next event. Errors have the verdict may_have_run, because it is
// unknown what the sidecar did with the offer before the stream failed.
func (a *Attempt) Recv() (*pb.AttemptEvent, error) {
	event, err := a.stream.Recv()
	if err != nil {
		return nil, a.connectionError(err)
	}
	a.endpoint.RecordLoad(event.GetLoad(), time.Now())
	return event, nil
}

// SendBody sends a body that is too large for the offer.
func (a *Attempt) SendBody(body []byte) error {
	for {
		part := body[:min(len(body), bodyPartBytes)]
		body = body[len(part):]
		message := &pb.Body{Data: part, Last: len(body) == 0}
		if err := a.send(&pb.AttemptRequest{Kind: &pb.AttemptRequest_Body{Body: message}}); err != nil {
			return err
		}
		if len(body) == 0 {
			return nil
		}
	}
}

// Start tells the sidecar to dispatch the request.
func (a *Attempt) Start() error {
	return a.send(&pb.AttemptRequest{Kind: &pb.AttemptRequest_Start{Start: &pb.Start{}}})
}

// Cancel asks the sidecar to end the attempt.
func (a *Attempt) Cancel(reason string) {
	_ = a.send(&pb.AttemptRequest{Kind: &pb.AttemptRequest_Cancel{Cancel: &pb.Cancel{Reason: reason}}})
}

// Close closes the stream. The sidecar cancels an unfinished attempt.
func (a *Attempt) Close() {
	a.stopLostWatch()
	a.cancel()
	a.release()
}

// SidecarLost reports whether err was caused by the loss of the sidecar or its
// connection, rather than by a failure of this stream alone.
func (a *Attempt) SidecarLost(err error) bool {
	return a.endpoint.lost.Err() != nil || status.Code(errors.Unwrap(err)) == codes.Unavailable
}

// CloseAfter cancels the stream if it has not ended within d.
func (a *Attempt) CloseAfter(d time.Duration) { time.AfterFunc(d, a.cancel) }

func (a *Attempt) send(m *pb.AttemptRequest) error {
	err := a.stream.Send(m)
	// After EOF, Recv returns the reason why the stream ended, which may be a
	// refusal by the sidecar.
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	return a.connectionError(err)
}

func (a *Attempt) connectionError(err error) error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "connection to endpoint %s broke", a.endpoint.Name).WithCause(err)
}
