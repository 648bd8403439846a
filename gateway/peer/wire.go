// Package peer implements the Peer service. Gateways use it to exchange configuration
// revisions, heartbeats, crash suspects and claims, sidecars to request weight-load
// permits, and the operators' command-line tool to read the status and the burn of
// service-level objectives.
package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/gossip"
	"siskinstand.example/peerpb"
)

// Size limits. Those of one message are well below gRPC's default of 4 MiB.
const (
	maxDeltaBytes = 1 << 20
	maxChunkBytes = 256 << 10
	// maxSnapshotBytes is the maximum size of a snapshot accepted from a peer.
	// 15,000 accounts need about 2 MB.
	maxSnapshotBytes = 64 << 20
)

func encodeRow(r config.RowEdit) *peerpb.RowEdit {
	return &peerpb.RowEdit{Table: string(r.Table), Section: r.Section, Text: r.Text, Revision: r.Revision}
}

func decodeRow(r *peerpb.RowEdit) config.RowEdit {
	return config.RowEdit{
		RowID: config.RowID{Table: config.Table(r.GetTable()), Section: r.GetSection()},
		Text:  r.GetText(), Revision: r.GetRevision(),
	}
}

// encodeChanges returns false if the rows of the changes exceed maxDeltaBytes.
func encodeChanges(changes []config.Change) ([]*peerpb.Change, bool) {
	size := 0
	var list []*peerpb.Change
	for _, c := range changes {
		change := &peerpb.Change{Revision: c.Revision, Base: c.Base, ChangeId: c.ID}
		for _, r := range c.Rows {
			size += rowBytes(r)
			change.Rows = append(change.Rows, encodeRow(r))
		}
		list = append(list, change)
	}
	return list, size <= maxDeltaBytes
}

// rowBytes returns an upper bound of the encoded size of a row.
func rowBytes(r config.RowEdit) int { return len(r.Section) + len(r.Text) + 32 }

func decodeChanges(list []*peerpb.Change) []config.Change {
	var changes []config.Change
	for _, c := range list {
		change := config.Change{Revision: c.GetRevision(), Base: c.GetBase(), ID: c.GetChangeId()}
		for _, r := range c.GetRows() {
			change.Rows = append(change.Rows, decodeRow(r))
		}
		changes = append(changes, change)
	}
	return changes
}

// encodeSnapshot splits a document into chunks and marks the last one.
func encodeSnapshot(sender *peerpb.Sender, d *config.Document) []*peerpb.SnapshotChunk {
	next := func() *peerpb.SnapshotChunk {
		return &peerpb.SnapshotChunk{Sender: sender, Revision: d.Revision(), DeletedRevision: d.DeletedRevision()}
	}
	chunk, size := next(), 0
	var chunks []*peerpb.SnapshotChunk
	for _, r := range d.Rows() {
		if size > 0 && size+rowBytes(r) > maxChunkBytes {
			chunks = append(chunks, chunk)
			chunk, size = next(), 0
		}
		chunk.Rows = append(chunk.Rows, encodeRow(r))
		size += rowBytes(r)
	}
	chunk.Last = true
	return append(chunks, chunk)
}

// snapshotAssembler assembles a document from the chunks of one snapshot.
type snapshotAssembler struct {
	revision        uint64
	deletedRevision uint64
	rows            []config.RowEdit
	bytes           int
}

// add adds a chunk and reports whether it was the last one.
func (s *snapshotAssembler) add(c *peerpb.SnapshotChunk) (bool, error) {
	if s.revision == 0 {
		s.revision, s.deletedRevision = c.GetRevision(), c.GetDeletedRevision()
	}
	if c.GetRevision() != s.revision || c.GetDeletedRevision() != s.deletedRevision || s.deletedRevision > s.revision {
		return false, eris.Errorf("snapshot of revision %d has an inconsistent chunk of revision %d", s.revision, c.GetRevision())
	}
	for _, r := range c.GetRows() {
		row := decodeRow(r)
		s.bytes += rowBytes(row)
		s.rows = append(s.rows, row)
	}
	if s.bytes > maxSnapshotBytes {
		return false, eris.Errorf("snapshot exceeds %d bytes", maxSnapshotBytes)
	}
	return c.GetLast(), nil
}

func (s *snapshotAssembler) document() (*config.Document, error) {
	return config.NewDocument(s.revision, s.deletedRevision, s.rows)
}

// decodeHeartbeat limits the age to between 0 and one hour. A negative age would
// place the heartbeat in the future.
func decodeHeartbeat(reader string, ageMS int64) gossip.Heartbeat {
	const maxAgeMS = int64(time.Hour / time.Millisecond)
	return gossip.Heartbeat{Reader: reader, Age: time.Duration(min(max(ageMS, 0), maxAgeMS)) * time.Millisecond}
}
