package sidecar

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	pb "siskinstand.example/peerpb"
)

// ReportTimeout is the longest time without a report on a control stream. Reports
// come every 4 s, so this allows for two lost ones.
const ReportTimeout = 10 * time.Second

// ErrReportTimeout ends a control stream on which reports have stopped.
var ErrReportTimeout = eris.New("no report on the control stream")

// ControlStream is what a control stream sends and receives.
type ControlStream struct {
	Endpoint *Endpoint
	// Requests holds the latest slice and suspects to send.
	Requests <-chan *pb.ControlRequest
	// OnReport receives each report after its load was recorded.
	OnReport func(*pb.ControlReport)
}

// RunControlStream runs a control stream until it breaks, falls silent or ctx ends.
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
	silence := time.AfterFunc(ReportTimeout, func() { cancel(ErrReportTimeout) })
	defer silence.Stop()
	go c.sendControl(ctx, stream, s.Requests)
	for {
		report, err := stream.Recv()
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		if err != nil {
			return eris.Wrap(err, "control stream")
		}
		// A lagging host list can name an address that another endpoint has
		// taken over, whose state and load must not be mistaken for this one's.
		if name := report.GetEndpoint(); name != s.Endpoint.Name {
			return eris.Errorf("%s belongs to endpoint %q", s.Endpoint.Address, name)
		}
		silence.Reset(ReportTimeout)
		s.Endpoint.RecordLoad(report.GetLoad(), time.Now())
		s.OnReport(report)
	}
}

func (c *Client) sendControl(ctx context.Context, stream pb.Sidecar_ControlClient, requests <-chan *pb.ControlRequest) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-requests:
			request.Sender = c.sender()
			// A failed write also ends the reads, which report the error.
			if stream.Send(request) != nil {
				return
			}
		}
	}
}
