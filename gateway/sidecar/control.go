package sidecar

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	pb "siskinstand.example/peerpb"
)

// ReportTimeout is the time without a report after which a control stream ends.
// A sidecar sends a report at least every 4 s, so a stream ends when two reports
// in a row are missing.
const ReportTimeout = 10 * time.Second

// ErrReportTimeout is returned for a control stream that received no report within
// ReportTimeout.
var ErrReportTimeout = eris.New("no report on the control stream")

// ControlStream configures a control stream.
type ControlStream struct {
	Endpoint *Endpoint
	// Requests delivers the requests to send, each with a slice and suspects.
	Requests <-chan *pb.ControlRequest
	// OnReport is called for each report, after its load has been recorded.
	OnReport func(*pb.ControlReport)
}

// RunControlStream runs a control stream until it breaks, no report arrives within
// ReportTimeout, a report names another endpoint, or ctx is done.
func (c *Client) RunControlStream(ctx context.Context, s ControlStream) error {
	conn, release, err := c.connections.Get(ctx, s.Endpoint.Address)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := pb.NewSidecarClient(conn).Control(ctx)
	if err != nil {
		return eris.Wrap(err, "open control stream")
	}
	reportTimer := time.AfterFunc(ReportTimeout, func() { cancel(ErrReportTimeout) })
	defer reportTimer.Stop()
	go c.sendControlRequests(ctx, stream, s.Requests)
	for {
		report, err := stream.Recv()
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		if err != nil {
			return eris.Wrap(err, "control stream")
		}
		// An outdated host list can contain an address that another endpoint now
		// uses. Its state and load must not be attributed to this endpoint.
		if name := report.GetEndpoint(); name != s.Endpoint.Name {
			return eris.Errorf("%s belongs to endpoint %q", s.Endpoint.Address, name)
		}
		reportTimer.Reset(ReportTimeout)
		s.Endpoint.RecordLoad(report.GetLoad(), time.Now())
		s.OnReport(report)
	}
}

func (c *Client) sendControlRequests(ctx context.Context, stream pb.Sidecar_ControlClient, requests <-chan *pb.ControlRequest) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-requests:
			request.Sender = c.sender()
			// A failed write also ends the receive loop, which returns the error.
			if stream.Send(request) != nil {
				return
			}
		}
	}
}
