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

// Guards against a gateway that contacts itself because the host list has its
// address under another name.
func TestOwnAddressIsNotAPeer(t *testing.T) {
	n := New(Config{ID: "a", Address: "127.0.0.1:1"})
	other := gossip.Peer{ID: "b", Address: "127.0.0.1:2"}
	if list := n.otherGateways([]gossip.Peer{{ID: "c", Address: "127.0.0.1:1"}, other}); len(list) != 1 || list[0] != other || !hasAlarm(n, kvstore.AlarmGatewayIdentity) {
		t.Errorf("peers %v, alarms %v, want only peer b and the alarm gateway_identity", list, n.Alarms.List())
	}
	if list := n.otherGateways([]gossip.Peer{{ID: "a", Address: "127.0.0.1:1"}, other}); len(list) != 1 || hasAlarm(n, kvstore.AlarmGatewayIdentity) {
		t.Errorf("peers %v, alarms %v, want only peer b and no alarm gateway_identity", list, n.Alarms.List())
	}
}

// Guards against a gateway that exchanges with itself because the host list has
// it under another name, at an address other than the one in its settings.
func TestNoExchangeWithSelf(t *testing.T) {
	cluster := &testCluster{invariants: invariant.NewRegistry(nil)}
	n := New(Config{ID: "a", Address: "0.0.0.0:1", Zone: "z", ActiveConfig: config.NewActive(cluster.invariants), TryBecomeReader: func() {}, DialOptions: insecureDial})
	n.ListGateways = func() []gossip.Peer {
		list := cluster.list()
		for i := range list {
			list[i].ID = "other-name"
		}
		return list
	}
	m := cluster.serve(t, n)
	for deadline := time.Now().Add(15 * time.Second); !hasAlarm(n, kvstore.AlarmGatewayIdentity) || len(*m.peers.Load()) != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("peers %v, alarms %v after 15 s, want no peers and the alarm gateway_identity", *m.peers.Load(), m.Alarms.List())
		}
	}
	if _, exchanged := m.contacts.get("other-name"); exchanged {
		t.Error("the gateway exchanged with itself")
	}
}
