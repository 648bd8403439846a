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

// maxAnswerBytes bounds what the tool reads of one answer.
const maxAnswerBytes = 64 << 20

// Client sends single requests. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// Send makes one request, which was due at a time, and judges its answer.
func (c *Client) Send(ctx context.Context, item mix.Item, due time.Time) Result {
	return c.SendTo(ctx, item, item.Index, due)
}

// SendTo is Send through the gateway of another index, as for a repeated
// request.
func (c *Client) SendTo(ctx context.Context, item mix.Item, gateway int, due time.Time) Result {
	deadline := c.config.Deadline
	if item.Class == mix.ClassPlain {
		deadline = c.config.PlainDeadline
	}
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, started.Add(deadline+lateGrace))
	defer cancel()
	result := Result{Item: item, Started: started, Gateway: c.config.gateway(gateway)}
	if item.Class == mix.ClassPlain {
		c.plain(ctx, deadline, &result)
	} else {
		c.model(ctx, deadline, due, &result)
	}
	result.Latency = time.Since(due)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || time.Since(started) > deadline+lateGrace {
		result.Outcome = Late
	}
	return result
}

func (c *Client) request(ctx context.Context, result *Result, path string, body []byte, deadline time.Duration) (*http.Response, error) {
	item := result.Item
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, result.Gateway+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// net/http sends a request with an Idempotency-Key again when its connection
	// breaks, and the tool would judge two requests as one.
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

func (c *Client) model(ctx context.Context, deadline time.Duration, due time.Time, result *Result) {
	item := result.Item
	prompt := item.PromptText()
	body, _ := json.Marshal(map[string]any{"model": c.config.Model, "prompt": prompt, "max_tokens": item.MaxOutputTokens, "stream": true})
	response, err := c.request(ctx, result, "/v1/completions", body, deadline)
	if err != nil {
		transportFailure(err, result)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refusal(response, result)
		return
	}
	stream := &stream{onText: func() { result.TimeToFirstToken = time.Since(due) }}
	if err := stream.read(io.LimitReader(response.Body, maxAnswerBytes)); err != nil {
		result.Outcome, result.Reason = Truncated, err.Error()
		return
	}
	if stream.failure != nil {
		stream.failure.judge(result)
		return
	}
	text, reason := engine.ExpectedOutput(prompt, item.MaxOutputTokens)
	if stream.text.String() != text || stream.reason != reason {
		result.Outcome, result.Reason = Wrong, fmt.Sprintf("got %.40q (%s), want %.40q (%s)", stream.text.String(), stream.reason, text, reason)
		return
	}
	result.Outcome = Complete
}

func (c *Client) plain(ctx context.Context, deadline time.Duration, result *Result) {
	item := result.Item
	body := fmt.Appendf(nil, `{"booking":%d}`, item.Seed)
	response, err := c.request(ctx, result, "/services/"+c.config.Service+"/book", body, deadline)
	if err != nil {
		transportFailure(err, result)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refusal(response, result)
		return
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
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

// transportFailure tells a gateway that takes no connection from one that took
// the request and did not answer.
func transportFailure(err error, result *Result) {
	result.Outcome, result.Reason = Truncated, err.Error()
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		result.Outcome = Unsent
	}
}

// failure is the error of a refusal or a broken stream.
type failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

func (f *failure) judge(result *Result) {
	result.Reason = f.Code
	switch Outcome(f.Verdict) {
	case NotRun, MayHaveRun, Ran:
		result.Outcome = Outcome(f.Verdict)
	default:
		result.Outcome = NoVerdict
	}
}

func refusal(response *http.Response, result *Result) {
	var body struct {
		Error failure `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&body); err != nil {
		result.Outcome, result.Reason = NoVerdict, fmt.Sprintf("status %d without a JSON error", response.StatusCode)
		return
	}
	body.Error.judge(result)
}

// stream collects a stream of events.
type stream struct {
	onText  func()
	text    strings.Builder
	reason  string
	failure *failure
}

type streamEvent struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *failure `json:"error"`
}

// read returns an error for a stream that ends without its final marker or an
// error event.
func (s *stream) read(r io.Reader) error {
	const maxEventBytes = 1 << 20
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			if s.reason == "" {
				return errors.New("final marker without a finish reason")
			}
			return nil
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return fmt.Errorf("event: %w", err)
		}
		if event.Error != nil {
			s.failure = event.Error
			return nil
		}
		s.add(event)
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.New("no final marker")
}

func (s *stream) add(event streamEvent) {
	for _, choice := range event.Choices {
		if choice.Text != "" && s.text.Len() == 0 {
			s.onText()
		}
		s.text.WriteString(choice.Text)
		if choice.FinishReason != "" {
			s.reason = choice.FinishReason
		}
	}
}
