package control

import (
	"context"

	"siskinstand.example/adapters/hostlist"
)

// HostList reads the host list.
type HostList interface {
	// ChangesSince returns what changed after the index; index 0 asks for all hosts.
	ChangesSince(ctx context.Context, index uint64) (hostlist.Update, error)
}
