// Package hostlist is a fake of the platform's host list, which can lag behind the
// actual state of the hosts and report wrong states.
package hostlist

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/fakes/server"
)

// Switches holds the settings that can be changed while the list runs.
type Switches struct {
	// Lag is the delay after which a change becomes visible in the list.
	Lag server.Duration `json:"lag"`
	// HiddenHosts names hosts that are missing from the list. WrongStates maps hosts
	// to the state that the list reports instead of the actual one.
	HiddenHosts []string                  `json:"hidden"`
	WrongStates map[string]hostlist.State `json:"wrong"`
	// Outage aborts every connection. Delay is added to the time of every call.
	Outage bool            `json:"outage"`
	Delay  server.Duration `json:"delay"`
}

// change is an entry of the change log: an added or changed host, the name of a
// removed host, or, with fullUpdate, a change of the switches.
type change struct {
	recordedAt time.Time
	host       hostlist.Host
	removed    string
	fullUpdate bool
}

// List is the fake host list. Its methods are safe for concurrent use.
type List struct {
	mu        sync.Mutex
	switches  Switches
	changeLog []change
}

// New returns a list of hosts, which are visible without a lag.
func New(hosts []hostlist.Host, switches Switches) *List {
	l := &List{switches: switches}
	for _, h := range hosts {
		l.changeLog = append(l.changeLog, change{host: h})
	}
	return l
}

// Switches returns the current switches.
func (l *List) Switches() Switches {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.switches
}

// SetSwitches replaces the switches. The next update contains all hosts; if the
// newest change is still hidden by Lag, a later update does.
func (l *List) SetSwitches(s Switches) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.switches = s
	// The entry gets the time of the newest one. This keeps the log in order, and
	// makes the entry take effect immediately if the newest one is visible.
	var at time.Time
	if n := len(l.changeLog); n > 0 {
		at = l.changeLog[n-1].recordedAt
	}
	l.changeLog = append(l.changeLog, change{recordedAt: at, fullUpdate: true})
	return nil
}

// Put adds or replaces a host.
func (l *List) Put(h hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changeLog = append(l.changeLog, change{recordedAt: time.Now(), host: h})
}

// Remove records the removal of a host, which becomes visible after Switches.Lag.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changeLog = append(l.changeLog, change{recordedAt: time.Now(), removed: name})
}

// UpdateSince returns the visible changes after an index, or all hosts if the
// index is 0, in the future or from before a change of the switches.
func (l *List) UpdateSince(index uint64) hostlist.Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := l.changeLog
	visibleUntil := time.Now().Add(-time.Duration(l.switches.Lag))
	for len(visible) > 0 && visible[len(visible)-1].recordedAt.After(visibleUntil) {
		visible = visible[:len(visible)-1]
	}
	update := hostlist.Update{Index: uint64(len(visible)), Hosts: []hostlist.Host{}, Removed: []string{}}
	update.Full = index == 0 || index > update.Index
	if !update.Full {
		update.Full = slices.ContainsFunc(visible[index:], func(c change) bool { return c.fullUpdate })
	}
	if update.Full {
		index = 0
	}
	l.collectHosts(&update, visible[index:])
	return update
}

// collectHosts adds the hosts and removals of changes to an update.
func (l *List) collectHosts(update *hostlist.Update, changes []change) {
	latest := map[string]change{}
	for _, c := range changes {
		if !c.fullUpdate {
			latest[c.host.Name+c.removed] = c
		}
	}
	for name, c := range latest {
		switch {
		case slices.Contains(l.switches.HiddenHosts, name):
		case c.removed != "" && !update.Full:
			update.Removed = append(update.Removed, name)
		case c.removed == "":
			if state, ok := l.switches.WrongStates[name]; ok {
				c.host.State = state
			}
			update.Hosts = append(update.Hosts, c.host)
		}
	}
	slices.Sort(update.Removed)
	slices.SortFunc(update.Hosts, func(a, b hostlist.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// Handler returns the list's HTTP API, including the control endpoint.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", l.hostsHandler)
	control := server.ControlHandler(l.Switches, l.SetSwitches)
	mux.HandleFunc("GET /control", control)
	mux.HandleFunc("POST /control", control)
	mux.HandleFunc("POST /control/hosts", func(w http.ResponseWriter, r *http.Request) {
		var host hostlist.Host
		if server.ReadJSON(w, r, &host) {
			l.Put(host)
			server.WriteJSON(w, struct{}{})
		}
	})
	mux.HandleFunc("DELETE /control/hosts/{name}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("name"))
		server.WriteJSON(w, struct{}{})
	})
	return mux
}

func (l *List) hostsHandler(w http.ResponseWriter, r *http.Request) {
	switches := l.Switches()
	if switches.Outage {
		panic(server.ErrAbortConnection)
	}
	time.Sleep(time.Duration(switches.Delay))
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("index is not a number: %v", err), http.StatusBadRequest)
		return
	}
	server.WriteJSON(w, l.UpdateSince(index))
}
