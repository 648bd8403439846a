package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"siskinstand.example/adapters/internal/httpjson"
)

// Limits bound the calls of the adapter.
type Limits struct {
	DialTimeout time.Duration
	CallTimeout time.Duration
	// WatchTimeout is how long one watch waits before the key is read again,
	// which finds a store that stopped answering or lost its newest data.
	WatchTimeout time.Duration
	// MaxResponseBytes bounds one answer. It must hold a page of a list.
	MaxResponseBytes int64
}

// DefaultLimits suit a store that answers in milliseconds.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:      time.Second,
		CallTimeout:      3 * time.Second,
		WatchTimeout:     30 * time.Second,
		MaxResponseBytes: 32 << 20,
	}
}

// listPage is the number of keys in one page of a list: 16 values of 1 MiB in
// base64 stay below the default MaxAnswerBytes.
const listPage = 16

// SequenceKey is written before each lease grant. The revision of that write
// becomes the lease's identifier, because identifiers that the store chooses
// don't grow across its members.
const SequenceKey = "lease/sequence"

// Client is a store that speaks the etcd v3 JSON gateway protocol. Version is
// the revision of a key's last write, which, unlike the protocol's own version
// field, does not start again when a key is deleted and created.
type Client struct {
	base   string
	limits Limits
	calls  *httpjson.Client
	watch  *http.Client
}

// NewClient returns the store at address: host and port, with or without "http://".
func NewClient(address string, limits Limits) *Client {
	base := httpjson.Base(address)
	transport := httpjson.NewTransport(limits.DialTimeout)
	return &Client{
		base:   base,
		limits: limits,
		watch:  &http.Client{Transport: transport},
		calls: httpjson.New(base, transport, httpjson.Limits{
			Timeout: limits.CallTimeout, MaxAnswerBytes: limits.MaxResponseBytes,
		}),
	}
}

// Get returns ErrNotFound for a key that does not exist.
func (h *Client) Get(ctx context.Context, key string) (Pair, error) {
	pair, _, err := h.get(ctx, key)
	if err == nil && pair.Version == 0 {
		return Pair{}, ErrNotFound
	}
	return pair, err
}

// get returns version 0 for a missing key, and the revision of the store.
func (h *Client) get(ctx context.Context, key string) (Pair, int64, error) {
	var answer rangeResponse
	if err := h.read(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &answer); err != nil {
		return Pair{}, 0, err
	}
	if len(answer.Pairs) == 0 {
		return Pair{Key: key}, answer.Header.Revision, nil
	}
	return answer.Pairs[0].pair(), answer.Header.Revision, nil
}

// List returns all pairs with the prefix, in key order and at one revision.
func (h *Client) List(ctx context.Context, prefix string) ([]Pair, error) {
	var list []Pair
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: listPage}
	if prefix == "" {
		request.Key = []byte{0}
	}
	for {
		var answer rangeResponse
		if err := h.read(ctx, "/v3/kv/range", request, &answer); err != nil {
			return nil, err
		}
		for _, kv := range answer.Pairs {
			list = append(list, kv.pair())
		}
		if !answer.More || len(answer.Pairs) == 0 {
			return list, nil
		}
		last := answer.Pairs[len(answer.Pairs)-1].Key
		request.Key = append(bytes.Clone(last), 0)
		request.Revision = answer.Header.Revision
	}
}

// prefixEnd returns the first key after all keys with the prefix; a single zero
// byte means that no key follows.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// CompareAndSwap writes the value if the key still has the version.
func (h *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version, leaseID int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: %d bytes", ErrValueTooLarge, len(value))
	}
	put := &putRequest{Key: []byte(key), Value: value, Lease: leaseID}
	return h.transact(ctx, key, version, operation{Put: put})
}

// CompareAndDelete deletes the key if it still has the version.
func (h *Client) CompareAndDelete(ctx context.Context, key string, version int64) error {
	_, err := h.transact(ctx, key, version, operation{Delete: &deleteRequest{Key: []byte(key)}})
	return err
}

func (h *Client) transact(ctx context.Context, key string, version int64, op operation) (int64, error) {
	request := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: version}},
		Success: []operation{op},
	}
	var answer txnResponse
	if err := h.write(ctx, "/v3/kv/txn", request, &answer); err != nil {
		return 0, err
	}
	if !answer.Succeeded {
		return 0, ErrConflict
	}
	return answer.Header.Revision, nil
}

// GrantLease grants a lease whose identifier is higher than all earlier ones.
// The time to live is rounded up to whole seconds.
func (h *Client) GrantLease(ctx context.Context, timeToLive time.Duration) (Lease, error) {
	var sequence txnResponse
	put := &putRequest{Key: []byte(SequenceKey)}
	if err := h.write(ctx, "/v3/kv/txn", txnRequest{Success: []operation{{Put: put}}}, &sequence); err != nil {
		return Lease{}, err
	}
	seconds := int64((timeToLive + time.Second - 1) / time.Second)
	var answer leaseResponse
	err := h.write(ctx, "/v3/lease/grant", leaseRequest{ID: sequence.Header.Revision, TTL: seconds}, &answer)
	if err != nil {
		return Lease{}, err
	}
	return Lease{ID: answer.ID, TimeToLive: time.Duration(answer.TTL) * time.Second}, nil
}

