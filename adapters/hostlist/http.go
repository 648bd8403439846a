package hostlist

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"siskinstand.example/adapters/internal/httpjson"
)

// Limits bound the calls of the adapter.
type Limits struct {
	DialTimeout time.Duration
	CallTimeout time.Duration
	// MaxResponseBytes bounds one answer; a row takes about 200 bytes.
	MaxResponseBytes int64
	// MaxHosts bounds the rows of one answer.
	MaxHosts int
}

// DefaultLimits hold twice the design size of 12,380 hosts and more.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:      time.Second,
		CallTimeout:      5 * time.Second,
		MaxResponseBytes: 16 << 20,
		MaxHosts:         50_000,
	}
}

// Client reads the list with the protocol of docs/protocols.md.
type Client struct {
	limits Limits
	calls  *httpjson.Client
}

// NewClient returns the list at address: host and port, with or without "http://".
func NewClient(address string, limits Limits) *Client {
	transport := httpjson.NewTransport(limits.DialTimeout)
	return &Client{limits: limits, calls: httpjson.New(httpjson.Base(address), transport, httpjson.Limits{
		Timeout: limits.CallTimeout, MaxAnswerBytes: limits.MaxResponseBytes,
	})}
}

// ChangesSince returns what changed after the index. An answer with a row that is not
// valid is refused as a whole, because a partial list looks like lost hosts.
func (h *Client) ChangesSince(ctx context.Context, index uint64) (Update, error) {
	var update Update
	path := "/hosts?index=" + strconv.FormatUint(index, 10)
	if err := h.calls.Call(ctx, http.MethodGet, path, nil, &update); err != nil {
		return Update{}, fmt.Errorf("host list: %w", err)
	}
	if err := update.check(h.limits.MaxHosts); err != nil {
		return Update{}, fmt.Errorf("host list: %w", err)
	}
	return update, nil
}

func (u Update) check(maxHosts int) error {
	if n := len(u.Hosts) + len(u.Removed); n > maxHosts {
		return fmt.Errorf("%d rows exceed the limit of %d", n, maxHosts)
	}
	seen := make(map[string]bool, len(u.Hosts))
	for _, host := range u.Hosts {
		if err := host.check(); err != nil {
			return err
		}
		if seen[host.Name] {
			return fmt.Errorf("host %q is listed twice", host.Name)
		}
		seen[host.Name] = true
	}
	return nil
}

func (h Host) check() error {
	switch {
	case h.Name == "":
		return fmt.Errorf("host without a name at address %q", h.Address)
	case h.Zone == "" || h.Address == "":
		return fmt.Errorf("host %q needs zone and address", h.Name)
	case h.State != StateLive && h.State != StateLeaving:
		return fmt.Errorf("host %q: state %q; accepted: live, leaving", h.Name, h.State)
	case h.Role != RoleGateway && h.Role != RoleEndpoint:
		return fmt.Errorf("host %q: role %q; accepted: gateway, endpoint", h.Name, h.Role)
	}
	return nil
}
