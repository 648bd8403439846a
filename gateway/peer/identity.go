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

// ownExpiry is the time after which an address that answered with this
// gateway's identifier is tried again, because another host may have taken it
// over.
const ownExpiry = time.Minute

// ownAddresses are addresses that answered with this gateway's identifier. It
// finds those that the settings cannot tell, such as of a listener on all
// interfaces.
type ownAddresses struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (o *ownAddresses) add(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.until == nil {
		o.until = map[string]time.Time{}
	}
	o.until[address] = time.Now().Add(ownExpiry)
}

func (o *ownAddresses) has(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, ok := o.until[address]
	if ok && time.Now().After(until) {
		delete(o.until, address)
		return false
	}
	return ok
}

// others returns the gateways of the host list without this one, which it may
// list under another name than the settings do. That raises an alarm.
func (n *Node) others(listed []gossip.Peer) []gossip.Peer {
	var list []gossip.Peer
	mistake := ""
	for _, p := range listed {
		switch {
		case p.ID == n.ID:
		case p.Address == n.Address || n.own.has(p.Address):
			mistake = fmt.Sprintf("the host list names %s %q, its settings %q", p.Address, p.ID, n.ID)
		default:
			list = append(list, p)
		}
	}
	if mistake != "" {
		n.Alarms.Raise(kvstore.AlarmGatewayIdentity, mistake)
	} else {
		n.Alarms.Clear(kvstore.AlarmGatewayIdentity)
	}
	return list
}

// refuseOwn refuses a digest that carries this gateway's identifier.
func (n *Node) refuseOwn(d *peerpb.Digest) error {
	if d.GetSender().GetProcessId() != n.ID {
		return nil
	}
	return status.Errorf(codes.AlreadyExists, "the digest carries the identifier %q of the gateway that received it", n.ID)
}

// noteOwn excludes an address that refused a digest as its own.
func (n *Node) noteOwn(to gossip.Peer, err error) {
	if status.Code(err) == codes.AlreadyExists {
		n.own.add(to.Address)
	}
}
