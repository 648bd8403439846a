package peer

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinstand.example/coord/gossip"
	"siskinstand.example/gateway/kvstore"
	"siskinstand.example/peerpb"
)

// selfAddressTTL is the time for which an address in a selfAddressSet is not
// contacted. It is limited because another host may take over the address.
const selfAddressTTL = time.Minute

// selfAddressSet holds addresses at which this gateway has reached itself or a
// process with the same identifier. Its own addresses cannot always be derived
// from the settings, for example if the gateway listens on all interfaces.
type selfAddressSet struct {
	mu            sync.Mutex
	excludedUntil map[string]time.Time
}

func (s *selfAddressSet) add(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.excludedUntil == nil {
		s.excludedUntil = map[string]time.Time{}
	}
	s.excludedUntil[address] = time.Now().Add(selfAddressTTL)
}

func (s *selfAddressSet) has(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.excludedUntil[address]
	if ok && time.Now().After(until) {
		delete(s.excludedUntil, address)
		return false
	}
	return ok
}

// otherGateways returns the gateways of the host list except this one. It raises
// AlarmGatewayIdentity if the host list has, under another name, this gateway or a
// process with the same identifier, and otherwise clears it.
func (n *Node) otherGateways(listed []gossip.Peer) []gossip.Peer {
	var list []gossip.Peer
	mismatch := ""
	for _, p := range listed {
		switch {
		case p.ID == n.ID:
		case p.Address == n.Address || n.selfAddresses.has(p.Address):
			mismatch = fmt.Sprintf("the host list names %s %q, its settings %q", p.Address, p.ID, n.ID)
		default:
			list = append(list, p)
		}
	}
	if mismatch != "" {
		n.Alarms.Raise(kvstore.AlarmGatewayIdentity, mismatch)
	} else {
		n.Alarms.Clear(kvstore.AlarmGatewayIdentity)
	}
	return list
}

// rejectOwnDigest returns AlreadyExists for a digest that carries this gateway's
// identifier, since its sender is this gateway or has the same identifier.
func (n *Node) rejectOwnDigest(d *peerpb.Digest) error {
	if d.GetSender().GetProcessId() != n.ID {
		return nil
	}
	return status.Errorf(codes.AlreadyExists, "the digest carries the identifier %q of the gateway that received it", n.ID)
}

// recordIfSelf excludes a peer's address from further exchanges if err shows
// that it belongs to this gateway or to a process with the same identifier.
func (n *Node) recordIfSelf(to gossip.Peer, err error) {
	if status.Code(err) == codes.AlreadyExists {
		n.selfAddresses.add(to.Address)
	}
}
