package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"siskinstand.example/fakes/engine"
	"siskinstand.example/fakes/plainservice"
	"siskinstand.example/loadgen/mix"
)

// maxResponseBytes bounds the bytes read from one response.
const maxResponseBytes = 64 << 20

// Client sends single requests. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// Send sends one request and checks its response. Latencies are measured from
// due, the time at which the open loop should have sent the request.
func (c *Client) Send(ctx context.Context, item mix.Item, due time.Time) Result {
	return c.SendTo(ctx, item, item.Index, due)
}

// SendTo is like Send, but selects the gateway by the given index instead of
// that of the item, so that a caller can retry through another gateway.
func (c *Client) SendTo(ctx context.Context, item mix.Item, gateway int, due time.Time) Result {
	deadline := c.config.Deadline
	if item.Class == mix.ClassPlain {
		deadline = c.config.PlainDeadline
	}
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, started.Add(deadline+deliveryGrace))
	defer cancel()
	result := Result{Item: item, Started: started, Gateway: c.config.gatewayURL(gateway)}
	if item.Class == mix.ClassPlain {
		c.sendPlain(ctx, deadline, &result)
	} else {
		c.sendModel(ctx, deadline, due, &result)
	}
	result.Latency = time.Since(due)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || time.Since(started) > deadline+deliveryGrace {
		result.Outcome = Late
	}
	return result
}

func (c *Client) post(ctx context.Context, result *Result, path string, body []byte, deadline time.Duration) (*http.Response, error) {
	item := result.Item
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, result.Gateway+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// net/http resends a request with an Idempotency-Key when its connection
	// breaks, and two requests would be counted as one. It can't resend the body
	// without GetBody.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Siskin-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Siskin-Request-Id", item.IdempotencyKey(c.config.RunID))
	if item.Class == mix.ClassPlain {
		request.Header.Set("Idempotency-Key", item.IdempotencyKey(c.config.RunID))
	}
	return c.http.Do(request)
}

func (c *Client) sendModel(ctx context.Context, deadline time.Duration, due time.Time, result *Result) {
	item := result.Item
	prompt := item.PromptText()
	body, _ := json.Marshal(map[string]any{"model": c.config.Model, "prompt": prompt, "max_tokens": item.MaxOutputTokens, "stream": true})
	response, err := c.post(ctx, result, "/v1/completions", body, deadline)
	if err != nil {
		recordTransportError(err, result)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		recordRefusal(response, result)
		return
	}
	reader := &streamReader{onFirstText: func() { result.TimeToFirstToken = time.Since(due) }}
	if err := reader.read(io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		result.Outcome, result.Reason = Truncated, err.Error()
		return
	}
	if reader.apiErr != nil {
		reader.apiErr.recordIn(result)
		return
	}
	text, reason := engine.ExpectedOutput(prompt, item.MaxOutputTokens)
	if reader.text.String() != text || reader.finishReason != reason {
		result.Outcome, result.Reason = Wrong, fmt.Sprintf("got %.40q (%s), want %.40q (%s)", reader.text.String(), reader.finishReason, text, reason)
		return
	}
	result.Outcome = Complete
}

func (c *Client) sendPlain(ctx context.Context, deadline time.Duration, result *Result) {
	item := result.Item
	body := fmt.Appendf(nil, `{"booking":%d}`, item.Seed)
	response, err := c.post(ctx, result, "/services/"+c.config.Service+"/book", body, deadline)
	if err != nil {
		recordTransportError(err, result)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		recordRefusal(response, result)
		return
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		result.Outcome, result.Reason = Truncated, err.Error()
		return
	}
	if want := plainservice.ExpectedResponse(item.IdempotencyKey(c.config.RunID), body); string(data) != want {
		result.Outcome, result.Reason = Wrong, fmt.Sprintf("got %.60q, want %.60q", data, want)
		return
	}
	result.Outcome = Complete
}

// recordTransportError records Unsent if no connection to the gateway could be
// opened, and Truncated if the request failed later.
func recordTransportError(err error, result *Result) {
	result.Outcome, result.Reason = Truncated, err.Error()
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		result.Outcome = Unsent
	}
}

// apiError is the error object of an error response or of an error event in a
// stream.
type apiError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

func (f *apiError) recordIn(result *Result) {
	result.Reason = f.Code
	switch Outcome(f.Verdict) {
	case NotRun, MayHaveRun, Ran:
		result.Outcome = Outcome(f.Verdict)
	default:
		result.Outcome = NoVerdict
	}
}

func recordRefusal(response *http.Response, result *Result) {
	var body struct {
		Error apiError `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&body); err != nil {
		result.Outcome, result.Reason = NoVerdict, fmt.Sprintf("status %d without a JSON error", response.StatusCode)
		return
	}
	body.Error.recordIn(result)
}

// streamReader collects the text and the finish reason of a completion stream.
type streamReader struct {
	onFirstText  func()
	text         strings.Builder
	finishReason string
	apiErr       *apiError
}

type streamEvent struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *apiError `json:"error"`
}

// read reads server-sent events up to [DONE] or an error event. It returns an
// error if the stream is malformed, ends without either of them or has no finish
// reason before [DONE].
func (s *streamReader) read(r io.Reader) error {
	const maxEventBytes = 1 << 20
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			if s.finishReason == "" {
				return errors.New("final marker without a finish reason")
			}
			return nil
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return fmt.Errorf("event: %w", err)
		}
		if event.Error != nil {
			s.apiErr = event.Error
			return nil
		}
		s.addEvent(event)
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.New("no final marker")
}

func (s *streamReader) addEvent(event streamEvent) {
	for _, choice := range event.Choices {
		if choice.Text != "" && s.text.Len() == 0 {
			s.onFirstText()
		}
		s.text.WriteString(choice.Text)
		if choice.FinishReason != "" {
			s.finishReason = choice.FinishReason
		}
	}
}
