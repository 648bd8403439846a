package hostlist

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"siskinstand.example/adapters/internal/httpjson"
)

// Limits restricts the duration and response size of calls.
type Limits struct {
	DialTimeout time.Duration
	CallTimeout time.Duration
	// MaxResponseBytes limits one response. A host takes about 200 bytes.
	MaxResponseBytes int64
	// MaxHosts limits the changed and removed hosts in one response.
	MaxHosts int
}

// DefaultLimits returns limits that allow about four times the 12,380 hosts that
// the system is designed for.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:      time.Second,
		CallTimeout:      5 * time.Second,
		MaxResponseBytes: 16 << 20,
		MaxHosts:         50_000,
	}
}

// Client reads the host list over the protocol described in docs/protocols.md.
type Client struct {
	limits     Limits
	jsonClient *httpjson.Client
}

// NewClient returns a client for the host list at address: host and port, with or
// without "http://".
func NewClient(address string, limits Limits) *Client {
	transport := httpjson.NewTransport(httpjson.TransportConfig{DialTimeout: limits.DialTimeout})
	return &Client{limits: limits, jsonClient: httpjson.New(httpjson.BaseURL(address), transport, httpjson.Limits{
		CallTimeout: limits.CallTimeout, MaxResponseBytes: limits.MaxResponseBytes,
	})}
}

// ChangesSince returns the changes after the index. A response with an invalid
// host is rejected as a whole, because skipping hosts would make them look lost.
func (c *Client) ChangesSince(ctx context.Context, index uint64) (Update, error) {
	var update Update
	path := "/hosts?index=" + strconv.FormatUint(index, 10)
	if err := c.jsonClient.Call(ctx, http.MethodGet, path, nil, &update); err != nil {
		return Update{}, fmt.Errorf("host list: %w", err)
	}
	if err := update.validate(c.limits.MaxHosts); err != nil {
		return Update{}, fmt.Errorf("host list: %w", err)
	}
	return update, nil
}

func (u Update) validate(maxHosts int) error {
	if n := len(u.Hosts) + len(u.Removed); n > maxHosts {
		return fmt.Errorf("response contains %d hosts, limit is %d", n, maxHosts)
	}
	seen := make(map[string]bool, len(u.Hosts))
	for _, host := range u.Hosts {
		if err := host.validate(); err != nil {
			return err
		}
		if seen[host.Name] {
			return fmt.Errorf("host %q is listed twice", host.Name)
		}
		seen[host.Name] = true
	}
	return nil
}

func (h Host) validate() error {
	switch {
	case h.Name == "":
		return fmt.Errorf("host without a name at address %q", h.Address)
	case h.Zone == "" || h.Address == "":
		return fmt.Errorf("host %q has no zone or no address", h.Name)
	case h.State != StateLive && h.State != StateLeaving:
		return fmt.Errorf("host %q has invalid state %q; accepted: live, leaving", h.Name, h.State)
	case h.Role != RoleGateway && h.Role != RoleEndpoint:
		return fmt.Errorf("host %q has invalid role %q; accepted: gateway, endpoint", h.Name, h.Role)
	}
	return nil
}
