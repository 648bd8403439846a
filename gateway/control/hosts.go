package control

import (
	"context"

	"siskinstand.example/adapters/hostlist"
)

// HostList reads the host list.
type HostList interface {
	// ChangesSince returns the changes after the given index. Index 0 returns all hosts.
	ChangesSince(ctx context.Context, index uint64) (hostlist.Update, error)
}
