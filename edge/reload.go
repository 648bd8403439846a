package main

import (
	"context"
	"reflect"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/edge/config"
	"siskinstand.example/edge/control"
)

// settingsPollInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

func retryLimits(s config.Settings) control.Limits {
	return control.Limits{RetryShare: s.Bounds.RetryShare, RetrySlack: s.Bounds.RetrySlack}
}

// watchSettings reads the settings again on SIGHUP and when they have changed.
func (d *edgeDaemon) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current := d.settings
	failed := ""
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-reloadSignals:
			asked = true
		case <-ticker.C:
		}
		next, err := d.reload()
		if err != nil {
			// A file that stays wrong is reported once.
			if asked || err.Error() != failed {
				klog.ErrorS(err, "settings not reloaded, the old ones stay in force")
			}
			failed = err.Error()
			continue
		}
		failed = ""
		if asked || !reflect.DeepEqual(current, next) {
			d.applySettings(ctx, current, next, asked)
			current = next
		}
	}
}

// applySettings takes over what can change while the process runs.
func (d *edgeDaemon) applySettings(ctx context.Context, old, next config.Settings, asked bool) {
	d.server.SetKeyAge(next.Bounds.KeyAge)
	if err := d.loop.SetLimits(ctx, retryLimits(next)); err != nil {
		return // the process is ending
	}
	var level klog.Level
	if err := level.Set(strconv.Itoa(next.Log.Verbosity)); err != nil {
		klog.ErrorS(err, "log verbosity not changed")
	}
	// The other sections name addresses and sizes that are fixed at the start.
	old.Bounds, old.Log = next.Bounds, next.Log
	klog.InfoS("settings reloaded", "by_signal", asked, "restart_needed", !reflect.DeepEqual(old, next))
}
