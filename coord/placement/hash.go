package placement

import "hash/fnv"

// HashID returns a hash of an ID that is the same on every host. Hosts sort the
// replicas of a service by it to get the same order everywhere.
func HashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // hash writes never fail
	// FNV leaves the high bits of similar IDs nearly equal.
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3: each bit of the result depends on all bits of sum.
func mix(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
