package hostlist

import (
	"encoding/json"
	"testing"
)

const validUpdate = `{"index":3,"hosts":[{"name":"h1","zone":"z1","role":"endpoint","address":"a:1","state":"live"}],"removed":["h0"]}`

func FuzzUpdate(f *testing.F) {
	f.Add([]byte(validUpdate))
	f.Add([]byte(`{"hosts":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var update Update
		if json.Unmarshal(data, &update) != nil || update.validate(10) != nil {
			return
		}
		if len(update.Hosts) > 10 {
			t.Fatal("more than 10 hosts accepted, want an error for the limit of 10")
		}
		for _, h := range update.Hosts {
			if h.Name == "" || h.Address == "" || (h.State != StateLive && h.State != StateLeaving) {
				t.Fatalf("accepted invalid host %+v", h)
			}
		}
	})
}

// Guards against an invalid host that is skipped or accepted instead of rejecting
// the whole update.
func TestInvalidHostRejectsWholeUpdate(t *testing.T) {
	var valid Update
	if err := json.Unmarshal([]byte(validUpdate), &valid); err != nil {
		t.Fatal(err)
	}
	if err := valid.validate(2); err != nil {
		t.Fatal(err)
	}
	validHost := valid.Hosts[0]
	for name, change := range map[string]func(h *Host){
		"name":    func(h *Host) { h.Name = "" },
		"zone":    func(h *Host) { h.Zone = "" },
		"address": func(h *Host) { h.Address = "" },
		"state":   func(h *Host) { h.State = "gone" },
		"role":    func(h *Host) { h.Role = "" },
		"twice":   func(*Host) {},
	} {
		invalidHost := validHost
		change(&invalidHost)
		if err := (Update{Hosts: []Host{validHost, invalidHost}}).validate(2); err == nil {
			t.Errorf("%s: update with an invalid host accepted, want an error", name)
		}
	}
	if err := valid.validate(1); err == nil {
		t.Error("update with 2 hosts accepted, want an error for the limit of 1")
	}
}
