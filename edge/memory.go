package main

import (
	"golang.org/x/sys/unix"

	"siskinstand.example/edge/config"
)

// fallbackMemory is assumed if the memory of the host can't be read; the smallest hosts have
// 184 MB.
const fallbackMemory = 184 << 20

// unreadLimit returns how many bytes may be held for all callers that read slowly.
func unreadLimit(s config.Settings) int64 {
	memory := int64(s.Process.MemoryMB) << 20
	if memory == 0 {
		memory = fallbackMemory
		var info unix.Sysinfo_t
		if unix.Sysinfo(&info) == nil {
			memory = int64(info.Totalram) * int64(info.Unit)
		}
	}
	return int64(s.Callers.UnreadShare * float64(memory))
}

// maxReplicaBytes returns the limit for the bodies at one replica, or 0 for none.
func maxReplicaBytes(s config.Settings) int64 {
	if !s.Placement.ReplicaMemory {
		return 0
	}
	return s.Replicas.MaxBytes
}
