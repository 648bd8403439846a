package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// watchHosts polls the host list. On errors, the previous list remains in use.
func (l *Loop) watchHosts(ctx context.Context) {
	var index uint64
	for {
		update, err := l.config.Hosts.ChangesSince(ctx, index)
		switch {
		case err == nil:
			if update.Full || update.Index != index || len(update.Hosts)+len(update.Removed) > 0 {
				l.send(ctx, hostsChanged{update})
			}
			index = update.Index
		case ctx.Err() == nil:
			klog.ErrorS(err, "failed to read host list")
		}
		if !sleep(ctx, l.config.HostPollInterval) {
			return
		}
	}
}

func (l *Loop) watchConfig(ctx context.Context) {
	for {
		// The channel is obtained before the control goroutine reads Current, so
		// that no change in between is missed.
		changed := l.config.Source.Changed()
		l.send(ctx, configChanged{})
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// sleep waits for d and returns false if ctx is done earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
