package main

import (
	"errors"
	"testing"

	"siskinstand.example/edge/config"
)

// Guards against limits that leave the garbage collector no room, or that exceed the memory or the
// descriptors of a host.
func TestResources(t *testing.T) {
	for _, memoryMB := range []int{64, 96, 184, 536, 16384} {
		s := config.Settings{Process: config.Process{MemoryMB: memoryMB, Descriptors: 4100}, Callers: config.Callers{MaxBodyBytes: 16 << 20}}
		r := newResources(s)
		memory := int64(memoryMB) << 20
		callers := r.budget.Limit + r.budget.Reserve
		if r.goMemoryLimit > memory*3/4 || memoryMB >= 96 && (callers+baseBytes)*100 > r.goMemoryLimit*95 {
			t.Errorf("%d MB: Go memory limit %d, callers' bytes %d", memoryMB, r.goMemoryLimit, callers)
		}
		if memoryMB >= 184 && (r.gcPercent != maxGCPercent || (callers+baseBytes)*3 > r.goMemoryLimit*9/4) {
			t.Errorf("%d MB: GC percent %d, live bytes up to %d of %d", memoryMB, r.gcPercent, callers+baseBytes, r.goMemoryLimit)
		}
		if r.maxConnections < 1500 || r.maxConnections > 4100/2 {
			t.Errorf("%d connections of 4,100 descriptors", r.maxConnections)
		}
	}
}

// Guards against a control group's limit that is ignored, and against a failure to read it.
func TestHostMemory(t *testing.T) {
	files := map[string]string{"/proc/meminfo": "MemTotal:  1024000 kB\nMemFree: 1 kB\n", "/sys/fs/cgroup/memory.max": "193986560\n"}
	read := func(path string) ([]byte, error) {
		if text, ok := files[path]; ok {
			return []byte(text), nil
		}
		return nil, errors.New("no such file")
	}
	if got := hostMemory(read); got != 193986560 {
		t.Errorf("memory %d, want that of the control group", got)
	}
	files["/sys/fs/cgroup/memory.max"] = "max\n"
	if got := hostMemory(read); got != 1024000<<10 {
		t.Errorf("memory %d, want that of the host", got)
	}
	clear(files)
	if got := hostMemory(read); got != fallbackMemory {
		t.Errorf("memory %d without any file, want %d", got, int64(fallbackMemory))
	}
}
