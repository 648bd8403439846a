package peer

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinstand.example/coord/gossip"
	"siskinstand.example/gateway/kvstore"
	"siskinstand.example/peerpb"
)

// exchange sends this gateway's digest to a peer, and applies the newer
// configuration and the suspects that the peer returns.
func (n *Node) exchange(ctx context.Context, to gossip.Peer) error {
	reader, age := n.currentHeartbeat()
	digest := &peerpb.Digest{Sender: n.sender(), ReaderHeartbeatAgeMs: age, ReaderProcessId: reader, Suspects: n.suspects()}
	var delta *peerpb.Delta
	err := n.clients.call(ctx, to.Address, exchangeTimeout, func(ctx context.Context, client peerpb.PeerClient) (err error) {
		delta, err = client.Exchange(ctx, digest)
		return err
	})
	if err != nil {
		n.recordIfSelf(to, err)
		return err
	}
	n.mergeSuspects(delta.GetSuspects())
	if err := n.applyDelta(ctx, to, delta); err != nil {
		return err
	}
	n.postUpdate(peerUpdate{
		from: to, revision: delta.GetSender().GetConfigRevision(),
		heartbeat: decodeHeartbeat(delta.GetReaderProcessId(), delta.GetReaderHeartbeatAgeMs()),
	})
	return nil
}

// applyDelta puts the peer's changes or its snapshot in force. If this build
// cannot read them, it raises an alarm and the configuration in force stays.
func (n *Node) applyDelta(ctx context.Context, from gossip.Peer, delta *peerpb.Delta) error {
	if delta.GetSnapshotNeeded() {
		return n.pullSnapshot(ctx, from)
	}
	if len(delta.GetChanges()) == 0 {
		return nil
	}
	_, err := n.ActiveConfig.Apply(decodeChanges(delta.GetChanges()))
	return n.updateConfigAlarm(err)
}

// updateConfigAlarm raises AlarmConfigUnreadable if err is not nil and clears it
// otherwise. It returns err.
func (n *Node) updateConfigAlarm(err error) error {
	if err != nil {
		n.Alarms.Raise(kvstore.AlarmConfigUnreadable, err.Error())
		return err
	}
	n.Alarms.Clear(kvstore.AlarmConfigUnreadable)
	return nil
}

func (n *Node) pullSnapshot(ctx context.Context, from gossip.Peer) error {
	conn, err := n.clients.get(from.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	stream, err := peerpb.NewPeerClient(conn).Snapshot(ctx, &peerpb.SnapshotRequest{Sender: n.sender()})
	if err != nil {
		return err
	}
	var assembler snapshotAssembler
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return eris.Wrap(err, "receive snapshot")
		}
		last, err := assembler.add(chunk)
		if err != nil {
			return err
		}
		if last {
			break
		}
	}
	next, err := assembler.document()
	if err := n.updateConfigAlarm(err); err != nil {
		return err
	}
	n.ActiveConfig.ActivateIfNewer(next)
	return nil
}

// Exchange answers a digest with the configuration changes that the sender lacks,
// or tells it to request a snapshot.
func (n *Node) Exchange(_ context.Context, d *peerpb.Digest) (*peerpb.Delta, error) {
	if err := n.rejectOwnDigest(d); err != nil {
		return nil, err
	}
	n.mergeSuspects(d.GetSuspects())
	revision := d.GetSender().GetConfigRevision()
	// The sender may be missing from this gateway's list of peers, for example while
	// the host list does not contain a new gateway yet. It still gets an answer, but
	// its revision and heartbeat are ignored, because its address is not known.
	if from, ok := (*n.peers.Load())[d.GetSender().GetProcessId()]; ok {
		n.postUpdate(peerUpdate{from: from, revision: revision, heartbeat: decodeHeartbeat(d.GetReaderProcessId(), d.GetReaderHeartbeatAgeMs())})
	}
	reader, age := n.currentHeartbeat()
	delta := &peerpb.Delta{Sender: n.sender(), ReaderHeartbeatAgeMs: age, ReaderProcessId: reader, Suspects: n.suspects()}
	changes, complete := n.ActiveConfig.ChangesSince(revision)
	encoded, fits := encodeChanges(changes)
	if !complete || !fits {
		delta.SnapshotNeeded = true
		return delta, nil
	}
	delta.Changes = encoded
	return delta, nil
}

// Snapshot sends the whole configuration in force.
func (n *Node) Snapshot(_ *peerpb.SnapshotRequest, stream peerpb.Peer_SnapshotServer) error {
	d := n.ActiveConfig.Document()
	if d.Revision() == 0 {
		return status.Error(codes.Unavailable, "no configuration is in force")
	}
	for _, chunk := range encodeSnapshot(n.sender(), d) {
		if err := stream.Send(chunk); err != nil {
			return err
		}
	}
	return nil
}
