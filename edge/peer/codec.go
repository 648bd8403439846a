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
	magic uint32 = 0x53495306
	// maxDatagramBytes is the maximum size of a report. It fits into one packet on links
	// with an MTU of 9,000. A report about 45 replicas and eight crash suspects takes
	// 1.3 KB, 16 suspected prompt parts 0.6 KB with three crashes each.
	maxDatagramBytes = 8192
	maxNameBytes     = 255
)

// datagramHeader is the fixed part of a datagram. The name, the load rows, the suspect rows,
// the part rows and the sections follow it.
type datagramHeader struct {
	Magic           uint32
	Forward         bool
	Sequence        uint32
	Incarnation     int64
	OldestWaitMS    uint16
	QueuedPrefillMS uint32
	Partial         bool
	LoadCount       uint16
	SuspectCount    uint16
	PartCount       uint16
	SectionCount    uint8
	NameLength      uint8
}

// loadRow is the load at one replica. The replica is identified by a hash: a collision is
// harmless because loads are only hints and a replica reported as unreachable is probed,
// and rows of 23 bytes keep the traffic between availability zones low.
type loadRow struct {
	Replica           uint32
	SentPrefillMicros uint32
	Tokens            uint32
	QueuedPrefillMS   uint16
	MaxGapMS          uint16
	Streams           uint8
	HelpedPrompts     uint8
	Unreachable       bool
	// RemainingWork is in units of remainingUnit, the others are encoded by encodeInterval.
	RemainingWork uint16
	EndInterval   uint8
	ShortestRest  uint8
}

// suspectRow is a crash suspect; its crash IDs follow it.
type suspectRow struct {
	Fingerprint  uint64
	AgeMS        uint32
	Strikes      uint8
	Cleared      bool
	CrashIDCount uint8
}

// partRow is a suspected prompt part; its crash IDs follow it.
type partRow struct {
	Part         uint64
	AgeMS        uint32
	State        uint8
	CrashIDCount uint8
}

// States of a partRow.
const (
	partSuspected uint8 = iota
	partRefused
	partCleared
)

// forwardOffset is the position of datagramHeader.Forward.
const forwardOffset = 4

// Message is a report of one host.
type Message struct {
	// Forward asks the receiver to send the message to the other hosts of its
	// availability zone.
	Forward bool
	// Sequence increases with each report of a process. Reports that are forwarded may
	// overtake each other.
	Sequence    uint32
	Name        string
	Incarnation int64
	Report      placement.Report
	Suspects    []suspect.Report
	Parts       []suspect.PartReport
	Sections    []Section
}

// Section is a part of a report with a format of its own. Receivers skip sections of unknown
// types, so that hosts with and without a feature understand each other.
type Section struct {
	Type SectionType
	Data []byte
}

// SectionType identifies the format of a section.
type SectionType uint8

// Types of sections.
const (
	SectionAccountUsage  SectionType = 1
	SectionReplicaSpeeds SectionType = 2
	SectionCostEstimates SectionType = 3
	SectionInFlightBytes SectionType = 4
	// SectionWaitingPrompts holds one byte, the number of short prompts that wait for a slot.
	SectionWaitingPrompts SectionType = 5
	// SectionTurnedAway holds five bytes for each replica that has no connection for requests of
	// the host: its short ID, and the number of connections that the host has to it.
	SectionTurnedAway SectionType = 6
)

// headerBytes and the others are the sizes of encoded structs.
var (
	headerBytes     = binary.Size(datagramHeader{})
	loadRowBytes    = binary.Size(loadRow{})
	suspectRowBytes = binary.Size(suspectRow{})
	partRowBytes    = binary.Size(partRow{})
)

const (
	crashIDBytes = 8
	// maxPartCrashIDs is the maximum number of crashes encoded for one part.
	maxPartCrashIDs = 32
	maxPartBytes    = 14 + maxPartCrashIDs*crashIDBytes
	// sectionHeaderBytes is the size of the type and the length of a section.
	sectionHeaderBytes = 3
	// MaxSectionBytes is the maximum size of the data of a section. Four sections of this size
	// and the rows of a large deployment fit into one datagram.
	MaxSectionBytes = 512
)

