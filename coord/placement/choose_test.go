package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/placement/placementtest"
)

// idleReplicas returns n idle replicas in rank order.
func idleReplicas(n int) []Candidate {
	replicas := make([]Candidate, n)
	for i := range replicas {
		replicas[i] = Candidate{ID: fmt.Sprintf("r%d", i), Slots: 16}
	}
	slices.SortFunc(replicas, func(a, b Candidate) int {
		if HashID(a.ID) < HashID(b.ID) {
			return -1
		}
		return 1
	})
	return replicas
}

const (
	shortMaxGap = 200 * time.Millisecond
	longMaxGap  = 500 * time.Millisecond
	largeMaxGap = 800 * time.Millisecond
)

// requestCount gives each request a different hash, reproducible between runs.
var requestCount uint64

func shortRequest(tokens int) Request {
	requestCount++
	return Request{Service: "m", Hash: HashID(fmt.Sprint(requestCount)), PromptTokens: tokens, OutputTokens: 1500, Objective: 300 * time.Millisecond, TimeLeft: 10 * time.Second, MaxGap: shortMaxGap}
}

func longRequest(tokens int) Request {
	return Request{Service: "m", PromptTokens: tokens, OutputTokens: 1000, Objective: 1500 * time.Millisecond, TimeLeft: 10 * time.Second, MaxGap: longMaxGap}
}

func largeRequest(tokens int) Request {
	return Request{Service: "m", PromptTokens: tokens, OutputTokens: 800, Objective: 3 * time.Second, TimeLeft: 15 * time.Second, MaxGap: largeMaxGap}
}

func choose(replicas []Candidate, r Request) (Plan, Refusal) {
	return Choose(NewModel(placementtest.Engine()), DefaultPolicy(), replicas, r)
}

func mustChoose(t *testing.T, replicas []Candidate, r Request) Plan {
	t.Helper()
	p, refusal := choose(replicas, r)
	if refusal.Reason != RefusedNone {
		t.Fatalf("prompt of %d tokens refused: %+v", r.PromptTokens, refusal)
	}
	return p
}

func TestShortPromptsFillReplicasInOrder(t *testing.T) {
	// Guards against short prompts spreading over every replica, which would
	// leave none free to prefill long prompts.
	replicas := idleReplicas(14)
	for range 22 {
		p := mustChoose(t, replicas, shortRequest(5_000))
		i := slices.IndexFunc(replicas, func(n Candidate) bool { return n.ID == p.Primary })
		replicas[i].Load = replicas[i].Load.Add(Load{Streams: 1, Tokens: 6_500, MaxGap: shortMaxGap})
	}
	var streams []int
	for _, n := range replicas[:4] {
		streams = append(streams, n.Load.Streams)
	}
	if diff := cmp.Diff([]int{22, 0, 0}, []int{streams[0] + streams[1], streams[2], streams[3]}); diff != "" {
		t.Errorf("streams of the first two replicas and of the next ones (-want +got):\n%s", diff)
	}
	if streams[0] == 16 || streams[1] == 16 {
		t.Error("a replica has no free slot for the requests that other hosts send at the same time")
	}
}

func TestHostsWithSameViewSpreadPrompts(t *testing.T) {
	// Guards against 26 hosts all sending their next short prompt to the same
	// replica before they learn of each other's: with 45 replicas of 12 slots,
	// one short prompt in six had to wait for a slot.
	replicas := idleReplicas(45)
	for i := range 12 {
		replicas[i].Slots = 12
		replicas[i].Load = Load{Streams: 8, Tokens: 50_000, MaxGap: shortMaxGap}
	}
	starts := map[string]int{}
	for range 26 {
		starts[mustChoose(t, replicas, shortRequest(5_000)).Primary]++
	}
	for id, n := range starts {
		if n > 6 {
			t.Errorf("%d of 26 prompts go to %s, want at most 6", n, id)
		}
	}
}

func TestShortPromptsUseAllSlotsInABurst(t *testing.T) {
	// Guards against short prompts being refused while slots are free: 150 at
	// once on 14 replicas of 16 slots.
	replicas := idleReplicas(14)
	for range 150 {
		p := mustChoose(t, replicas, shortRequest(2_000))
		i := slices.IndexFunc(replicas, func(n Candidate) bool { return n.ID == p.Primary })
		replicas[i].Load = replicas[i].Load.Add(Load{Streams: 1, Tokens: 3_500, MaxGap: shortMaxGap})
	}
}

func TestShortPromptAvoidsPrefillingReplica(t *testing.T) {
	// Guards against a short prompt queued behind a long prefill when the load
	// changes from long to short prompts.
	replicas := idleReplicas(2)
	replicas[0].Load = Load{QueuedPrefill: 2 * time.Second, HelpedPrompts: 1}
	replicas[1].Load = Load{Streams: 14, MaxGap: shortMaxGap, Tokens: 90_000}
	if p := mustChoose(t, replicas, shortRequest(5_000)); p.Primary != replicas[1].ID {
		t.Errorf("placed at %s, want %s, which has a free slot and no queued prefill", p.Primary, replicas[1].ID)
	}
}

