package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Keys and size limits of the configuration in the key-value store.
const (
	HeadKey        = "config/head"
	ShardPrefix    = "config/shard/"
	ShardsPerTable = 64
	MaxHeadChanges = 256
	formatVersion  = 1
	maxChangeRows  = 2048
	maxValueBytes  = 1 << 20
	maxHeadBytes   = maxValueBytes / 2
	noRevision     = 0
)

// HeadChange describes one accepted edit in the head. Rows lists at most
// maxChangeRows rows, so that the head stays within the store's value size;
// OmittedRows counts the others.
type HeadChange struct {
	Revision    uint64  `json:"revision"`
	ID          string  `json:"change_id"`
	Author      string  `json:"author"`
	Base        uint64  `json:"base"`
	UnixMS      int64   `json:"unix_ms"`
	Rows        []RowID `json:"rows"`
	OmittedRows int     `json:"more_rows,omitempty"`
}

// Head refers to the shards of the newest revision by their digests. An empty
// digest stands for a shard without rows.
type Head struct {
	Format          int                `json:"format"`
	Revision        uint64             `json:"revision"`
	DeletedRevision uint64             `json:"deleted_revision"`
	Shards          map[Table][]string `json:"shards"`
	// Changes lists the latest edits by ascending revision.
	Changes []HeadChange `json:"changes"`
}

// EmptyHead returns the head of a store without a configuration.
func EmptyHead() Head {
	h := Head{Format: formatVersion, Shards: map[Table][]string{}}
	for _, t := range TableNames() {
		h.Shards[t] = make([]string, ShardsPerTable)
	}
	return h
}

// DecodeHead decodes a head. It rejects unknown fields and formats other than
// that of this build.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := decodeStrict(data, &h); err != nil {
		return Head{}, eris.Wrap(err, HeadKey)
	}
	if h.Format != formatVersion {
		return Head{}, eris.Errorf("%s: format %d is not accepted; accepted: %d", HeadKey, h.Format, formatVersion)
	}
	if h.Revision == noRevision || h.DeletedRevision > h.Revision || len(h.Shards) != len(TableNames()) {
		return Head{}, eris.Errorf("%s: revision or tables are not valid", HeadKey)
	}
	for _, t := range TableNames() {
		if len(h.Shards[t]) != ShardsPerTable || slices.ContainsFunc(h.Shards[t], isInvalidDigest) {
			return Head{}, eris.Errorf("%s: shards of table %s are not valid", HeadKey, t)
		}
	}
	return h, h.validateChanges()
}

func (h Head) validateChanges() error {
	last := uint64(0)
	for _, c := range h.Changes {
		if c.Revision <= last || c.Revision > h.Revision || c.ID == "" {
			return eris.Errorf("%s: change %q at revision %d is out of order or has no identifier", HeadKey, c.ID, c.Revision)
		}
		last = c.Revision
	}
	if last != h.Revision {
		return eris.Errorf("%s: no change leads to revision %d", HeadKey, h.Revision)
	}
	return nil
}

func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if decoder.More() {
		return eris.New("data after the end of the value")
	}
	return nil
}

func isInvalidDigest(d string) bool {
	raw, err := hex.DecodeString(d)
	return d != "" && (err != nil || len(raw) != sha256.Size || strings.ToLower(d) != d)
}

// Encode returns the stored form of the head. It keeps the latest MaxHeadChanges
// changes, and fewer if the value would exceed maxHeadBytes.
func (h Head) Encode() ([]byte, error) {
	h.Changes = h.Changes[max(0, len(h.Changes)-MaxHeadChanges):]
	for {
		data, err := json.Marshal(h)
		if err != nil {
			return nil, eris.Wrap(err, HeadKey)
		}
		if len(data) <= maxHeadBytes || len(h.Changes) <= 1 {
			return data, nil
		}
		h.Changes = h.Changes[(len(h.Changes)+1)/2:]
	}
}

// FindChange returns the change with the given ID if the head still lists it.
func (h Head) FindChange(id string) (HeadChange, bool) {
	i := slices.IndexFunc(h.Changes, func(c HeadChange) bool { return c.ID == id })
	if i < 0 {
		return HeadChange{}, false
	}
	return h.Changes[i], true
}

type shardRow struct {
	Section  string `json:"section"`
	Text     string `json:"text"`
	Revision uint64 `json:"revision"`
}

