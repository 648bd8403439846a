package engine

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"siskinstand.example/coord/verdict"
)

// streamEvent is a data event of a completion stream.
type streamEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage        `json:"usage"`
	Error *errorMessage `json:"error"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

type errorMessage struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// toVerdictError converts an engine's error message. If the message contains no
// valid verdict, the engine may have run the request.
func (m errorMessage) toVerdictError() *verdict.Error {
	reason := verdict.ReasonEngineFailed
	if m.Code != "" {
		reason = verdict.Reason(m.Code)
	}
	return verdict.New(verdict.Parse(m.Verdict), reason, "engine: %s", m.Message)
}

var (
	errStreamTruncated  = errors.New("stream ended without its final marker")
	errResponseTooLarge = errors.New("answer exceeds the size limit")
)

var doneMarker = []byte("[DONE]")

// decodeStream reads a stream of server-sent events and calls deliver for each
// piece of text. A stream is complete once a finish reason and the [DONE] marker
// were read. Limits apply to each line and to the whole stream.
func decodeStream(r io.Reader, limits Limits, deliver func(Chunk) error) (Result, error) {
	var result Result
	hasText := false
	deliverText := func(c Chunk) error {
		hasText = true
		return deliver(c)
	}
	scanner := bufio.NewScanner(&limitedReader{r: r, remaining: limits.MaxResponseBytes})
	scanner.Buffer(make([]byte, 0, min(4<<10, limits.MaxEventBytes)), limits.MaxEventBytes)
	for scanner.Scan() {
		data, isData := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !isData {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			if result.FinishReason == "" {
				return Result{}, errStreamTruncated
			}
			return result, nil
		}
		if err := decodeEvent(data, &result, deliverText); err != nil {
			var refusal *verdict.Error
			if errors.As(err, &refusal) && hasText && refusal.Verdict == verdict.NotRun {
				refusal.Verdict = verdict.MayHaveRun
			}
			// After a read error, the scanner returns the truncated last line. Prefer
			// the read error over the decoding error that such a line causes.
			return Result{}, cmp.Or(scanner.Err(), err)
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return Result{}, errResponseTooLarge
	}
	if err := scanner.Err(); err != nil {
		return Result{}, err
	}
	return Result{}, errStreamTruncated
}

// limitedReader fails with errResponseTooLarge once the limit is reached. Unlike
// io.LimitedReader, it does not return io.EOF.
type limitedReader struct {
	r         io.Reader
	remaining int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errResponseTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

func decodeEvent(data []byte, result *Result, deliver func(Chunk) error) error {
	var e streamEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	if e.Error != nil {
		return e.Error.toVerdictError()
	}
	if e.Usage != nil {
		result.PromptTokens = e.Usage.PromptTokens
		result.OutputTokens = e.Usage.CompletionTokens
	}
	if len(e.Choices) == 0 {
		return nil
	}
	choice := e.Choices[0]
	if text := choice.Text + choice.Delta.Content; text != "" {
		if result.FinishReason != "" {
			return errors.New("text after the finish reason")
		}
		if err := deliver(Chunk{Data: []byte(text), Tokens: 1}); err != nil {
			return err
		}
	}
	if choice.FinishReason != "" {
		result.FinishReason = choice.FinishReason
	}
	return nil
}
