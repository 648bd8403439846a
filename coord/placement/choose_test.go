package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/placement/placementtest"
)

// fleet returns idle replicas in the order in which they write for short prompts.
func fleet(n int) []Candidate {
	nodes := make([]Candidate, n)
	for i := range nodes {
		nodes[i] = Candidate{ID: fmt.Sprintf("r%d", i), Slots: 16}
	}
	slices.SortFunc(nodes, func(a, b Candidate) int {
		if Rank(a.ID) < Rank(b.ID) {
			return -1
		}
		return 1
	})
	return nodes
}

const (
	shortGap  = 200 * time.Millisecond
	middleGap = 500 * time.Millisecond
	longGap   = 800 * time.Millisecond
)

// hashes gives each request of a test another hash, in the same order in each run.
var hashes uint64

func short(tokens int) Request {
	hashes++
	return Request{Service: "m", Hash: Rank(fmt.Sprint(hashes)), PromptTokens: tokens, OutputTokens: 1500, Objective: 300 * time.Millisecond, TimeLeft: 10 * time.Second, MaxGap: shortGap}
}

func middle(tokens int) Request {
	return Request{Service: "m", PromptTokens: tokens, OutputTokens: 1000, Objective: 1500 * time.Millisecond, TimeLeft: 10 * time.Second, MaxGap: middleGap}
}

func long(tokens int) Request {
	return Request{Service: "m", PromptTokens: tokens, OutputTokens: 800, Objective: 3 * time.Second, TimeLeft: 15 * time.Second, MaxGap: longGap}
}

func choose(nodes []Candidate, r Request) (Plan, Refusal) {
	return Choose(NewModel(placementtest.Engine()), DefaultPolicy(), nodes, r)
}

func mustChoose(t *testing.T, nodes []Candidate, r Request) Plan {
	t.Helper()
	p, refusal := choose(nodes, r)
	if refusal.Reason != RefusedNone {
		t.Fatalf("prompt of %d tokens refused: %+v", r.PromptTokens, refusal)
	}
	return p
}

func TestShortPromptsFillReplicasInOrder(t *testing.T) {
	// Guards against short prompts that turn every replica into a writer, so that none reads long ones freely.
	nodes := fleet(14)
	for range 22 {
		p := mustChoose(t, nodes, short(5_000))
		i := slices.IndexFunc(nodes, func(n Candidate) bool { return n.ID == p.Primary })
		nodes[i].Load = nodes[i].Load.Add(Load{Streams: 1, Tokens: 6_500, MaxGap: shortGap})
	}
	var streams []int
	for _, n := range nodes[:4] {
		streams = append(streams, n.Load.Streams)
	}
	if diff := cmp.Diff([]int{22, 0, 0}, []int{streams[0] + streams[1], streams[2], streams[3]}); diff != "" {
		t.Errorf("streams of the first two replicas and of the next ones (-want +got):\n%s", diff)
	}
	if streams[0] == 16 || streams[1] == 16 {
		t.Error("a replica has no slot left for what other hosts send at the same time")
	}
}

func TestHostsWithTheSameViewSpread(t *testing.T) {
	// Guards against 26 hosts that all send their next short prompt to the same replica, before they hear of
	// each other: on 45 replicas of 12 slots one short prompt in six waited for a slot.
	nodes := fleet(45)
	for i := range 12 {
		nodes[i].Slots = 12
		nodes[i].Load = Load{Streams: 8, Tokens: 50_000, MaxGap: shortGap}
	}
	starts := map[string]int{}
	for range 26 {
		starts[mustChoose(t, nodes, short(5_000)).Primary]++
	}
	for id, n := range starts {
		if n > 6 {
			t.Errorf("%d of 26 prompts go to %s", n, id)
		}
	}
}

func TestShortPromptsUseAllSlotsInABurst(t *testing.T) {
	// Guards against short prompts refused while places are free: 150 at once on 14 replicas of 16 slots.
	nodes := fleet(14)
	for range 150 {
		p := mustChoose(t, nodes, short(2_000))
		i := slices.IndexFunc(nodes, func(n Candidate) bool { return n.ID == p.Primary })
		nodes[i].Load = nodes[i].Load.Add(Load{Streams: 1, Tokens: 3_500, MaxGap: shortGap})
	}
}

func TestShortPromptAvoidsAReplicaThatReads(t *testing.T) {
	// Guards against a short prompt that waits behind a long part when the mix turns from long to short.
	nodes := fleet(2)
	nodes[0].Load = Load{QueuedPrefill: 2 * time.Second, HelpedPrompts: 1}
	nodes[1].Load = Load{Streams: 14, MaxGap: shortGap, Tokens: 90_000}
	if p := mustChoose(t, nodes, short(5_000)); p.Primary != nodes[1].ID {
		t.Errorf("placed at %s, want %s, which has a free slot and reads nothing", p.Primary, nodes[1].ID)
	}
}

