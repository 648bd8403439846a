package daemon

import (
	"context"
	"errors"

	"siskinstand.example/coord/claim"
)

// UnavailableClaimLog is the book of a gateway without a key-value store. Every claim
// fails, so a call that may not be repeated is refused as not run.
type UnavailableClaimLog struct{}

var errNoStore = errors.New("no key-value store is configured")

// Claim fails.
func (UnavailableClaimLog) Claim(context.Context, claim.Key, string, uint64) (claim.Record, error) {
	return claim.Record{}, errNoStore
}

// Release fails.
func (UnavailableClaimLog) Release(context.Context, claim.Key, string) error { return errNoStore }

// Complete fails.
func (UnavailableClaimLog) Complete(context.Context, claim.Key, string, claim.Result) error {
	return errNoStore
}
