package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Config identifies this host. Incarnation distinguishes successive processes of the same
// name.
type Config struct {
	Name        string
	Incarnation int64
	Address     string
}

// Sink receives the reports of other hosts.
type Sink interface {
	ReceiveReport(m Message)
}

// Recipients are the addresses to which a report goes.
type Recipients struct {
	// Direct are the hosts that get the report from this host.
	Direct []string
	// Forwarders are hosts of other availability zones, one for each, that send the report
	// to the other hosts of their zone. Bytes between zones are expensive.
	Forwarders []string
}

// Socket sends and receives load reports over UDP.
type Socket struct {
	config   Config
	conn     *net.UDPConn
	sequence uint32
	// neighbors holds the other hosts of this host's availability zone, to which it forwards
	// reports from other zones.
	neighbors atomic.Pointer[[]netip.AddrPort]
}

// Listen opens the UDP socket on Config.Address.
func Listen(c Config) (*Socket, error) {
	a, err := net.ResolveUDPAddr("udp4", c.Address)
	if err != nil {
		return nil, eris.Wrap(err, "resolve UDP address for peers")
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, eris.Wrap(err, "listen on UDP address for peers")
	}
	return &Socket{config: c, conn: conn}, nil
}

// SetNeighbors replaces the addresses of the other hosts of this host's availability zone.
func (s *Socket) SetNeighbors(addresses []string) {
	list := parseAddresses(addresses)
	s.neighbors.Store(&list)
}

func parseAddresses(addresses []string) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			klog.V(1).InfoS("load report not sent", "peer_address", address, "err", err)
			continue
		}
		list = append(list, a)
	}
	return list
}

// Send sends this host's report; it sets the fields that identify the host. Lost reports are not resent; the next full report makes up
// for them. It must not be called concurrently.
func (s *Socket) Send(to Recipients, m Message) {
	s.sequence++
	m.Name, m.Incarnation, m.Sequence = s.config.Name, s.config.Incarnation, s.sequence
	data, err := Encode(m)
	if err != nil {
		klog.ErrorS(err, "load report not sent")
		return
	}
	s.write(data, parseAddresses(to.Direct))
	data[forwardOffset] = 1
	s.write(data, parseAddresses(to.Forwarders))
}

func (s *Socket) write(data []byte, addresses []netip.AddrPort) {
	for _, a := range addresses {
		if _, err := s.conn.WriteToUDPAddrPort(data, a); err != nil {
			klog.V(1).InfoS("load report not sent", "peer_address", a, "err", err)
		}
	}
}

// forward sends a report from another availability zone to the other hosts of this zone.
func (s *Socket) forward(data []byte) {
	neighbors := s.neighbors.Load()
	if neighbors == nil {
		return
	}
	data[forwardOffset] = 0
	s.write(data, *neighbors)
}

const (
	// receiveRetryInterval is the time from an error to the next read, and maxReceiveFailures the
	// number of consecutive errors after which the socket counts as broken.
	receiveRetryInterval = 50 * time.Millisecond
	maxReceiveFailures   = 20
)

// Run receives reports until the context ends. An error of one read does not end it: the process
// would end with it, and all requests of callers.
func (s *Socket) Run(ctx context.Context, sink Sink) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // the read below returns in any case
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	failures := 0
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if failures++; failures >= maxReceiveFailures {
				return eris.Wrap(err, "receive load report")
			}
			klog.ErrorS(err, "load report not received", "failures", failures)
			time.Sleep(receiveRetryInterval)
			continue
		}
		failures = 0
		m, err := Decode(buffer[:n])
		if err != nil {
			klog.V(1).InfoS("load report ignored", "from", from.String(), "err", err)
			continue
		}
		if m.Forward {
			s.forward(buffer[:n])
		}
		sink.ReceiveReport(m)
	}
}
