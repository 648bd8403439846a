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

// settingsPollInterval is the time between two checks of the settings file. A changed file
// is reloaded without a signal, too.
const settingsPollInterval = 2 * time.Second

func retryLimits(s config.Settings) control.RetryLimits {
	return control.RetryLimits{Share: s.Bounds.RetryShare, Slack: s.Bounds.RetrySlack}
}

// watchSettings reloads the settings on SIGHUP and when the file has changed.
func (d *edgeDaemon) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current := d.settings
	lastError := ""
	for {
		bySignal := false
		select {
		case <-ctx.Done():
			return nil
		case <-reloadSignals:
			bySignal = true
		case <-ticker.C:
		}
		next, err := d.reload()
		if err != nil {
			// Without a signal, a file that stays invalid is reported only once.
			if bySignal || err.Error() != lastError {
				klog.ErrorS(err, "settings not reloaded, the old ones stay in force")
			}
			lastError = err.Error()
			continue
		}
		lastError = ""
		if bySignal || !reflect.DeepEqual(current, next) {
			d.applySettings(ctx, current, next, bySignal)
			current = next
		}
	}
}

// applySettings applies the settings that can change while the process runs.
func (d *edgeDaemon) applySettings(ctx context.Context, old, next config.Settings, bySignal bool) {
	d.server.SetMaxProofAge(next.Bounds.KeyAge)
	if err := d.loop.SetRetryLimits(ctx, retryLimits(next)); err != nil {
		return // the process is shutting down
	}
	var level klog.Level
	if err := level.Set(strconv.Itoa(next.Log.Verbosity)); err != nil {
		klog.ErrorS(err, "log verbosity not changed")
	}
	// The other sections name addresses and sizes that are fixed at startup.
	old.Bounds, old.Log = next.Bounds, next.Log
	klog.InfoS("settings reloaded", "by_signal", bySignal, "restart_needed", !reflect.DeepEqual(old, next))
}