// shard is the stored value of one shard. The change ID makes the digest
// unique to the edit. An obsolete shard can therefore be deleted, because no later
// edit can produce the same digest.
type shard struct {
	Format   int        `json:"format"`
	Table    Table      `json:"table"`
	ChangeID string     `json:"change_id"`
	Rows     []shardRow `json:"rows"`
}

// ShardIndex returns the index of a row's shard within its table.
func ShardIndex(section string) int {
	h := fnv.New32a()
	h.Write([]byte(section))
	return int(h.Sum32() % ShardsPerTable)
}

// ShardDigest returns the digest that identifies a shard value.
func ShardDigest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// DecodeShard decodes a shard. It checks the digest and the table, and that each
// row belongs to the shard.
func DecodeShard(value []byte, ref ShardRef) ([]RowEdit, error) {
	table, index, digest := ref.Table, ref.Index, ref.Digest
	if ShardDigest(value) != digest {
		return nil, eris.Errorf("shard %s: the value does not match the digest", digest)
	}
	var s shard
	if err := decodeStrict(value, &s); err != nil {
		return nil, eris.Wrapf(err, "shard %s", digest)
	}
	if s.Format != formatVersion || s.Table != table {
		return nil, eris.Errorf("shard %s: format %d of table %q is not accepted", digest, s.Format, s.Table)
	}
	var rows []RowEdit
	for _, r := range s.Rows {
		if ShardIndex(r.Section) != index {
			return nil, eris.Errorf("shard %s: row %q belongs to another shard", digest, r.Section)
		}
		rows = append(rows, RowEdit{RowID: RowID{table, r.Section}, Text: r.Text, Revision: r.Revision})
	}
	return rows, nil
}

// ShardRef identifies one version of a shard.
type ShardRef struct {
	Table  Table
	Index  int
	Digest string
}

// ShardRefs returns references to all non-empty shards.
func (h Head) ShardRefs() []ShardRef {
	var list []ShardRef
	for _, t := range TableNames() {
		for i, d := range h.Shards[t] {
			if d != "" {
				list = append(list, ShardRef{Table: t, Index: i, Digest: d})
			}
		}
	}
	return list
}

// Assemble builds the document of a head. get returns the rows of a shard. Rows
// that are unchanged from the previous document are not parsed again.
func Assemble(previous *Document, h Head, get func(ShardRef) ([]RowEdit, error)) (*Document, error) {
	var rows []RowEdit
	for _, ref := range h.ShardRefs() {
		part, err := get(ref)
		if err != nil {
			return nil, err
		}
		rows = append(rows, part...)
	}
	return newDocument(previous, h.Revision, h.DeletedRevision, rows)
}

// AssembleIncremental builds the document of a head from the document d of an
// earlier head by comparing the shards that differ. get must return the shards
// of both heads. AssembleIncremental falls back to Assemble if the earlier head is
// empty, d is not its document or h is not newer.
func AssembleIncremental(d *Document, earlier, h Head, get func(ShardRef) ([]RowEdit, error)) (*Document, error) {
	if earlier.Revision == 0 || earlier.Revision != d.revision || h.Revision <= d.revision {
		return Assemble(d, h, get)
	}
	change := Change{Revision: h.Revision, Base: d.revision}
	for _, table := range TableNames() {
		for i, digest := range h.Shards[table] {
			old := earlier.Shards[table][i]
			if old == digest {
				continue
			}
			edits, err := shardEdits(ShardRef{table, i, old}, ShardRef{table, i, digest}, get)
			if err != nil {
				return nil, err
			}
			change.Rows = append(change.Rows, edits...)
		}
	}
	next, err := d.Apply(change)
	if err != nil {
		return nil, err
	}
	next.deletedRevision = h.DeletedRevision
	return next, nil
}

// shardEdits returns the edits that turn one version of a shard into another.
func shardEdits(from, to ShardRef, get func(ShardRef) ([]RowEdit, error)) ([]RowEdit, error) {
	known := map[RowID]RowEdit{}
	if from.Digest != "" {
		rows, err := get(from)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			known[r.RowID] = r
		}
	}
	var edits []RowEdit
	kept := map[RowID]bool{}
	if to.Digest != "" {
		rows, err := get(to)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			if kept[r.RowID] || r.Text == "" {
				return nil, eris.Errorf("%s: [%s] is empty or given twice in shard %s", r.Table, r.Section, to.Digest)
			}
			kept[r.RowID] = true
			if known[r.RowID] != r {
				edits = append(edits, r)
			}
		}
	}
	for id := range known {
		if !kept[id] {
			edits = append(edits, RowEdit{RowID: id})
		}
	}
	return edits, nil
}
