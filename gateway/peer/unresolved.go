package peer

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/claim"
)

// Limits on releasing claims with an unknown outcome.
const (
	maxUnresolved        = 1024
	releaseTimeout       = 5 * time.Second
	releaseRetryInterval = time.Second
	// maxUnresolvedAge is the age at which the attempts to release a claim end.
	// Its key then stays claimed until the claim expires.
	maxUnresolvedAge = 10 * time.Minute
)

// unresolvedClaim is a claim whose outcome is unknown. Its call was refused and
// has not run. Releasing the claim lets the caller use the key again, and
// prevents a copy of the claim that is still in flight from taking effect.
type unresolvedClaim struct {
	key      claim.Key
	claimID  string
	queuedAt time.Time
}

// releaseLater queues an unresolved claim for its release. It does not block.
func (n *Node) releaseLater(key claim.Key, claimID string) {
	select {
	case n.unresolved <- unresolvedClaim{key: key, claimID: claimID, queuedAt: time.Now()}:
	default:
		klog.InfoS("release queue is full, dropped the release of an unresolved claim", "claim", claimID)
	}
}

// releaseUnresolved releases unresolved claims in the order of their arrival
// until the context is cancelled.
func (n *Node) releaseUnresolved(ctx context.Context) {
	for {
		var c unresolvedClaim
		select {
		case <-ctx.Done():
			return
		case c = <-n.unresolved:
		}
		for ctx.Err() == nil && time.Since(c.queuedAt) < maxUnresolvedAge && !n.tryRelease(ctx, c) {
			select {
			case <-ctx.Done():
			case <-time.After(releaseRetryInterval):
			}
		}
	}
}

func (n *Node) tryRelease(ctx context.Context, c unresolvedClaim) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	return n.ClaimForwarder().Release(ctx, c.key, c.claimID) == nil
}
