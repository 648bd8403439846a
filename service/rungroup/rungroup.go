// Package rungroup runs the long-lived tasks of a process and stops all of them when
// the first one returns.
package rungroup

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

// Group is a set of tasks that stop together.
type Group struct{ group run.Group }

// Add adds a task that runs until its context is cancelled. The name prefixes the
// task's error.
func (g *Group) Add(name string, task func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.group.Add(func() error {
		err := task(ctx)
		if err != nil && ctx.Err() == nil {
			return eris.Wrap(err, name)
		}
		return nil
	}, func(error) { cancel() })
}

// AddSignalHandler adds a task that calls drain on SIGINT or SIGTERM and stops the
// group after drain has returned. A SIGINT during the drain cancels the context of drain;
// a further SIGTERM does not, since a supervisor may send it more than once. The signals are
// caught from this call on, before any task of the group runs, and Run must follow.
func (g *Group) AddSignalHandler(drain func(ctx context.Context)) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	g.Add("signals", func(ctx context.Context) error {
		defer signal.Stop(signals)
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		drainCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			for {
				select {
				case s := <-signals:
					if s == syscall.SIGINT {
						cancel()
					}
				case <-drainCtx.Done():
					return
				}
			}
		}()
		drain(drainCtx)
		return nil
	})
}

// Run runs all tasks and returns the error of the first one that returned.
func (g *Group) Run() error { return g.group.Run() }
