package placement

import (
	"testing"
	"time"

	"siskinstand.example/coord/placement/placementtest"
)

func TestModel(t *testing.T) {
	m := NewModel(placementtest.Engine())
	t.Run("prefill time", func(t *testing.T) {
		// Guards against omitting the token pairs or counting them twice. The
		// expected times are the users' figures for one replica.
		for tokens, want := range map[int]time.Duration{5_000: 21 * time.Millisecond, 45_000: 270 * time.Millisecond, 210_000: 2840 * time.Millisecond, 1_000_000: 49_760 * time.Millisecond} {
			placementtest.CheckWithin(t, "one replica", m.PartPrefill(tokens, 1), want, want/50)
			placementtest.CheckWithin(t, "an eighth", m.PartPrefill(tokens, 8), want/8, want/100+time.Millisecond)
		}
	})
	t.Run("first event beside decoding streams", func(t *testing.T) {
		// Guards against a model that prefills one chunk a pass. The times were
		// measured in the users' benchmark.
		for tokens, want := range map[int]time.Duration{1_000: 90 * time.Millisecond, 9_000: 121 * time.Millisecond, 20_480: 177 * time.Millisecond, 49_000: 434 * time.Millisecond} {
			placementtest.CheckWithin(t, "first event", m.TimeToFirstEvent(m.PartPrefill(tokens, 1), 0, 8, 60_000), want, want/4)
		}
	})
}
