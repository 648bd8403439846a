// Package logging sets up klog and defines the field names of structured log lines.
// Prompt text and authentication tokens are never logged.
package logging

import (
	"flag"
	"strconv"

	"k8s.io/klog/v2"
)

// Field names of structured log lines.
const (
	FieldRequestID      = "request_id"
	FieldAttempt        = "attempt"
	FieldAccount        = "account"
	FieldEndpoint       = "endpoint"
	FieldConfigRevision = "config_revision"
	FieldVerdict        = "verdict"
	FieldReason         = "reason"
	FieldZone           = "zone"
	FieldInvariant      = "invariant"
)

// Config contains the log settings.
type Config struct {
	Verbosity int `ini:"verbosity" default:"0" min:"0" max:"9" help:"detail of the log; 2 logs every request"`
}

// Setup configures klog to write to standard error with the given verbosity.
func Setup(c Config) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("logtostderr", "true"); err != nil {
		return err
	}
	return flags.Set("v", strconv.Itoa(c.Verbosity))
}
