package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/inifile"
	"siskinstand.example/siskinctl/editor"
)

// Exit codes of siskinctl.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnavailable = 6
	exitDiffers     = 7
	exitNotHealthy  = 8
	exitOlderStore  = 9
	exitWarnings    = 10
)

const exitHelp = `
Exit codes:
  0  done
  1  failed for a reason not listed here
  2  command line or settings not valid
  3  tables not valid, nothing was changed
  4  conflict with another change, the edit was not accepted
  5  no answer, the edit may have been accepted
  6  store or fleet not reachable, nothing was changed
  7  diff found differences
  8  status found a process that is behind, unreachable or has an alarm
  9  the store is older than the revision in force, nothing was changed
  10  check --strict found warnings`

var (
	errDiffers    = errors.New("the tables differ")
	errNotHealthy = errors.New("the fleet is not healthy")
)

// usageError reports an invalid command line or invalid settings.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }
func (e *usageError) Unwrap() error { return e.cause }

// unavailableError reports that no gateway answered.
type unavailableError struct{ message string }

func (e *unavailableError) Error() string { return e.message }

// olderStoreError reports that the store has an older revision than the one in
// force, so it lost changes.
type olderStoreError struct{ store, inForce uint64 }

func (e *olderStoreError) Error() string {
	return fmt.Sprintf("not accepted: the store has revision %d, but revision %d is in force; run siskinctl restore", e.store, e.inForce)
}

// hasErrorType reports whether the chain of err contains an error of type T.
func hasErrorType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errInvalidConfig):
		return exitInvalid
	case errors.Is(err, errWarnings):
		return exitWarnings
	case errors.Is(err, errDiffers):
		return exitDiffers
	case errors.Is(err, errNotHealthy):
		return exitNotHealthy
	case hasErrorType[*olderStoreError](err):
		return exitOlderStore
	case hasErrorType[*usageError](err), hasErrorType[*flags.Error](err):
		return exitUsage
	case hasErrorType[*editor.UnknownError](err):
		return exitUnknown
	case hasErrorType[*config.ConflictError](err):
		return exitConflict
	case hasErrorType[*inifile.Error](err):
		return exitInvalid
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrOutcomeUnknown),
		errors.Is(err, context.DeadlineExceeded), hasErrorType[*unavailableError](err):
		return exitUnavailable
	}
	return exitFailed
}
