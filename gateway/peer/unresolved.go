package peer

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/claim"
)

// Bounds of the claims given up without an answer.
const (
	maxAbandoned   = 1024
	abandonTimeout = 5 * time.Second
	abandonRetry   = time.Second
	// abandonAge ends the attempts. The key is then held until it expires.
	abandonAge = 10 * time.Minute
)

// abandoned is a claim whose outcome was unknown. Its call was refused, so it
// has not run; the release lets the caller use the key again, and a copy of
// the claim that is still on its way no longer takes effect.
type abandoned struct {
	key     claim.Key
	claimID string
	since   time.Time
}

func (n *Node) abandon(key claim.Key, claimID string) {
	select {
	case n.abandoned <- abandoned{key: key, claimID: claimID, since: time.Now()}:
	default:
		klog.InfoS("claim not released, too many wait", "claim", claimID)
	}
}

// releaseAbandoned releases abandoned claims in order until the context ends.
func (n *Node) releaseAbandoned(ctx context.Context) {
	for {
		var a abandoned
		select {
		case <-ctx.Done():
			return
		case a = <-n.abandoned:
		}
		for ctx.Err() == nil && time.Since(a.since) < abandonAge && !n.tryRelease(ctx, a) {
			select {
			case <-ctx.Done():
			case <-time.After(abandonRetry):
			}
		}
	}
}

func (n *Node) tryRelease(ctx context.Context, a abandoned) bool {
	ctx, cancel := context.WithTimeout(ctx, abandonTimeout)
	defer cancel()
	return n.ClaimForwarder().Release(ctx, a.key, a.claimID) == nil
}