// Encode encodes a message as a datagram. Rows that do not fit are omitted.
func Encode(m Message) ([]byte, error) {
	name := m.Name[:min(len(m.Name), maxNameBytes)]
	h := datagramHeader{Magic: magic, Forward: m.Forward, Sequence: m.Sequence, Incarnation: m.Incarnation, OldestWaitMS: clampMilliseconds(m.Report.OldestWait), QueuedPrefillMS: uint32(m.Report.QueuedPrefill.Milliseconds()), Partial: m.Report.Partial, NameLength: uint8(len(name))}
	out := make([]byte, headerBytes, headerBytes+len(name)+loadRowBytes*len(m.Report.Replicas)+128*len(m.Suspects))
	out = append(out, name...)
	for id, row := range m.Report.Replicas {
		if len(out) > maxDatagramBytes/2 {
			break
		}
		out = appendLoadRow(out, id, row)
		h.LoadCount++
	}
	for _, s := range m.Suspects {
		if len(out) > maxDatagramBytes*3/4 {
			break
		}
		out = appendSuspect(out, s)
		h.SuspectCount++
	}
	for _, p := range m.Parts {
		if len(out) > maxDatagramBytes-maxPartBytes {
			break
		}
		out = appendPart(out, p)
		h.PartCount++
	}
	for _, section := range m.Sections {
		if len(section.Data) > MaxSectionBytes || len(out)+sectionHeaderBytes+len(section.Data) > maxDatagramBytes {
			continue
		}
		out = append(out, byte(section.Type))
		out = binary.BigEndian.AppendUint16(out, uint16(len(section.Data)))
		out = append(out, section.Data...)
		h.SectionCount++
	}
	if _, err := binary.Encode(out[:headerBytes], binary.BigEndian, h); err != nil {
		return nil, eris.Wrap(err, "encode load report")
	}
	return out, nil
}

// appendLoadRow appends the fields of a loadRow. Reports are sent and received hundreds of
// times a second, and encoding by reflection takes ten times as long.
func appendLoadRow(out []byte, id uint32, row placement.ReplicaReport) []byte {
	out = binary.BigEndian.AppendUint32(out, id)
	out = binary.BigEndian.AppendUint32(out, row.SentPrefillMicros)
	out = binary.BigEndian.AppendUint32(out, uint32(row.Load.Tokens))
	out = binary.BigEndian.AppendUint16(out, clampMilliseconds(row.Load.QueuedPrefill))
	out = binary.BigEndian.AppendUint16(out, clampMilliseconds(row.Load.MaxGap))
	unreachable := byte(0)
	if row.Unreachable {
		unreachable = 1
	}
	out = append(out, uint8(min(row.Load.Streams, math.MaxUint8)), uint8(min(row.Load.HelpedPrompts, math.MaxUint8)), unreachable)
	out = binary.BigEndian.AppendUint16(out, uint16(min((max(row.Load.Remaining, 0)+remainingUnit-1)/remainingUnit, math.MaxUint16)))
	return append(out, encodeInterval(row.Load.EndInterval), encodeInterval(row.Load.ShortestRest))
}

func appendSuspect(out []byte, s suspect.Report) []byte {
	crashes := s.Crashes[:min(len(s.Crashes), 8)]
	cleared := byte(0)
	if s.Cleared {
		cleared = 1
	}
	out = binary.BigEndian.AppendUint64(out, uint64(s.Fingerprint))
	out = binary.BigEndian.AppendUint32(out, uint32(s.Age.Milliseconds()))
	out = append(out, uint8(min(s.Strikes, 255)), cleared, uint8(len(crashes)))
	for _, c := range crashes {
		out = binary.BigEndian.AppendUint64(out, uint64(c))
	}
	return out
}

func appendPart(out []byte, p suspect.PartReport) []byte {
	crashes := p.Crashes[:min(len(p.Crashes), maxPartCrashIDs)]
	state := partSuspected
	switch {
	case p.Cleared:
		state = partCleared
	case p.Refused:
		state = partRefused
	}
	out = binary.BigEndian.AppendUint64(out, uint64(p.Part))
	out = binary.BigEndian.AppendUint32(out, uint32(min(max(p.Age.Milliseconds(), 0), math.MaxUint32)))
	out = append(out, state, uint8(len(crashes)))
	for _, c := range crashes {
		out = binary.BigEndian.AppendUint64(out, uint64(c))
	}
	return out
}

func clampMilliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}

// Decode parses a datagram that Encode has produced. It returns an error for one that
// is truncated or does not start with the magic number.
func Decode(data []byte) (Message, error) {
	var h datagramHeader
	if _, err := binary.Decode(data, binary.BigEndian, &h); err != nil {
		return Message{}, eris.Wrap(err, "load report shorter than its header")
	}
	if h.Magic != magic {
		return Message{}, eris.Errorf("load report starts with %#x instead of %#x", h.Magic, magic)
	}
	m := Message{Forward: h.Forward, Sequence: h.Sequence, Incarnation: h.Incarnation, Report: placement.Report{
		OldestWait: time.Duration(h.OldestWaitMS) * time.Millisecond, QueuedPrefill: time.Duration(h.QueuedPrefillMS) * time.Millisecond,
		Partial: h.Partial, Replicas: make(map[uint32]placement.ReplicaReport, min(int(h.LoadCount), maxDatagramBytes/loadRowBytes)),
	}}
	data = data[headerBytes:]
	if len(data) < int(h.NameLength) {
		return m, eris.New("load report truncated in the host name")
	}
	m.Name, data = string(data[:h.NameLength]), data[h.NameLength:]
	if len(data) < int(h.LoadCount)*loadRowBytes {
		return m, eris.New("load report truncated in a load row")
	}
	for range h.LoadCount {
		id, row := decodeLoadRow(data)
		m.Report.Replicas[id] = row
		data = data[loadRowBytes:]
	}
	for range h.SuspectCount {
		s, size, err := decodeSuspect(data)
		if err != nil {
			return m, err
		}
		m.Suspects = append(m.Suspects, s)
		data = data[size:]
	}
	for range h.PartCount {
		p, size, err := decodePart(data)
		if err != nil {
			return m, err
		}
		m.Parts = append(m.Parts, p)
		data = data[size:]
	}
	for range h.SectionCount {
		section, size, err := decodeSection(data)
		if err != nil {
			return m, err
		}
		m.Sections = append(m.Sections, section)
		data = data[size:]
	}
	return m, nil
}

