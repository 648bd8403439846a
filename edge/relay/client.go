package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/adapters/httpclient"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// maxResponseBytes is the maximum size of a response: a full log as base64 in JSON.
const maxResponseBytes = 2 * maxLogBytes

// maxHeaderBytes is the maximum size of the header of a response.
const maxHeaderBytes = 16 << 10

// StatusError is a response with a status other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("watching host responded with status %d", e.Status)
}

// Changes is the response of a watching host.
type Changes struct {
	Update
	// StoreFailedAt is the boot clock reading of this host at which a call of the watching
	// host to the store last failed, or 0.
	StoreFailedAt time.Duration
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Timeout limits the time to connect, and the time for a response in addition to the
	// maximum age of the proof.
	Timeout time.Duration
}

// Client asks watching hosts for changes.
type Client struct {
	config    ClientConfig
	transport *httpclient.Transport
}

// NewClient returns a client. It does not open a connection.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, transport: httpclient.NewTransport(&http.Transport{
		DialContext: platform.Dialer(c.Timeout).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, MaxIdleConns: 4, MaxResponseHeaderBytes: maxHeaderBytes,
	})}
}

// Timeout returns the time limit to connect and for a response.
func (c *Client) Timeout() time.Duration { return c.config.Timeout }

// Watch waits for changes after a revision, or for a newer proof that there are none. The
// watching host responds when its proof is maxAge old at the latest.
func (c *Client) Watch(ctx context.Context, address string, after int64, maxAge time.Duration) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAge+c.config.Timeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "max_age_ms": {strconv.FormatInt(maxAge.Milliseconds(), 10)}}
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Changes{}, eris.Wrap(err, "create question to watching host")
	}
	sentAt := bootclock.Now()
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		c.transport.CloseIdleConnections() // connections may be dead without notice
		return Changes{}, eris.Wrap(err, "ask watching host")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Changes{}, eris.Wrap(err, "read response of watching host")
	}
	if resp.StatusCode != http.StatusOK {
		return Changes{}, eris.Wrap(&StatusError{resp.StatusCode}, "ask watching host")
	}
	var body response
	if err := json.Unmarshal(data, &body); err != nil {
		return Changes{}, eris.Wrap(err, "decode response of watching host")
	}
	return body.changes(sentAt, bootclock.Now()), nil
}

// changes converts a response to a question sent at sentAt and answered at receivedAt, both
// readings of this host's boot clock.
func (r response) changes(sentAt, receivedAt time.Duration) Changes {
	// The question arrived after sentAt, so it was answered no earlier than sentAt plus the
	// time for which it was held.
	held := min(max(time.Duration(r.HeldMicros)*time.Microsecond, 0), receivedAt-sentAt)
	proofAge := max(time.Duration(r.ProofAgeMicros)*time.Microsecond, 0)
	c := Changes{Update: Update{Revision: r.Revision, ProofAt: sentAt + held - proofAge}}
	if r.FailureAgeMicros >= 0 {
		c.StoreFailedAt = receivedAt - time.Duration(r.FailureAgeMicros)*time.Microsecond
	}
	for _, change := range r.Changes {
		c.Items = append(c.Items, change.item())
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
