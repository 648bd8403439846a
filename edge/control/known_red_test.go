//go:build known_red

package control

import (
	"testing"
	"time"

	"siskinstand.example/coord/suspect"
)

// Guards against the clearing of a part that crashes replicas by a request that had begun
// to receive its answer before the part turned deadly.
func TestFinishAfterCrashes(t *testing.T) {
	const deadly suspect.Part = 9
	l := testLoop(t, llmReplicas()...)
	l.finish(0, l.place(t, 0, requestWithParts(l, t, 1, deadly)))
	early := l.place(t, 0, requestWithParts(l, t, 2, deadly))
	l.handle(50*time.Millisecond, responseStarted{early.ID})
	for i := range 4 {
		now := time.Duration(i+1) * 600 * time.Millisecond
		l.parts.RecordCrash(partTime(now), suspect.CrashID(i+1), [][]suspect.Part{{deadly}})
	}
	l.checkPartStatus(t, 3*time.Second, deadly, suspect.StatusRefuse)
	l.finish(3*time.Second, early)
	l.checkPartStatus(t, 3*time.Second, deadly, suspect.StatusRefuse)
}
