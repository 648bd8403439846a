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

// event is one data event of a completion stream.
type event struct {
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

// failure turns an engine's error message into an error. An engine that names
// no verdict may have run the request.
func (m errorMessage) failure() *verdict.Error {
	reason := verdict.ReasonEngineFailed
	if m.Code != "" {
		reason = verdict.Reason(m.Code)
	}
	return verdict.New(verdict.Parse(m.Verdict), reason, "engine: %s", m.Message)
}

var (
	errCut  = errors.New("stream ended without its final marker")
	errLong = errors.New("answer exceeds the size limit")
)

var doneMarker = []byte("[DONE]")

// decodeStream reads a server-sent-events stream, calls deliver for each piece
// of text and returns the result once the stream is whole: a finish reason and
// the [DONE] marker were read. Each line and the whole stream are bounded.
func decodeStream(r io.Reader, limits Limits, deliver func(Chunk) error) (Result, error) {
	var result Result
	scanner := bufio.NewScanner(&boundedReader{r: r, left: limits.MaxResponseBytes})
	scanner.Buffer(make([]byte, 0, min(4<<10, limits.MaxEventBytes)), limits.MaxEventBytes)
	for scanner.Scan() {
		data, isData := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !isData {
			continue
		}
		// The scanner returns a last line that an error cut short, so a line
		// that is not valid is judged together with the scanner's error.
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			if result.FinishReason == "" {
				return Result{}, errCut
			}
			return result, nil
		}
		if err := decodeEvent(data, &result, deliver); err != nil {
			return Result{}, cmp.Or(scanner.Err(), err)
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return Result{}, errLong
	}
	if err := scanner.Err(); err != nil {
		return Result{}, err
	}
	return Result{}, errCut
}

// boundedReader fails with errLong after its bound.
type boundedReader struct {
	r    io.Reader
	left int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, errLong
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

func decodeEvent(data []byte, result *Result, deliver func(Chunk) error) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	if e.Error != nil {
		return e.Error.failure()
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
