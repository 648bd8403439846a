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

// InlineBodyBytes is the largest body sent with the offer. A larger one is
// sent after admission, so that a waiting prompt is held in memory once.
const InlineBodyBytes = 64 << 10

// bodyPartBytes is the size of the messages that carry a larger body.
const bodyPartBytes = 256 << 10

// Client opens attempts, control streams and holds on sidecars.
type Client struct {
	connections *ConnectionPool
	sender      func() *pb.Sender
}

// NewClient returns a client that signs its messages with sender's result.
func NewClient(c *ConnectionPool, sender func() *pb.Sender) *Client {
	return &Client{connections: c, sender: sender}
}

// Attempt is one open attempt. It is used by one goroutine, whose reads give
// back-pressure to the sidecar through gRPC flow control.
type Attempt struct {
	endpoint *Endpoint
	stream   pb.Sidecar_AttemptClient
	release  func()
	cancel   context.CancelFunc
	stop     func() bool
}

// OpenAttempt sends the offer. If the error's verdict is not_run, nothing was sent.
func (c *Client) OpenAttempt(ctx context.Context, e *Endpoint, offer *pb.Offer) (*Attempt, error) {
	conn, release, err := c.connections.Get(ctx, e.Address)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "endpoint %s is unreachable", e.Name).WithCause(err)
	}
	streamCtx, cancel := context.WithCancel(ctx)
	a := &Attempt{endpoint: e, release: release, cancel: cancel, stop: context.AfterFunc(e.lost, cancel)}
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

// Recv returns the next event. An error carries the verdict may_have_run: a
// broken stream doesn't tell what the sidecar did with the offer.
func (a *Attempt) Recv() (*pb.AttemptEvent, error) {
	event, err := a.stream.Recv()
	if err != nil {
		return nil, a.broken(err)
	}
	a.endpoint.RecordLoad(event.GetLoad(), time.Now())
	return event, nil
}

// SendBody sends a body that was too large for the offer.
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

// Start lets the sidecar dispatch.
func (a *Attempt) Start() error {
	return a.send(&pb.AttemptRequest{Kind: &pb.AttemptRequest_Start{Start: &pb.Start{}}})
}

// Cancel asks the sidecar to end the attempt.
func (a *Attempt) Cancel(reason string) {
	_ = a.send(&pb.AttemptRequest{Kind: &pb.AttemptRequest_Cancel{Cancel: &pb.Cancel{Reason: reason}}})
}

// Close ends the stream; an unfinished attempt is cancelled at the sidecar.
func (a *Attempt) Close() {
	a.stop()
	a.cancel()
	a.release()
}

// SidecarLost reports whether the connection broke, not only this stream.
func (a *Attempt) SidecarLost(err error) bool {
	return a.endpoint.lost.Err() != nil || status.Code(errors.Unwrap(err)) == codes.Unavailable
}

// CloseAfter ends the stream if the sidecar doesn't do so within d.
func (a *Attempt) CloseAfter(d time.Duration) { time.AfterFunc(d, a.cancel) }

func (a *Attempt) send(m *pb.AttemptRequest) error {
	err := a.stream.Send(m)
	// After EOF, the reason why the stream ended comes from Recv, which may
	// still hold the sidecar's refusal.
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	return a.broken(err)
}

func (a *Attempt) broken(err error) error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "connection to endpoint %s broke", a.endpoint.Name).WithCause(err)
}
