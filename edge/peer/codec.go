// Package peer exchanges load reports between entry hosts over UDP.
package peer

import (
	"bytes"
	"encoding/binary"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
)

const (
	// magic is the start of every datagram; its last byte is the format version.
	magic uint32 = 0x53495302
	// maxDatagramBytes is the maximum size of a report. It fits into one packet on links
	// with an MTU of 9,000. A report about 45 replicas and eight crash suspects takes
	// 1.1 KB.
	maxDatagramBytes = 8192
	maxNameBytes     = 255
)

// datagramHeader is the fixed part of a datagram. The name, the load rows and the suspect
// rows follow it.
type datagramHeader struct {
	Magic           uint32
	Incarnation     int64
	OldestWaitMS    uint16
	QueuedPrefillMS uint32
	Partial         bool
	LoadCount       uint16
	SuspectCount    uint16
	NameLength      uint8
}

// loadRow is the load at one replica. The replica is identified by a hash: a collision is
// harmless because loads are only hints and a replica reported as unreachable is probed,
// and rows of 19 bytes keep the traffic between availability zones low.
type loadRow struct {
	Replica           uint32
	SentPrefillMicros uint32
	Tokens            uint32
	QueuedPrefillMS   uint16
	MaxGapMS          uint16
	Streams           uint8
	HelpedPrompts     uint8
	Unreachable       bool
}

// suspectRow is a crash suspect; its crash IDs follow it.
type suspectRow struct {
	Fingerprint  uint64
	AgeMS        uint32
	Strikes      uint8
	Cleared      bool
	CrashIDCount uint8
}

// Message is a report of one host.
type Message struct {
	Name        string
	Incarnation int64
	Report      placement.Report
	Suspects    []suspect.Report
}

// Encode encodes a message as a datagram. Rows that do not fit are omitted.
func Encode(m Message) ([]byte, error) {
	var rows bytes.Buffer
	h := datagramHeader{Magic: magic, Incarnation: m.Incarnation, OldestWaitMS: clampMilliseconds(m.Report.OldestWait), QueuedPrefillMS: uint32(m.Report.QueuedPrefill.Milliseconds()), Partial: m.Report.Partial, NameLength: uint8(min(len(m.Name), maxNameBytes))}
	var err error
	put := func(v any) {
		if e := binary.Write(&rows, binary.BigEndian, v); e != nil && err == nil {
			err = e
		}
	}
	for id, row := range m.Report.Replicas {
		if rows.Len() > maxDatagramBytes/2 {
			break
		}
		put(loadRow{
			Replica: id, SentPrefillMicros: row.SentPrefillMicros, Tokens: uint32(row.Load.Tokens),
			QueuedPrefillMS: clampMilliseconds(row.Load.QueuedPrefill), MaxGapMS: clampMilliseconds(row.Load.MaxGap),
			Streams: uint8(min(row.Load.Streams, math.MaxUint8)), HelpedPrompts: uint8(min(row.Load.HelpedPrompts, math.MaxUint8)), Unreachable: row.Unreachable,
		})
		h.LoadCount++
	}
	for _, s := range m.Suspects {
		if rows.Len() > maxDatagramBytes*3/4 {
			break
		}
		put(suspectRow{Fingerprint: uint64(s.Fingerprint), AgeMS: uint32(s.Age.Milliseconds()), Strikes: uint8(min(s.Strikes, 255)), Cleared: s.Cleared, CrashIDCount: uint8(min(len(s.Crashes), 8))})
		put(s.Crashes[:min(len(s.Crashes), 8)])
		h.SuspectCount++
	}
	var out bytes.Buffer
	if e := binary.Write(&out, binary.BigEndian, h); e != nil {
		return nil, eris.Wrap(e, "encode load report")
	}
	out.WriteString(m.Name[:h.NameLength])
	out.Write(rows.Bytes())
	return out.Bytes(), eris.Wrap(err, "encode load report")
}

func clampMilliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}

// Decode parses a datagram that Encode has produced. It returns an error for one that
// is truncated or does not start with the magic number.
func Decode(data []byte) (Message, error) {
	r := bytes.NewReader(data)
	var h datagramHeader
	if err := binary.Read(r, binary.BigEndian, &h); err != nil {
		return Message{}, eris.Wrap(err, "load report shorter than its header")
	}
	if h.Magic != magic {
		return Message{}, eris.Errorf("load report starts with %#x instead of %#x", h.Magic, magic)
	}
	m := Message{Incarnation: h.Incarnation, Report: placement.Report{OldestWait: time.Duration(h.OldestWaitMS) * time.Millisecond, QueuedPrefill: time.Duration(h.QueuedPrefillMS) * time.Millisecond, Partial: h.Partial, Replicas: map[uint32]placement.ReplicaReport{}}}
	var err error
	if m.Name, err = readName(r, int(h.NameLength)); err != nil {
		return m, err
	}
	for range h.LoadCount {
		var row loadRow
		if err := binary.Read(r, binary.BigEndian, &row); err != nil {
			return m, eris.Wrap(err, "load report truncated in a load row")
		}
		m.Report.Replicas[row.Replica] = placement.ReplicaReport{SentPrefillMicros: row.SentPrefillMicros, Unreachable: row.Unreachable, Load: placement.Load{
			Streams: int(row.Streams), HelpedPrompts: int(row.HelpedPrompts), Tokens: int(row.Tokens),
			MaxGap: time.Duration(row.MaxGapMS) * time.Millisecond, QueuedPrefill: time.Duration(row.QueuedPrefillMS) * time.Millisecond,
		}}
	}
	for range h.SuspectCount {
		var row suspectRow
		if err := binary.Read(r, binary.BigEndian, &row); err != nil {
			return m, eris.Wrap(err, "load report truncated in a suspect row")
		}
		crashes := make([]suspect.CrashID, row.CrashIDCount)
		if err := binary.Read(r, binary.BigEndian, crashes); err != nil {
			return m, eris.Wrap(err, "load report truncated in a suspect row")
		}
		m.Suspects = append(m.Suspects, suspect.Report{
			Fingerprint: suspect.Fingerprint(row.Fingerprint), Age: time.Duration(row.AgeMS) * time.Millisecond,
			Strikes: uint32(row.Strikes), Cleared: row.Cleared, Crashes: crashes,
		})
	}
	return m, nil
}

func readName(r *bytes.Reader, n int) (string, error) {
	if n > r.Len() {
		return "", eris.New("load report truncated in the host name")
	}
	b := make([]byte, n)
	_, err := r.Read(b)
	return string(b), eris.Wrap(err, "read host name of load report")
}
