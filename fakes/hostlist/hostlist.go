// Package hostlist is a small fake of the platform's host list, which can lag
// behind the true state and be wrong.
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

// Switches is the behaviour that can change while the list runs.
type Switches struct {
	// Lag is how much later than the truth the list is.
	Lag server.Duration `json:"lag"`
	// HiddenHosts hosts are missing, and Wrong hosts have another state.
	HiddenHosts []string                  `json:"hidden"`
	WrongStates map[string]hostlist.State `json:"wrong"`
	// Outage breaks every connection, Delay slows down each answer.
	Outage bool            `json:"outage"`
	Delay  server.Duration `json:"delay"`
}

// change is one entry of the log: a host, a removed host, or neither after a
// change of the switches.
type change struct {
	at      time.Time
	host    hostlist.Host
	removed string
	all     bool
}

// List is the fake. Its methods are safe for concurrent use.
type List struct {
	mu       sync.Mutex
	switches Switches
	log      []change
}

// New returns a list with the hosts, visible without a lag.
func New(hosts []hostlist.Host, switches Switches) *List {
	l := &List{switches: switches}
	for _, h := range hosts {
		l.log = append(l.log, change{host: h})
	}
	return l
}

// Switches returns the switches in force.
func (l *List) Switches() Switches {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.switches
}

// SetSwitches changes the switches; the next answer holds all hosts.
func (l *List) SetSwitches(s Switches) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.switches = s
	// The entry is as old as the newest one, so that the log stays in order and
	// takes effect at once when that one is visible.
	var at time.Time
	if n := len(l.log); n > 0 {
		at = l.log[n-1].at
	}
	l.log = append(l.log, change{at: at, all: true})
	return nil
}

// Put adds or changes a host.
func (l *List) Put(h hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log = append(l.log, change{at: time.Now(), host: h})
}

// Remove removes a host.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log = append(l.log, change{at: time.Now(), removed: name})
}

// UpdateSince returns what a reader with the index sees.
func (l *List) UpdateSince(index uint64) hostlist.Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := l.log
	limit := time.Now().Add(-time.Duration(l.switches.Lag))
	for len(visible) > 0 && visible[len(visible)-1].at.After(limit) {
		visible = visible[:len(visible)-1]
	}
	update := hostlist.Update{Index: uint64(len(visible)), Hosts: []hostlist.Host{}, Removed: []string{}}
	update.Full = index == 0 || index > update.Index
	if !update.Full {
		update.Full = slices.ContainsFunc(visible[index:], func(c change) bool { return c.all })
	}
	if update.Full {
		index = 0
	}
	l.collect(&update, visible[index:])
	return update
}

func (l *List) collect(update *hostlist.Update, changes []change) {
	latest := map[string]change{}
	for _, c := range changes {
		if !c.all {
			latest[c.host.Name+c.removed] = c
		}
	}
	for name, c := range latest {
		switch {
		case slices.Contains(l.switches.HiddenHosts, name):
		case c.removed != "" && !update.Full:
			update.Removed = append(update.Removed, name)
		case c.removed == "":
			if wrong, ok := l.switches.WrongStates[name]; ok {
				c.host.State = wrong
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

// Handler returns the list's HTTP interface with its control endpoint.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", l.serve)
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

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
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
