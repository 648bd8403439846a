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

// Limits restricts the duration and response size of calls.
type Limits struct {
	DialTimeout time.Duration
	CallTimeout time.Duration
	// WatchTimeout limits one watch request. The key is read again afterwards,
	// which detects a store that stopped responding or lost its newest data.
	WatchTimeout time.Duration
	// MaxResponseBytes limits one response. One page of a list must fit into it.
	MaxResponseBytes int64
}

// DefaultLimits returns limits for a store that responds within milliseconds.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:      time.Second,
		CallTimeout:      3 * time.Second,
		WatchTimeout:     30 * time.Second,
		MaxResponseBytes: 32 << 20,
	}
}

// listPageSize is the number of keys requested per page of a list. 16 values of
// 1 MiB, encoded in base64, fit into the default MaxResponseBytes.
const listPageSize = 16

// LeaseSequenceKey is written before each lease grant, and the revision of that
// write becomes the lease ID. Lease IDs chosen by the store do not increase
// across its members.
const LeaseSequenceKey = "lease/sequence"

// Client accesses a store over the etcd v3 JSON gateway protocol. It uses the
// revision of a key's last write as the key's version. Unlike the protocol's own
// version field, the revision does not restart when a key is deleted and created
// again.
type Client struct {
	baseURL     string
	limits      Limits
	jsonClient  *httpjson.Client
	watchClient *http.Client
}

// NewClient returns a client for the store at address: host and port, with or
// without "http://".
func NewClient(address string, limits Limits) *Client {
	baseURL := httpjson.BaseURL(address)
	transport := httpjson.NewTransport(httpjson.TransportConfig{DialTimeout: limits.DialTimeout})
	return &Client{
		baseURL:     baseURL,
		limits:      limits,
		watchClient: &http.Client{Transport: transport},
		jsonClient: httpjson.New(baseURL, transport, httpjson.Limits{
			CallTimeout: limits.CallTimeout, MaxResponseBytes: limits.MaxResponseBytes,
		}),
	}
}

// Get returns a key's value, or ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Pair, error) {
	pair, _, err := c.get(ctx, key)
	if err == nil && pair.Version == 0 {
		return Pair{}, ErrNotFound
	}
	return pair, err
}

// get returns a pair, with version 0 for a missing key, and the store's current
// revision.
func (c *Client) get(ctx context.Context, key string) (Pair, int64, error) {
	var response rangeResponse
	if err := c.read(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &response); err != nil {
		return Pair{}, 0, err
	}
	if len(response.Pairs) == 0 {
		return Pair{Key: key}, response.Header.Revision, nil
	}
	return response.Pairs[0].toPair(), response.Header.Revision, nil
}

// List returns all pairs whose keys have the prefix, in key order. All pages are
// read at the same revision.
func (c *Client) List(ctx context.Context, prefix string) ([]Pair, error) {
	var list []Pair
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: listPageSize}
	if prefix == "" {
		request.Key = []byte{0}
	}
	for {
		var response rangeResponse
		if err := c.read(ctx, "/v3/kv/range", request, &response); err != nil {
			return nil, err
		}
		for _, kv := range response.Pairs {
			list = append(list, kv.toPair())
		}
		if !response.More || len(response.Pairs) == 0 {
			return list, nil
		}
		last := response.Pairs[len(response.Pairs)-1].Key
		request.Key = append(bytes.Clone(last), 0)
		request.Revision = response.Header.Revision
	}
}

// prefixEnd returns the exclusive end of the range of keys with the prefix. A
// single zero byte means that the range is unbounded.
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

// CompareAndSwap writes the value if the key still has the given version, and
// returns the new version. It returns ErrConflict if the version differs. Version 0
// requires that the key does not exist; lease ID 0 attaches the key to no lease.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version, leaseID int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: %d bytes", ErrValueTooLarge, len(value))
	}
	put := &putRequest{Key: []byte(key), Value: value, Lease: leaseID}
	return c.applyIfVersion(ctx, key, version, operation{Put: put})
}

// CompareAndDelete deletes the key if it still has the given version. It returns
// ErrConflict if the version differs.
func (c *Client) CompareAndDelete(ctx context.Context, key string, version int64) error {
	_, err := c.applyIfVersion(ctx, key, version, operation{Delete: &deleteRequest{Key: []byte(key)}})
	return err
}

func (c *Client) applyIfVersion(ctx context.Context, key string, version int64, op operation) (int64, error) {
	request := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: version}},
		Success: []operation{op},
	}
	var response txnResponse
	if err := c.write(ctx, "/v3/kv/txn", request, &response); err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, ErrConflict
	}
	return response.Header.Revision, nil
}

