package peer

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/claim"
	"siskinstand.example/peerpb"
)

// forwardTimeout limits a call to the preferred appender. It is short enough to
// append the claim locally afterwards, while the caller still waits.
const forwardTimeout = 2500 * time.Millisecond

// Outcomes and operations in Claim messages.
const (
	outcomeClaimed  = "claimed"
	outcomeExists   = "exists"
	outcomeDone     = "done"
	outcomeReleased = "released"
	outcomeOK       = "ok"
	outcomeError    = "unavailable"
	opClaim         = "claim"
	opRelease       = "release"
	opResult        = "result"
)

// LocalClaimLog appends claims directly to the store.
type LocalClaimLog interface {
	claim.Registry
	// ClaimFor claims a key on behalf of another process.
	ClaimFor(ctx context.Context, holder string, key claim.Key, claimID string, bodyHash uint64) (claim.Record, error)
}

// ClaimForwarder is a claim.Registry that forwards each claim to the preferred
// appender of its partition, so that claims of several gateways share writes to
// the store. If that gateway is this one, does not respond or cannot confirm the
// claim, the claim is appended locally. Both gateways may append it: entries with
// the same claim ID count as one claim.
type ClaimForwarder struct{ node *Node }

var _ claim.Registry = (*ClaimForwarder)(nil)

// ClaimForwarder returns the claim.Registry of this gateway.
func (n *Node) ClaimForwarder() *ClaimForwarder { return &ClaimForwarder{node: n} }

// Claim claims a key for this process. If it fails, the claim may still have
// taken effect and is therefore released in the background.
func (c *ClaimForwarder) Claim(ctx context.Context, key claim.Key, claimID string, bodyHash uint64) (claim.Record, error) {
	response, err := c.forward(ctx, key, &peerpb.ClaimRequest{ClaimId: claimID, Op: opClaim, BodyHash: bodyHash})
	if err == nil {
		if record, ok := decodeRecord(response); ok {
			return record, nil
		}
	}
	record, err := c.node.ClaimLog.Claim(ctx, key, claimID, bodyHash)
	if err != nil {
		c.node.releaseLater(key, claimID)
	}
	return record, err
}

// Release withdraws a claim whose call is known not to have run.
func (c *ClaimForwarder) Release(ctx context.Context, key claim.Key, claimID string) error {
	response, err := c.forward(ctx, key, &peerpb.ClaimRequest{ClaimId: claimID, Op: opRelease})
	if err == nil && response.GetOutcome() == outcomeOK {
		return nil
	}
	return c.node.ClaimLog.Release(ctx, key, claimID)
}

// Complete records the result of a claimed call.
func (c *ClaimForwarder) Complete(ctx context.Context, key claim.Key, claimID string, result claim.Result) error {
	response, err := c.forward(ctx, key, &peerpb.ClaimRequest{
		ClaimId: claimID, Op: opResult, Result: result.Body, HttpStatus: int32(result.HTTPStatus),
		ContentType: result.ContentType, Truncated: result.Truncated,
	})
	if err == nil && response.GetOutcome() == outcomeOK {
		return nil
	}
	return c.node.ClaimLog.Complete(ctx, key, claimID, result)
}

var errPreferredIsLocal = errors.New("this process is the preferred appender")

// forward sends a request to the preferred appender. It returns
// errPreferredIsLocal if that is this process.
func (c *ClaimForwarder) forward(ctx context.Context, key claim.Key, request *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	address, ok := c.preferredAddress(claim.PartitionOf(key))
	if !ok {
		return nil, errPreferredIsLocal
	}
	request.Sender, request.KeyHash = c.node.sender(), key[:]
	var response *peerpb.ClaimResponse
	err := c.node.clients.call(ctx, address, forwardTimeout, func(ctx context.Context, client peerpb.PeerClient) (err error) {
		response, err = client.Claim(ctx, request)
		return err
	})
	if err != nil {
		klog.V(1).InfoS("forwarding a claim to the preferred appender failed", "address", address, "err", err)
	}
	return response, err
}

// preferredAddress returns the address of a partition's preferred appender, and
// false if that is this process.
func (c *ClaimForwarder) preferredAddress(partition int) (string, bool) {
	peers := *c.node.peers.Load()
	ids := []string{c.node.ID}
	for id := range peers {
		ids = append(ids, id)
	}
	p, ok := peers[claim.PreferredAppender(partition, ids)]
	return p.Address, ok
}

func decodeRecord(r *peerpb.ClaimResponse) (claim.Record, bool) {
	state, ok := map[string]claim.State{
		outcomeClaimed: claim.StateClaimed, outcomeExists: claim.StateHeld,
		outcomeDone: claim.StateDone, outcomeReleased: claim.StateReleased,
	}[r.GetOutcome()]
	return claim.Record{
		State: state, Holder: r.GetHolder(), ClaimedAt: time.UnixMilli(r.GetClaimedUnixMs()), BodyHash: r.GetBodyHash(),
		Result: claim.Result{
			HTTPStatus: int(r.GetHttpStatus()), ContentType: r.GetContentType(),
			Body: r.GetResult(), Truncated: r.GetTruncated(),
		},
	}, ok
}

func encodeRecord(r claim.Record) *peerpb.ClaimResponse {
	outcome := map[claim.State]string{
		claim.StateClaimed: outcomeClaimed, claim.StateHeld: outcomeExists,
		claim.StateDone: outcomeDone, claim.StateReleased: outcomeReleased,
	}[r.State]
	return &peerpb.ClaimResponse{
		Outcome: outcome, Holder: r.Holder, ClaimedUnixMs: r.ClaimedAt.UnixMilli(), BodyHash: r.BodyHash,
		Result: r.Result.Body, HttpStatus: int32(r.Result.HTTPStatus),
		ContentType: r.Result.ContentType, Truncated: r.Result.Truncated,
	}
}

// Claim appends an entry to the claim log for another gateway.
func (n *Node) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	if n.ClaimLog == nil {
		return nil, status.Error(codes.FailedPrecondition, "this process has no claim log")
	}
	if len(r.GetKeyHash()) != len(claim.Key{}) {
		return nil, status.Error(codes.InvalidArgument, "key_hash is not 32 bytes long")
	}
	key := claim.Key(r.GetKeyHash())
	response, err := n.appendFor(ctx, key, r)
	if err != nil {
		response = &peerpb.ClaimResponse{Outcome: outcomeError, Message: err.Error()}
	}
	response.Sender = n.sender()
	return response, nil
}

func (n *Node) appendFor(ctx context.Context, key claim.Key, r *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	switch r.GetOp() {
	case opClaim:
		record, err := n.ClaimLog.ClaimFor(ctx, r.GetSender().GetProcessId(), key, r.GetClaimId(), r.GetBodyHash())
		if err != nil {
			return nil, err
		}
		return encodeRecord(record), nil
	case opRelease:
		return &peerpb.ClaimResponse{Outcome: outcomeOK}, n.ClaimLog.Release(ctx, key, r.GetClaimId())
	case opResult:
		return &peerpb.ClaimResponse{Outcome: outcomeOK}, n.ClaimLog.Complete(ctx, key, r.GetClaimId(), claim.Result{
			HTTPStatus: int(r.GetHttpStatus()), ContentType: r.GetContentType(), Body: r.GetResult(), Truncated: r.GetTruncated(),
		})
	}
	return nil, eris.Errorf("operation %q is not accepted; accepted: claim, release, result", r.GetOp())
}