func TestMiddlePromptIsReadInSmallParts(t *testing.T) {
	// Guards against a part that stops the short streams of its replica for longer than their objective allows.
	nodes := fleet(14)
	nodes[0].Load = Load{Streams: 8, Tokens: 60_000, MaxGap: shortGap}
	p := mustChoose(t, nodes, middle(45_000))
	if p.Primary != nodes[0].ID {
		t.Errorf("answered by %s, want the replica that writes already", p.Primary)
	}
	if p.PartPrefill > 70*time.Millisecond {
		t.Errorf("parts of %v beside short streams", p.PartPrefill)
	}
}

func TestLargePromptIsInTimeOnAnIdleFleet(t *testing.T) {
	// Guards against large prompts read by few replicas: half a million tokens take 13 s on one.
	p := mustChoose(t, fleet(14), long(430_000))
	if p.TimeToFirstEvent > 3*time.Second || len(p.Helpers) < 8 {
		t.Errorf("first event after %v with %d helpers", p.TimeToFirstEvent, len(p.Helpers))
	}
}

func TestLargePromptWaitsForReaders(t *testing.T) {
	// Guards against a large part on top of another one: the older part would starve.
	nodes := fleet(14)
	for i := range nodes {
		nodes[i].Load = Load{HelpedPrompts: 1, QueuedPrefill: 400 * time.Millisecond}
	}
	if p, r := choose(nodes, long(210_000)); !r.CanWait {
		t.Errorf("placed at %q or refused for good: %+v", p.Primary, r)
	}
}

func TestLargePromptIsRefusedAtOnceUnderOverload(t *testing.T) {
	// Guards against a prompt that is held although it can't be in time.
	nodes := fleet(14)
	for i := range nodes {
		nodes[i].Load = Load{HelpedPrompts: 1, QueuedPrefill: 6 * time.Second}
	}
	_, r := choose(nodes, long(210_000))
	if r.CanWait || r.Reason != RefusedTooLate || r.RetryAfter <= 0 {
		t.Errorf("refusal %+v, want too_late at once with a time to come back", r)
	}
}

func TestLargePromptLeavesReplicasToShortOnes(t *testing.T) {
	// Guards against one large prompt that takes all replicas right after a restart, when no short stream
	// shows yet where short prompts go: 40 of them waited for 1.3 s behind it.
	nodes := fleet(7)
	p := mustChoose(t, nodes, long(350_000))
	for _, id := range append([]string{p.Primary}, helperIDs(p)...) {
		i := slices.IndexFunc(nodes, func(n Candidate) bool { return n.ID == id })
		nodes[i].Load = Load{QueuedPrefill: p.PartPrefill, HelpedPrompts: 1}
	}
	if p := mustChoose(t, nodes, short(4_000)); p.TimeToFirstEvent > 210*time.Millisecond {
		t.Errorf("the short prompt's first event comes after %v", p.TimeToFirstEvent)
	}
}

func TestLargePromptKeepsOffShortStreams(t *testing.T) {
	// Guards against large parts at replicas whose short streams they would stop.
	nodes := fleet(6)
	for i := range 3 {
		nodes[i].Load = Load{Streams: 5, Tokens: 30_000, MaxGap: shortGap}
	}
	p := mustChoose(t, nodes, long(150_000))
	for _, id := range append([]string{p.Primary}, helperIDs(p)...) {
		if i := slices.IndexFunc(nodes, func(n Candidate) bool { return n.ID == id }); i < 3 {
			t.Errorf("%s reads a part of %v beside short streams", id, p.PartPrefill)
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

func TestPromptBeyondOneMemory(t *testing.T) {
	t.Run("reserved at helpers", func(t *testing.T) {
		// Guards against a prompt whose memory is not set aside whole.
		nodes := fleet(14)
		p := mustChoose(t, nodes, long(600_000))
		held := 0
		for _, tokens := range p.ReservedTokens {
			held += tokens
		}
		memory := int(0.97 * 450_000)
		if held+memory < 600_800 || held > 600_800 {
			t.Errorf("%d tokens held beside the first replica's %d", held, memory)
		}
		for id := range p.ReservedTokens {
			if !slices.Contains(helperIDs(p), id) {
				t.Errorf("memory held at %s, which does not help", id)
			}
		}
	})
	t.Run("never possible", func(t *testing.T) {
		// Guards against a prompt that comes back again and again though the pool can't hold it.
		if _, r := choose(fleet(2), long(990_000)); r.Reason != RefusedTooLarge || r.CanWait || r.RetryAfter != 0 {
			t.Errorf("refusal %+v, want too_large without a time to come back", r)
		}
	})
}

func TestOlderPromptGoesFirst(t *testing.T) {
	// Guards against two hosts that give the same free replicas to waiting prompts at once.
	r := long(200_000)
	r.OlderPromptQueued = true
	if _, refusal := choose(fleet(14), r); !refusal.CanWait || !refusal.BlockedByOlderPrompt {
		t.Errorf("refusal %+v, want a wait for the older prompt", refusal)
	}
}
