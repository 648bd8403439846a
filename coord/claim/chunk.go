package claim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Layout and bounds of the claim log.
const (
	PartitionCount = 16
	// MaxChunkBytes bounds a chunk, because every append rewrites the last one.
	MaxChunkBytes = 64 << 10
	// MaxResultBytes is the largest answer recorded with its claim.
	MaxResultBytes = 4 << 10
	// DefaultExpiry is longer than any caller's resend window of one hour.
	DefaultExpiry = 24 * time.Hour

	formatVersion  = 1
	maxIDBytes     = 512
	maxTypeBytes   = 256
	chunkKeyFormat = "claims/%02d/%010d"
)

// Op is what an entry records.
type Op string

// The entries of the log.
const (
	OpClaim   Op = "claim"
	OpRelease Op = "release"
	OpResult  Op = "result"
)

// Entry is one record of the log.
type Entry struct {
	Op       Op      `json:"op"`
	Key      []byte  `json:"key"`
	ClaimID  string  `json:"claim_id"`
	Holder   string  `json:"holder,omitempty"`
	UnixMS   int64   `json:"unix_ms"`
	BodyHash uint64  `json:"body_hash,omitempty"`
	Result   *Result `json:"result,omitempty"`
}

func (e Entry) key() Key        { return Key(e.Key) }
func (e Entry) time() time.Time { return time.UnixMilli(e.UnixMS) }

// Validate reports an entry that would not be accepted when it is read back.
func (e Entry) Validate() error {
	if len(e.Key) != len(Key{}) || e.ClaimID == "" || len(e.ClaimID) > maxIDBytes || len(e.Holder) > maxIDBytes {
		return eris.Errorf("claim %q: key, identifier or holder is not valid", e.ClaimID)
	}
	switch e.Op {
	case OpClaim, OpRelease:
		if e.Result == nil {
			return nil
		}
	case OpResult:
		if e.Result != nil && len(e.Result.Body) <= MaxResultBytes && len(e.Result.ContentType) <= maxTypeBytes {
			return nil
		}
	}
	return eris.Errorf("claim %q: operation %q or its result is not valid", e.ClaimID, e.Op)
}

// Chunk is one stored value of a partition's chain. A sealed chunk is never
// written again; only then may the next one be created. Without the seal two
// appenders could write to different ends of the chain.
type Chunk struct {
	Format    int     `json:"format"`
	Partition int     `json:"partition"`
	Number    int     `json:"number"`
	Sealed    bool    `json:"sealed"`
	Entries   []Entry `json:"entries"`
}

// PartitionPrefix returns the prefix of a partition's keys in the store.
func PartitionPrefix(partition int) string { return fmt.Sprintf("claims/%02d/", partition) }

// ChunkKey returns the key of a chunk in the store.
func ChunkKey(partition, number int) string {
	return fmt.Sprintf(chunkKeyFormat, partition, number)
}

// ParseChunkKey is the inverse of ChunkKey.
func ParseChunkKey(key string) (partition, number int, err error) {
	if _, err := fmt.Sscanf(key, "claims/%d/%d", &partition, &number); err != nil || ChunkKey(partition, number) != key {
		return 0, 0, eris.Errorf("%q is not the key of a claim chunk", key)
	}
	return partition, number, nil
}

// DecodeChunk reads a stored chunk. A chunk that this build cannot read makes
// its partition unusable, because a claim in it could be missed.
func DecodeChunk(data []byte, partition, number int) (Chunk, error) {
	var c Chunk
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return Chunk{}, eris.Wrap(err, ChunkKey(partition, number))
	}
	if decoder.More() || c.Format != formatVersion || c.Partition != partition || c.Number != number {
		return Chunk{}, eris.Errorf("%s: format, partition or number is not accepted", ChunkKey(partition, number))
	}
	for _, e := range c.Entries {
		if err := e.Validate(); err != nil {
			return Chunk{}, eris.Wrap(err, ChunkKey(partition, number))
		}
		if PartitionOf(e.key()) != partition {
			return Chunk{}, eris.Errorf("%s: claim %q belongs to another partition", ChunkKey(partition, number), e.ClaimID)
		}
	}
	return c, nil
}

func (c Chunk) encode() ([]byte, error) { return json.Marshal(c) }

// newest returns the time of the latest entry.
func (c Chunk) newest() time.Time {
	var t time.Time
	for _, e := range c.Entries {
		if e.time().After(t) {
			t = e.time()
		}
	}
	return t
}

// PartitionOf returns the partition of a key.
func PartitionOf(k Key) int { return int(k[0]) % PartitionCount }

// PreferredAppender returns the process that appends to a partition by preference, so
// that claims meet in few writes: the winner of a rendezvous hash.
func PreferredAppender(partition int, processes []string) string {
	best, score := "", uint64(0)
	for _, p := range processes {
		s := xxhash.Sum64String(fmt.Sprintf("%d/%s", partition, p))
		if best == "" || s > score || s == score && p < best {
			best, score = p, s
		}
	}
	return best
}

func encodedBytes(v any) (int, error) {
	data, err := json.Marshal(v)
	return len(data), err
}
