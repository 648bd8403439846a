package control

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/platform"
)

const delaysConfiguration = `"delays":[{"from":"z1","target_version":"z2","delay_ms":3.5}],"slots"`

type fixedConnections map[string]*atomic.Int64

func (f fixedConnections) IdleUntil(address string) *atomic.Int64 {
	if f[address] == nil {
		f[address] = &atomic.Int64{}
	}
	return f[address]
}

func TestZoneDelaysAndConnections(t *testing.T) {
	// Guards against delays of an old configuration, delays that count although they are
	// switched off, and a connection that counts after its time.
	l := testLoop(t, replica("a", "llm", "z2"), replica("b", "llm", "z1"), replica("c", "app", "z2"))
	connections := fixedConnections{}
	l.config.Zone, l.config.ZoneDelays, l.config.Connections = "z1", true, connections
	req := largeRequest(l, t)
	delays := func() map[string]time.Duration {
		found := map[string]time.Duration{}
		for _, c := range l.candidates(time.Second, req) {
			found[c.ID] = c.Delay
		}
		return found
	}
	if d := delays(); d["a"] != 0 {
		t.Errorf("delay without a configured one is %v", d["a"])
	}
	c, err := platform.DecodeConfig([]byte(strings.Replace(testConfiguration, `"slots"`, delaysConfiguration, 1)))
	if err != nil {
		t.Fatal(err)
	}
	l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangeConfig, Config: c}}})
	if d := delays(); d["a"] != 7*time.Millisecond || d["b"] != 0 {
		t.Errorf("delays are %v, want 7ms to a and none to b", d)
	}
	if d := roundTrip(l.View().Catalog, "app", "z1", "z2"); d != 7*time.Millisecond {
		t.Errorf("delay to the plain service is %v, want that of the other service", d)
	}
	connections["a:1"].Store(int64(1500 * time.Millisecond))
	for at, want := range map[time.Duration]bool{time.Second: true, 2 * time.Second: false} {
		for _, candidate := range l.candidates(at, req) {
			if candidate.Connected != (want && candidate.ID == "a") {
				t.Errorf("%v: replica %s is connected: %v", at, candidate.ID, candidate.Connected)
			}
		}
	}
	l.config.ZoneDelays, l.ranked.services = false, nil
	if d := delays(); d["a"] != 0 {
		t.Errorf("delay with zone_delays off is %v", d["a"])
	}
}