// decodeSection decodes the section at the start of data, and returns its size. Its data is a
// copy, because the buffer of a datagram is reused.
func decodeSection(data []byte) (Section, int, error) {
	if len(data) < sectionHeaderBytes {
		return Section{}, 0, eris.New("load report truncated in the head of a section")
	}
	size := sectionHeaderBytes + int(binary.BigEndian.Uint16(data[1:]))
	if len(data) < size {
		return Section{}, 0, eris.New("load report truncated in a section")
	}
	return Section{Type: SectionType(data[0]), Data: bytes.Clone(data[sectionHeaderBytes:size])}, size, nil
}

// decodeLoadRow decodes the loadRow at the start of data, which must be long enough.
func decodeLoadRow(data []byte) (uint32, placement.ReplicaReport) {
	order := binary.BigEndian
	return order.Uint32(data), placement.ReplicaReport{SentPrefillMicros: order.Uint32(data[4:]), Unreachable: data[18] != 0, Load: placement.Load{
		Tokens: int(order.Uint32(data[8:])), QueuedPrefill: time.Duration(order.Uint16(data[12:])) * time.Millisecond,
		MaxGap: time.Duration(order.Uint16(data[14:])) * time.Millisecond, Streams: int(data[16]), HelpedPrompts: int(data[17]),
		Remaining: time.Duration(order.Uint16(data[19:])) * remainingUnit, EndInterval: decodeInterval(data[21]), ShortestRest: decodeInterval(data[22]),
	}}
}

// decodeSuspect decodes the suspectRow and crash IDs at the start of data, and returns their
// size.
func decodeSuspect(data []byte) (suspect.Report, int, error) {
	var row suspectRow
	if _, err := binary.Decode(data, binary.BigEndian, &row); err != nil {
		return suspect.Report{}, 0, eris.Wrap(err, "load report truncated in a suspect row")
	}
	size := suspectRowBytes + int(row.CrashIDCount)*crashIDBytes
	if len(data) < size {
		return suspect.Report{}, 0, eris.New("load report truncated in a suspect row")
	}
	s := suspect.Report{
		Fingerprint: suspect.Fingerprint(row.Fingerprint), Age: time.Duration(row.AgeMS) * time.Millisecond,
		Strikes: uint32(row.Strikes), Cleared: row.Cleared, Crashes: make([]suspect.CrashID, row.CrashIDCount),
	}
	for i := range s.Crashes {
		s.Crashes[i] = suspect.CrashID(binary.BigEndian.Uint64(data[suspectRowBytes+i*crashIDBytes:]))
	}
	return s, size, nil
}

// decodePart decodes the partRow and crash IDs at the start of data, and returns their size.
func decodePart(data []byte) (suspect.PartReport, int, error) {
	var row partRow
	if _, err := binary.Decode(data, binary.BigEndian, &row); err != nil {
		return suspect.PartReport{}, 0, eris.Wrap(err, "load report truncated in a part row")
	}
	if row.State > partCleared || row.CrashIDCount > maxPartCrashIDs {
		return suspect.PartReport{}, 0, eris.Errorf("part row with state %d and %d crashes", row.State, row.CrashIDCount)
	}
	size := partRowBytes + int(row.CrashIDCount)*crashIDBytes
	if len(data) < size {
		return suspect.PartReport{}, 0, eris.New("load report truncated in a part row")
	}
	p := suspect.PartReport{
		Part: suspect.Part(row.Part), Age: time.Duration(row.AgeMS) * time.Millisecond,
		Refused: row.State == partRefused, Cleared: row.State == partCleared, Crashes: make([]suspect.CrashID, row.CrashIDCount),
	}
	for i := range p.Crashes {
		p.Crashes[i] = suspect.CrashID(binary.BigEndian.Uint64(data[partRowBytes+i*crashIDBytes:]))
	}
	return p, size, nil
}