// GrantLease grants a lease whose ID is higher than those of all earlier leases.
// The time to live is rounded up to whole seconds.
func (c *Client) GrantLease(ctx context.Context, timeToLive time.Duration) (Lease, error) {
	var sequenceResponse txnResponse
	put := &putRequest{Key: []byte(LeaseSequenceKey)}
	if err := c.write(ctx, "/v3/kv/txn", txnRequest{Success: []operation{{Put: put}}}, &sequenceResponse); err != nil {
		return Lease{}, err
	}
	seconds := int64((timeToLive + time.Second - 1) / time.Second)
	var response leaseResponse
	err := c.write(ctx, "/v3/lease/grant", leaseRequest{ID: sequenceResponse.Header.Revision, TTL: seconds}, &response)
	if err != nil {
		return Lease{}, err
	}
	return Lease{ID: response.ID, TimeToLive: time.Duration(response.TTL) * time.Second}, nil
}

// KeepAlive renews a lease and returns its time to live. The lease expires no
// earlier than this duration after the start of the call.
func (c *Client) KeepAlive(ctx context.Context, leaseID int64) (time.Duration, error) {
	var response streamMessage[leaseResponse]
	if err := c.write(ctx, "/v3/lease/keepalive", leaseRequest{ID: leaseID}, &response); err != nil {
		return 0, err
	}
	if response.Error != nil || response.Result == nil {
		return 0, fmt.Errorf("%w: keepalive without result", ErrOutcomeUnknown)
	}
	if response.Result.TTL <= 0 {
		return 0, ErrLeaseLost
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// RevokeLease revokes a lease and deletes the keys attached to it.
func (c *Client) RevokeLease(ctx context.Context, leaseID int64) error {
	return c.write(ctx, "/v3/lease/revoke", leaseRequest{ID: leaseID}, nil)
}

// Watch waits until the key's version differs from the given one and returns the
// pair. A deleted key has version 0.
func (c *Client) Watch(ctx context.Context, key string, version int64) (Pair, error) {
	for {
		pair, revision, err := c.get(ctx, key)
		if err != nil || pair.Version != version {
			return pair, err
		}
		pair, found, err := c.waitForEvent(ctx, key, revision+1)
		if err != nil || found {
			return pair, err
		}
	}
}

// waitForEvent watches the key from the start revision and reports whether an
// event arrived before the watch timeout.
func (c *Client) waitForEvent(ctx context.Context, key string, start int64) (Pair, bool, error) {
	body, err := json.Marshal(watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: start}})
	if err != nil {
		return Pair{}, false, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, c.limits.WatchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(waitCtx, http.MethodPost, c.baseURL+"/v3/watch", nil)
	if err != nil {
		return Pair{}, false, err
	}
	httpjson.SetNonReplayableBody(request, body)
	response, err := httpjson.Do(c.watchClient, request)
	if err == nil {
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return Pair{}, false, fmt.Errorf("%w: watch answered with status %d", ErrUnavailable, response.StatusCode)
		}
		var pair Pair
		var found bool
		if pair, found, err = decodeWatch(response.Body, key, c.limits.MaxResponseBytes); err == nil {
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

// decodeWatch reads messages up to the first one with events, and returns its last
// event. It returns false if the store cancelled the watch; the caller then reads
// the key again.
func decodeWatch(r io.Reader, key string, limit int64) (Pair, bool, error) {
	decoder := json.NewDecoder(io.LimitReader(r, limit))
	for {
		var message streamMessage[watchResult]
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
			return message.Result.Events[n-1].toPair(key)
		}
	}
}

func (e watchEvent) toPair(key string) (Pair, bool, error) {
	if string(e.Pair.Key) != key {
		return Pair{}, false, fmt.Errorf("watch: event of another key %q", e.Pair.Key)
	}
	if e.Type == "DELETE" {
		return Pair{Key: key}, true, nil
	}
	if e.Pair.ModRevision <= 0 {
		return Pair{}, false, errors.New("watch: event without a revision")
	}
	return e.Pair.toPair(), true, nil
}

func (c *Client) read(ctx context.Context, path string, in, out any) error {
	err := c.jsonClient.Call(ctx, http.MethodPost, path, in, out)
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// write returns ErrUnavailable only for failures that prove that nothing was
// written.
func (c *Client) write(ctx context.Context, path string, in, out any) error {
	err := c.jsonClient.Call(ctx, http.MethodPost, path, in, out)
	if err == nil {
		return nil
	}
	var notSentErr *httpjson.NotSentError
	if errors.As(err, &notSentErr) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var statusErr *httpjson.StatusError
	if errors.As(err, &statusErr) {
		return writeErrorFromStatus(statusErr)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func writeErrorFromStatus(statusErr *httpjson.StatusError) error {
	var body gatewayError
	if json.Unmarshal(statusErr.Body, &body) != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, statusErr)
	}
	switch body.Code {
	case codeNotFound:
		// The lease is the only object whose absence makes a write fail.
		return ErrLeaseLost
	case codeResourceExhausted:
		return fmt.Errorf("%w: %w", ErrUnavailable, statusErr)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, statusErr)
}
