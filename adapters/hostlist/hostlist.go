// Package hostlist is a client for the platform's host list. The list is
// eventually consistent: it lags behind the actual state of the hosts.
package hostlist

// State is the state of a host as reported by the platform.
type State string

// The states of a host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list. Pools select their hosts by Service.
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

// Role identifies the siskinstand program that runs on a host.
type Role string

// The roles of a host.
const (
	RoleGateway  Role = "gateway"
	RoleEndpoint Role = "endpoint"
)

// Update contains the hosts that changed after an index of the list.
type Update struct {
	// Index is the index of the list after the update.
	Index uint64 `json:"index"`
	// Full is true if Hosts contains all hosts and not only changes.
	Full  bool   `json:"full"`
	Hosts []Host `json:"hosts"`
	// Removed contains the names of removed hosts.
	Removed []string `json:"removed"`
}