func TestLongPromptIsSplitIntoSmallParts(t *testing.T) {
	// Guards against a prefill part that stalls the short streams of its
	// replica for longer than their MaxGap allows.
	replicas := idleReplicas(14)
	replicas[0].Load = Load{Streams: 8, Tokens: 60_000, MaxGap: shortMaxGap}
	p := mustChoose(t, replicas, longRequest(45_000))
	if p.Primary != replicas[0].ID {
		t.Errorf("primary is %s, want the replica that is already decoding", p.Primary)
	}
	if p.PartPrefill > 70*time.Millisecond {
		t.Errorf("prefill parts take %v beside short streams, want at most 70ms", p.PartPrefill)
	}
}

func TestLargePromptMeetsObjectiveOnIdleReplicas(t *testing.T) {
	// Guards against large prompts prefilled by too few replicas: half a
	// million tokens take 13 s on one.
	p := mustChoose(t, idleReplicas(14), largeRequest(430_000))
	if p.TimeToFirstEvent > 3*time.Second || len(p.Helpers) < 8 {
		t.Errorf("first event after %v with %d helpers, want at most 3s and at least 8", p.TimeToFirstEvent, len(p.Helpers))
	}
}

func TestLargePromptWaitsForIdleReplicas(t *testing.T) {
	// Guards against a large part queued on top of another one, which would
	// starve the older part.
	replicas := idleReplicas(14)
	for i := range replicas {
		replicas[i].Load = Load{HelpedPrompts: 1, QueuedPrefill: 400 * time.Millisecond}
	}
	if p, r := choose(replicas, largeRequest(210_000)); !r.CanWait {
		t.Errorf("primary %q, refusal %+v; want the prompt to wait", p.Primary, r)
	}
}

func TestLargePromptIsRefusedAtOnceUnderOverload(t *testing.T) {
	// Guards against queueing a prompt whose first event would come later than
	// LongLateFactor times its objective.
	replicas := idleReplicas(14)
	for i := range replicas {
		replicas[i].Load = Load{HelpedPrompts: 1, QueuedPrefill: 6 * time.Second}
	}
	_, r := choose(replicas, largeRequest(210_000))
	if r.CanWait || r.Reason != RefusedTooLate || r.RetryAfter <= 0 {
		t.Errorf("refusal %+v, want an immediate too_late with a retry time", r)
	}
}

func TestLargePromptLeavesReplicasForShortPrompts(t *testing.T) {
	// Guards against one large prompt taking all replicas right after a
	// restart, while no stream shows yet which replicas serve short prompts: 40
	// short prompts waited 1.3 s behind it.
	replicas := idleReplicas(7)
	p := mustChoose(t, replicas, largeRequest(350_000))
	for _, id := range append([]string{p.Primary}, helperIDs(p)...) {
		i := slices.IndexFunc(replicas, func(n Candidate) bool { return n.ID == id })
		replicas[i].Load = Load{QueuedPrefill: p.PartPrefill, HelpedPrompts: 1}
	}
	if p := mustChoose(t, replicas, shortRequest(4_000)); p.TimeToFirstEvent > 210*time.Millisecond {
		t.Errorf("the short prompt's first event comes after %v, want at most 210ms", p.TimeToFirstEvent)
	}
}

func TestLargePromptAvoidsShortStreams(t *testing.T) {
	// Guards against large parts at replicas whose short streams they would
	// stall.
	replicas := idleReplicas(6)
	for i := range 3 {
		replicas[i].Load = Load{Streams: 5, Tokens: 30_000, MaxGap: shortMaxGap}
	}
	p := mustChoose(t, replicas, largeRequest(150_000))
	for _, id := range append([]string{p.Primary}, helperIDs(p)...) {
		if i := slices.IndexFunc(replicas, func(n Candidate) bool { return n.ID == id }); i < 3 {
			t.Errorf("%s prefills a part of %v beside short streams, want only replicas without them", id, p.PartPrefill)
		}
	}
}

func helperIDs(p Plan) []string {
	var ids []string
	for _, h := range p.Helpers {
		ids = append(ids, h.ID)
	}
	return ids
}

func TestPromptExceedingReplicaMemory(t *testing.T) {
	t.Run("reserved at helpers", func(t *testing.T) {
		// Guards against reserving only part of the memory that the prompt
		// needs.
		replicas := idleReplicas(14)
		p := mustChoose(t, replicas, largeRequest(600_000))
		reserved := 0
		for _, tokens := range p.ReservedTokens {
			reserved += tokens
		}
		memory := int(0.97 * 450_000)
		if reserved+memory < 600_800 || reserved > 600_800 {
			t.Errorf("%d tokens reserved at helpers beside the primary's %d, want 600800 in all", reserved, memory)
		}
		for id := range p.ReservedTokens {
			if !slices.Contains(helperIDs(p), id) {
				t.Errorf("memory reserved at %s, which is not a helper", id)
			}
		}
	})
	t.Run("never possible", func(t *testing.T) {
		// Guards against endless retries of a prompt that the pool can never
		// hold.
		if _, r := choose(idleReplicas(2), largeRequest(990_000)); r.Reason != RefusedTooLarge || r.CanWait || r.RetryAfter != 0 {
			t.Errorf("refusal %+v, want too_large without a retry time", r)
		}
	})
}

func TestOlderPromptGoesFirst(t *testing.T) {
	// Guards against two hosts giving the same free replicas to queued prompts
	// at the same time.
	r := largeRequest(200_000)
	r.OlderPromptQueued = true
	if _, refusal := choose(idleReplicas(14), r); !refusal.CanWait || !refusal.BlockedByOlderPrompt {
		t.Errorf("refusal %+v, want it to wait for the older prompt", refusal)
	}
}
