package daemon

import (
	"context"
	"errors"

	"siskinstand.example/coord/claim"
)

// UnavailableClaimLog is the claim.Registry of a gateway without a key-value
// store. Every claim fails, so that non-repeatable calls are refused as not run.
type UnavailableClaimLog struct{}

var errNoStore = errors.New("no key-value store is configured")

// Claim always returns an error.
func (UnavailableClaimLog) Claim(context.Context, claim.Key, string, uint64) (claim.Record, error) {
	return claim.Record{}, errNoStore
}

// Release always returns an error.
func (UnavailableClaimLog) Release(context.Context, claim.Key, string) error { return errNoStore }

// Complete always returns an error.
func (UnavailableClaimLog) Complete(context.Context, claim.Key, string, claim.Result) error {
	return errNoStore
}
