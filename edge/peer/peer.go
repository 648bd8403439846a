package peer

import (
	"context"
	"errors"
	"net"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
)

// Config names this host.
type Config struct {
	Name    string
	Boot    int64
	Address string
}

// Sink takes the reports of other hosts.
type Sink interface {
	ReceiveReport(name string, boot int64, r placement.Report, s []suspect.Report)
}

// Socket sends and receives reports.
type Socket struct {
	config Config
	conn   *net.UDPConn
}

// Listen binds the address.
func Listen(c Config) (*Socket, error) {
	a, err := net.ResolveUDPAddr("udp4", c.Address)
	if err != nil {
		return nil, eris.Wrap(err, "address for peers")
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	return &Socket{config: c, conn: conn}, nil
}

// Send sends this host's report. A lost report is repaired by the next one.
func (s *Socket) Send(addresses []string, r placement.Report, suspects []suspect.Report) {
	data, err := Encode(Message{Name: s.config.Name, Boot: s.config.Boot, Report: r, Suspects: suspects})
	if err != nil {
		klog.ErrorS(err, "load report not sent")
		return
	}
	for _, address := range addresses {
		a, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = s.conn.WriteToUDP(data, a)
		}
		if err != nil {
			klog.V(1).InfoS("load report not sent", "peer_address", address, "err", err)
		}
	}
}

// Run receives reports until the context ends.
func (s *Socket) Run(ctx context.Context, sink Sink) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // the read below ends either way
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "receive from peers")
		}
		m, err := Decode(buffer[:n])
		if err != nil {
			klog.V(1).InfoS("load report ignored", "from", from.String(), "err", err)
			continue
		}
		sink.ReceiveReport(m.Name, m.Boot, m.Report, m.Suspects)
	}
}
