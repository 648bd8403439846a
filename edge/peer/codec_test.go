package peer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
)

func sampleMessage() Message {
	return Message{
		Forward: true, Sequence: 77, Name: "edge-a-1", Incarnation: 1700000000000000001,
		Report: placement.Report{OldestWait: 250 * time.Millisecond, QueuedPrefill: 9 * time.Second, Partial: true, Replicas: map[uint32]placement.ReplicaReport{
			7:  {Load: placement.Load{Streams: 3, HelpedPrompts: 2, Tokens: 410_000, MaxGap: 200 * time.Millisecond, QueuedPrefill: 160 * time.Millisecond}, SentPrefillMicros: 4_294_967_295},
			11: {Unreachable: true},
			12: {Load: placement.Load{Streams: 2, Remaining: 1230 * time.Millisecond, EndInterval: 32 * time.Millisecond, ShortestRest: 512 * time.Millisecond}},
		}},
		Suspects: []suspect.Report{{Fingerprint: 9, Crashes: []suspect.CrashID{1, 2}, Strikes: 2, Age: 3 * time.Second}},
		Parts: []suspect.PartReport{
			{Part: 0xe4402b7d, Crashes: []suspect.CrashID{1, 2}, Refused: true, Age: time.Hour},
			{Part: 5, Crashes: []suspect.CrashID{3}, Age: 20 * time.Millisecond},
			{Part: 6, Crashes: []suspect.CrashID{4}, Cleared: true},
		},
		Sections: []Section{{Type: SectionReplicaSpeeds, Data: []byte{1, 2, 3}}, {Type: 200, Data: []byte{4}}},
	}
}

func TestCodec(t *testing.T) {
	// Guards against fields that are lost or changed by encoding and decoding.
	data, err := Encode(sampleMessage())
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sampleMessage(), got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	for n := range data {
		if _, err := Decode(data[:n]); err == nil {
			t.Errorf("a report truncated after %d bytes is accepted", n)
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(sampleMessage())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Guards against a datagram that crashes the process; anyone can send one.
		_, _ = Decode(data) // only a panic is a failure
	})
}
