package claim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Layout and limits of the claim log in the key-value store.
const (
	PartitionCount = 16
	// MaxChunkBytes limits the size of a chunk, because every append rewrites the
	// whole last chunk.
	MaxChunkBytes = 64 << 10
	// MaxResultBytes is the maximum size of a response body recorded with its claim.
	MaxResultBytes = 4 << 10
	// DefaultExpiry exceeds the period in which callers resend a call, which is one
	// hour.
	DefaultExpiry = 24 * time.Hour

	formatVersion       = 1
	maxIDBytes          = 512
	maxContentTypeBytes = 256
	chunkKeyFormat      = "claims/%02d/%010d"
)

// Op is the operation that an entry records.
type Op string

// Operations recorded in the log.
const (
	OpClaim   Op = "claim"
	OpRelease Op = "release"
	OpResult  Op = "result"
)

// Entry is one operation in the log.
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

// Validate returns an error if the entry would be rejected when it is read back.
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
		if e.Result != nil && len(e.Result.Body) <= MaxResultBytes && len(e.Result.ContentType) <= maxContentTypeBytes {
			return nil
		}
	}
	return eris.Errorf("claim %q: operation %q or its result is not valid", e.ClaimID, e.Op)
}

// Chunk is one stored value of a partition's log, which is a sequence of numbered
// chunks. A sealed chunk is never written again, and the next chunk may only be
// created after the previous one is sealed. Otherwise two appenders could append
// to different chunks at the same time.
type Chunk struct {
	Format    int     `json:"format"`
	Partition int     `json:"partition"`
	Number    int     `json:"number"`
	Sealed    bool    `json:"sealed"`
	Entries   []Entry `json:"entries"`
}

// PartitionPrefix returns the key prefix of a partition's chunks in the store.
func PartitionPrefix(partition int) string { return fmt.Sprintf("claims/%02d/", partition) }

// ChunkKey returns the key of a chunk in the store.
func ChunkKey(partition, number int) string {
	return fmt.Sprintf(chunkKeyFormat, partition, number)
}

// ParseChunkKey parses a key returned by ChunkKey.
func ParseChunkKey(key string) (partition, number int, err error) {
	if _, err := fmt.Sscanf(key, "claims/%d/%d", &partition, &number); err != nil || ChunkKey(partition, number) != key {
		return 0, 0, eris.Errorf("%q is not the key of a claim chunk", key)
	}
	return partition, number, nil
}

// DecodeChunk decodes a stored chunk. It rejects a chunk with another format,
// unknown fields or invalid entries, which makes the partition unusable: skipping
// them could miss a claim.
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

// latestEntryTime returns the time of the latest entry, or zero if there is none.
func (c Chunk) latestEntryTime() time.Time {
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

// PreferredAppender returns the process that should append to a partition, chosen
// by rendezvous hashing. Sending all claims of a partition to one process lets it
// combine them into few writes.
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

func encodedSize(v any) (int, error) {
	data, err := json.Marshal(v)
	return len(data), err
}
