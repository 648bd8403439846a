// Package hostlist is a client of a list of hosts,
// which lags behind the true state.
package hostlist

// State is what the platform says of a host.
type State string

// The states of a host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one row of the list. Services are the labels that pools choose by.
type Host struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Role        Role   `json:"role"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
}

// Role is the program of siskinstand on a host.
type Role string

// The roles of a host.
const (
	RoleGateway  Role = "gateway"
	RoleEndpoint Role = "endpoint"
)

// Update holds the hosts that changed since an index.
type Update struct {
	Index   uint64   `json:"index"`
	Full    bool     `json:"full"`
	Hosts   []Host   `json:"hosts"`
	Removed []string `json:"removed"`
}