// KeepAlive renews a lease and returns its time to live, counted from a moment
// after the call began.
func (h *Client) KeepAlive(ctx context.Context, leaseID int64) (time.Duration, error) {
	var answer streamed[leaseResponse]
	if err := h.write(ctx, "/v3/lease/keepalive", leaseRequest{ID: leaseID}, &answer); err != nil {
		return 0, err
	}
	if answer.Error != nil || answer.Result == nil {
		return 0, fmt.Errorf("%w: keepalive without result", ErrOutcomeUnknown)
	}
	if answer.Result.TTL <= 0 {
		return 0, ErrLeaseLost
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// RevokeLease ends a lease and deletes its keys.
func (h *Client) RevokeLease(ctx context.Context, leaseID int64) error {
	return h.write(ctx, "/v3/lease/revoke", leaseRequest{ID: leaseID}, nil)
}

// Watch returns the pair once its version differs from the given one; a deleted
// key has version 0.
func (h *Client) Watch(ctx context.Context, key string, version int64) (Pair, error) {
	for {
		pair, revision, err := h.get(ctx, key)
		if err != nil || pair.Version != version {
			return pair, err
		}
		pair, found, err := h.watchOnce(ctx, key, revision+1)
		if err != nil || found {
			return pair, err
		}
	}
}

// watchOnce waits for one event until the watch timeout.
func (h *Client) watchOnce(ctx context.Context, key string, start int64) (Pair, bool, error) {
	body, err := json.Marshal(watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: start}})
	if err != nil {
		return Pair{}, false, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, h.limits.WatchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(waitCtx, http.MethodPost, h.base+"/v3/watch", nil)
	if err != nil {
		return Pair{}, false, err
	}
	httpjson.SetBody(request, body)
	response, err := httpjson.Do(h.watch, request)
	if err == nil {
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return Pair{}, false, fmt.Errorf("%w: watch answered with status %d", ErrUnavailable, response.StatusCode)
		}
		var pair Pair
		var found bool
		if pair, found, err = decodeWatch(response.Body, key, h.limits.MaxResponseBytes); err == nil {
			return pair, found, nil
		}
	}
	switch {
	case ctx.Err() != nil:
		return Pair{}, false, ctx.Err()
	case waitCtx.Err() != nil:
		return Pair{}, false, nil
	}
	return Pair{}, false, fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// decodeWatch reads messages until the first event. It reports no event if the
// store cancelled the watch, after which the key is read again.
func decodeWatch(r io.Reader, key string, limit int64) (Pair, bool, error) {
	decoder := json.NewDecoder(io.LimitReader(r, limit))
	for {
		var message streamed[watchResult]
		if err := decoder.Decode(&message); err != nil {
			return Pair{}, false, err
		}
		if message.Error != nil {
			return Pair{}, false, fmt.Errorf("watch: %s", message.Error.Message)
		}
		if message.Result == nil {
			return Pair{}, false, errors.New("watch: message without result")
		}
		if message.Result.Canceled {
			return Pair{}, false, nil
		}
		if n := len(message.Result.Events); n > 0 {
			return message.Result.Events[n-1].newest(key)
		}
	}
}

func (e watchEvent) newest(key string) (Pair, bool, error) {
	if string(e.Pair.Key) != key {
		return Pair{}, false, fmt.Errorf("watch: event of another key %q", e.Pair.Key)
	}
	if e.Type == "DELETE" {
		return Pair{Key: key}, true, nil
	}
	if e.Pair.ModRevision <= 0 {
		return Pair{}, false, errors.New("watch: event without a revision")
	}
	return e.Pair.pair(), true, nil
}

func (h *Client) read(ctx context.Context, path string, in, out any) error {
	err := h.calls.Call(ctx, http.MethodPost, path, in, out)
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// write maps failures so that only those that prove that nothing was written
// become ErrUnavailable.
func (h *Client) write(ctx context.Context, path string, in, out any) error {
	err := h.calls.Call(ctx, http.MethodPost, path, in, out)
	if err == nil {
		return nil
	}
	var notSent *httpjson.NotSentError
	if errors.As(err, &notSent) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var status *httpjson.StatusError
	if errors.As(err, &status) {
		return mapStatus(status)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func mapStatus(status *httpjson.StatusError) error {
	var body gatewayError
	if json.Unmarshal(status.Body, &body) != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, status)
	}
	switch body.Code {
	case codeNotFound:
		// The only missing thing that a write names is its lease.
		return ErrLeaseLost
	case codeResourceExhausted:
		return fmt.Errorf("%w: %w", ErrUnavailable, status)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, status)
}
