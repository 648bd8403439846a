package main

import (
	"math"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"siskinstand.example/coord/bytebudget"
	"siskinstand.example/edge/config"
)

const (
	// goMemoryShare is the share of the host's memory that the Go runtime may use, above which the
	// garbage collector runs more often. The rest is for the program's text, for what the collector
	// has not returned yet, and for the kernel's socket buffers.
	goMemoryShare = 0.7
	// callerShare is the share of the host's memory for callers' bytes, and reserveShare the share
	// for small requests beyond that. Together with baseBytes they are at most 3/4 of goMemoryShare
	// on a host of 184 MB, so that the collector never runs for a small gain.
	callerShare  = 0.3
	reserveShare = 0.08
	// baseBytes is the live heap of an idle process at the design size.
	baseBytes = 24 << 20
	// maxGCPercent lets the heap grow to four times the live heap, because processor time is more
	// expensive than memory on entry hosts. Less is used where baseBytes would not leave room.
	maxGCPercent, minGCPercent = 300, 50

	// smallBytes is the size up to which a body, a response or a header is small. A prompt of
	// 5,000 tokens has about 20 KB.
	smallBytes = 64 << 10
	// ownerShare is the share of the memory for callers that one source address or one client
	// account may hold in large bodies and responses.
	ownerShare = 0.5
	bodyShare  = 0.75
	// stallTime and progressBytes define a stalled caller: one that is slower than 8 KB/s.
	stallTime     = 500 * time.Millisecond
	progressBytes = 4 << 10
	// quietTime is the time without a byte after which a connection gives way to a new one. The
	// platform's links have round trips of a few milliseconds.
	quietTime = 25 * time.Millisecond

	// callerDescriptorShare is the share of the descriptors for callers' connections. A request
	// takes one more to a replica, and idle connections to replicas are kept.
	callerDescriptorShare = 0.4
	// ownDescriptors are for the log, the listeners, the store and other hosts.
	ownDescriptors      = 64
	minCallerConnection = 16
	// claimsPerConnection is the number of claims of a connection: header, body and response.
	claimsPerConnection = 3
	mebibyte            = 1 << 20
)

// resources are the limits of this process, derived from its host.
type resources struct {
	memoryBytes    int64
	maxConnections int
	goMemoryLimit  int64
	gcPercent      int
	budget         bytebudget.Config
}

// newResources derives the limits from the settings, or from the host where they are 0.
func newResources(s config.Settings) resources {
	p := s.Process
	memory := int64(p.MemoryMB) * mebibyte
	if memory == 0 {
		memory = hostMemory(os.ReadFile)
	}
	descriptors := int64(p.Descriptors)
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	share := func(of float64) int64 { return int64(of * float64(memory)) }
	r := resources{
		memoryBytes: memory, goMemoryLimit: share(goMemoryShare),
		maxConnections: int(max(callerDescriptorShare*float64(descriptors-ownDescriptors), minCallerConnection)),
	}
	r.gcPercent = int(min(max(r.goMemoryLimit*100/baseBytes-100, minGCPercent), maxGCPercent))
	r.budget = bytebudget.Config{
		Limit: share(callerShare), Reserve: share(reserveShare), SmallBytes: smallBytes, Share: ownerShare, BodyShare: bodyShare, MaxClaimBytes: min(s.Callers.MaxBodyBytes, share(callerShare)),
		StallTime: stallTime, ProgressBytes: progressBytes, QuietTime: quietTime, MaxClaims: claimsPerConnection * 2 * r.maxConnections,
	}
	return r
}

// fallbackMemory is assumed if the host's memory is unknown: that of the smallest host.
const fallbackMemory = 184 * mebibyte

// hostMemory returns the memory of the host, or of the control group if that is less.
func hostMemory(read func(string) ([]byte, error)) int64 {
	memory := int64(math.MaxInt64)
	if data, err := read("/proc/meminfo"); err == nil {
		_, rest, _ := strings.Cut(string(data), "MemTotal:")
		if fields := strings.Fields(rest); len(fields) > 0 {
			if kilobytes, err := strconv.ParseInt(fields[0], 10, 64); err == nil && kilobytes > 0 {
				memory = kilobytes << 10
			}
		}
	}
	if data, err := read("/sys/fs/cgroup/memory.max"); err == nil {
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err == nil && limit > 0 {
			memory = min(memory, limit)
		}
	}
	if memory == math.MaxInt64 {
		return fallbackMemory
	}
	return memory
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // the usual limit
	}
	return int64(min(limit.Cur, 1<<20))
}

// unreadLimit returns how many bytes may be held for all callers that read slowly.
func unreadLimit(s config.Settings, memoryBytes int64) int64 {
	return int64(s.Callers.UnreadShare * float64(memoryBytes))
}

// maxReplicaBytes returns the limit for the bodies at one replica, or 0 for none.
func maxReplicaBytes(s config.Settings) int64 {
	if !s.Placement.ReplicaMemory {
		return 0
	}
	return s.Replicas.MaxBytes
}
