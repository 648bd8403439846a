package placement

import "time"

// Policy holds the tuning constants of placement.
type Policy struct {
	// SlotFillShare is the share of a replica's slots that short prompts fill
	// before the next replica in rank order is opened for them.
	// ReservedSlotsPerHost is the number of slots, per host, kept open beyond
	// the running streams: they absorb requests that other hosts have started
	// but not reported yet.
	SlotFillShare        float64
	ReservedSlotsPerHost float64
	// UnreportedSpread is the number of replicas with SeveralSlots free slots among
	// which short prompts are spread, for each prompt that is expected to be placed
	// but not reported yet.
	UnreportedSpread float64
	SeveralSlots     int
	// ShortTargetShare is a share of the objective. Replicas that are predicted
	// to emit the first event of a short prompt within it are preferred.
	ShortTargetShare float64
	// ShortReplicaShare is the share of the replicas, first in rank order, that
	// large prompts leave free for short ones, even while these replicas have
	// no streams.
	ShortReplicaShare float64
	// LongPromptPrefill is the prefill time above which a prompt counts as long
	// and its prefill may be split over several replicas.
	LongPromptPrefill time.Duration
	// PassGapShare is the share of the strictest MaxGap at a replica that one
	// pass, including prefill, may take.
	PassGapShare float64
	// LargePromptPrefill is the prefill time above which a prompt counts as
	// large and is prefilled only at replicas without other prefill: a replica
	// prefills the newest part first, so a large part would delay all earlier
	// ones.
	LargePromptPrefill time.Duration
	// MinLargePart is the prefill time below which the parts of a large prompt
	// are not split further.
	MinLargePart time.Duration
	// MaxLargePart is the prefill time above which the parts of a large prompt
	// are split further, if necessary by waiting for more replicas: a replica
	// busy with a long prefill is not available to the next prompts.
	MaxLargePart time.Duration
	// DecoderWaitShare is the share of its objective for which a large prompt
	// waits for a replica that is already decoding.
	DecoderWaitShare float64
	// RelaxedGap is the MaxGap from which a stream counts as relaxed, so that
	// its replica may prefill for others. Replicas with stricter streams help
	// only with long prompts that would otherwise miss their objective.
	RelaxedGap time.Duration
	// MinPart is the shortest prefill time of a part: a long prompt is not split
	// into more parts if they would take less.
	MinPart time.Duration
	// MaxHelpers is the largest number of helpers per prompt.
	MaxHelpers int
	// ShortLateFactor and LongLateFactor are the multiples of the objective
	// beyond which a prompt is refused. A late answer still has part of its
	// value. Serving a short prompt late costs little, while a long one takes
	// the capacity of many short ones.
	ShortLateFactor float64
	LongLateFactor  float64
	// MemoryShare is the share of a replica's memory that placement may fill.
	MemoryShare float64
	// WaitForSlots makes short prompts wait at their host until a replica has a free slot,
	// instead of waiting at a replica that has none.
	WaitForSlots bool
	// RemainingWork makes the predicted rest of the requests decide between replicas with as
	// many streams per slot.
	RemainingWork bool
}

// DefaultPolicy returns the production settings.
func DefaultPolicy() Policy {
	return Policy{
		SlotFillShare: 0.88, ReservedSlotsPerHost: 0.3, UnreportedSpread: 1, SeveralSlots: 3, ShortTargetShare: 0.7, ShortReplicaShare: 0.12, LongPromptPrefill: 100 * time.Millisecond, PassGapShare: 0.65, LargePromptPrefill: time.Second, MinLargePart: 150 * time.Millisecond, MaxLargePart: 900 * time.Millisecond, DecoderWaitShare: 0.1, RelaxedGap: 600 * time.Millisecond, MinPart: 15 * time.Millisecond,
		MaxHelpers:      16, // limit of the replica protocol
		ShortLateFactor: 5, LongLateFactor: 1.2, MemoryShare: 0.97,
	}
}
