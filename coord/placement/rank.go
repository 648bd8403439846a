package placement

import "hash/fnv"

// Rank returns the sort key that orders the replicas of a service identically
// on every host.
func Rank(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // hash writes never fail
	// FNV leaves the high bits of similar IDs nearly equal; this finalizer
	// mixes them.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
