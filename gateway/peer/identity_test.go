package peer

import (
	"testing"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/gossip"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/gateway/kvstore"
)

func hasAlarm(n *Node, name kvstore.AlarmName) bool {
	for _, a := range n.Alarms.List() {
		if a.Name == name {
			return true
		}
	}
	return false
}

// Guards against a gateway that calls itself because the host list has its
// address under another name.
func TestOwnAddressIsNoPeer(t *testing.T) {
	n := New(Config{ID: "a", Address: "127.0.0.1:1"})
	other := gossip.Peer{ID: "b", Address: "127.0.0.1:2"}
	if list := n.others([]gossip.Peer{{ID: "c", Address: "127.0.0.1:1"}, other}); len(list) != 1 || list[0] != other || !hasAlarm(n, kvstore.AlarmGatewayIdentity) {
		t.Errorf("peers %v, alarms %v", list, n.Alarms.List())
	}
	if list := n.others([]gossip.Peer{{ID: "a", Address: "127.0.0.1:1"}, other}); len(list) != 1 || hasAlarm(n, kvstore.AlarmGatewayIdentity) {
		t.Errorf("peers %v, alarms %v", list, n.Alarms.List())
	}
}

// Guards against a gateway that exchanges with itself because it listens on
// another address than the listed one and has another name in the host list.
func TestNoExchangeWithItself(t *testing.T) {
	f := &fleet{invariants: invariant.NewRegistry(nil)}
	n := New(Config{ID: "a", Address: "0.0.0.0:1", Zone: "z", InForce: config.NewActive(f.invariants), TryBecomeReader: func() {}, DialOptions: plain})
	n.Peers = func() []gossip.Peer {
		list := f.list()
		for i := range list {
			list[i].ID = "other-name"
		}
		return list
	}
	m := f.serve(t, n)
	for deadline := time.Now().Add(15 * time.Second); !hasAlarm(n, kvstore.AlarmGatewayIdentity) || len(*m.peers.Load()) != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("peers %v, alarms %v", *m.peers.Load(), m.Alarms.List())
		}
	}
	if _, met := m.seen.get("other-name"); met {
		t.Error("the gateway exchanged with itself")
	}
}
