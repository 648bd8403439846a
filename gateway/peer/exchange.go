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

// exchange sends the own digest and takes what the peer has beyond it.
func (n *Node) exchange(ctx context.Context, to gossip.Peer) error {
	client, err := n.clients.get(to.Address)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reader, age := n.currentHeartbeat()
	delta, err := client.Exchange(callCtx, &peerpb.Digest{
		Sender: n.sender(), ReaderHeartbeatAgeMs: age, ReaderProcessId: reader, Suspects: n.suspects(),
	})
	if err != nil {
		n.clients.failed(to.Address, err)
		n.noteOwn(to, err)
		return err
	}
	n.mergeSuspects(delta.GetSuspects())
	if err := n.take(ctx, client, delta); err != nil {
		return err
	}
	n.post(heard{
		from: to, revision: delta.GetSender().GetConfigRevision(),
		heartbeat: decodeHeartbeat(delta.GetReaderProcessId(), delta.GetReaderHeartbeatAgeMs()),
	})
	return nil
}

// take puts the peer's changes, or its snapshot, in force. What this build
// cannot read raises an alarm and replaces nothing.
func (n *Node) take(ctx context.Context, client peerpb.PeerClient, delta *peerpb.Delta) error {
	if delta.GetSnapshotNeeded() {
		return n.pullSnapshot(ctx, client)
	}
	if len(delta.GetChanges()) == 0 {
		return nil
	}
	_, err := n.InForce.Apply(decodeChanges(delta.GetChanges()))
	return n.readable(err)
}

func (n *Node) readable(err error) error {
	if err != nil {
		n.Alarms.Raise(kvstore.AlarmConfigUnreadable, err.Error())
		return err
	}
	n.Alarms.Clear(kvstore.AlarmConfigUnreadable)
	return nil
}

func (n *Node) pullSnapshot(ctx context.Context, client peerpb.PeerClient) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	stream, err := client.Snapshot(ctx, &peerpb.SnapshotRequest{Sender: n.sender()})
	if err != nil {
		return err
	}
	var reader snapshotReader
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return eris.Wrap(err, "snapshot ended early")
		}
		last, err := reader.add(chunk)
		if err != nil {
			return err
		}
		if last {
			break
		}
	}
	next, err := reader.document()
	if err := n.readable(err); err != nil {
		return err
	}
	n.InForce.Advance(next)
	return nil
}

// Exchange answers a digest with the changes that follow it.
func (n *Node) Exchange(_ context.Context, d *peerpb.Digest) (*peerpb.Delta, error) {
	if err := n.refuseOwn(d); err != nil {
		return nil, err
	}
	n.mergeSuspects(d.GetSuspects())
	revision := d.GetSender().GetConfigRevision()
	// A sidecar is not in the list of gateways; there is nothing to pull from it.
	if from, ok := (*n.peers.Load())[d.GetSender().GetProcessId()]; ok {
		n.post(heard{from: from, revision: revision, heartbeat: decodeHeartbeat(d.GetReaderProcessId(), d.GetReaderHeartbeatAgeMs())})
	}
	reader, age := n.currentHeartbeat()
	delta := &peerpb.Delta{Sender: n.sender(), ReaderHeartbeatAgeMs: age, ReaderProcessId: reader, Suspects: n.suspects()}
	changes, reaches := n.InForce.ChangesSince(revision)
	encoded, fits := encodeChanges(changes)
	if !reaches || !fits {
		delta.SnapshotNeeded = true
		return delta, nil
	}
	delta.Changes = encoded
	return delta, nil
}

// Snapshot sends the whole configuration in force.
func (n *Node) Snapshot(_ *peerpb.SnapshotRequest, stream peerpb.Peer_SnapshotServer) error {
	d := n.InForce.Document()
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
