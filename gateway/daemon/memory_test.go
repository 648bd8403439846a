package daemon

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"testing"

	pb "siskinstand.example/peerpb"
)

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against copies of a long prompt while it waits for admission. The limit
// is twice the body size per prompt, because the caller and the sidecar run in
// the same process and share the heap.
func TestQueuedPromptMemory(t *testing.T) {
	const prompts, promptBytes = 8, 4 << 20
	wait := func(_ *pb.Offer, s *scriptedStream) error {
		<-s.stream.Context().Done()
		return nil
	}
	s := startSidecar(t, "e1", wait, nil)
	s.load.MemoryTotalTokens = 10_000_000
	// On a loaded machine, reading 4 MB takes longer than the body timeout of
	// 300 ms that other tests use.
	f := startGateway(t, "[callers]\naddress = 127.0.0.1:0\nbody_timeout = 5s\n", s)
	body := `{"model":"m1","messages":[{"role":"user","content":"` + strings.Repeat("word ", promptBytes/5) + `"}]}`
	ctx, cancel := context.WithCancel(t.Context())
	before := heapBytes()
	done := make(chan struct{}, prompts)
	for range prompts {
		go func() {
			response, err := http.DefaultClient.Do(f.request("POST", chatPath, body, nil).WithContext(ctx))
			if err == nil {
				response.Body.Close()
			}
			done <- struct{}{}
		}()
	}
	eventually(t, "offers of all prompts", func() bool { return s.offerCount() == prompts })
	each := (heapBytes() - before) / prompts
	t.Logf("%d bytes of heap for a body of %d bytes", each, len(body))
	if each > 2*int64(len(body)) {
		t.Errorf("a waiting prompt uses %d bytes of heap, want at most %d", each, 2*len(body))
	}
	cancel()
	for range prompts {
		<-done
	}
}
