package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"siskinstand.example/coord/routing"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/dispatch"
)

// prefixBytes is how much of the start of a prompt, or of a plain service's body, is
// hashed into the prefix key.
const prefixBytes = 1024

// completionBody holds the fields that the gateway reads from a request body. The
// engine receives the body unchanged.
type completionBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// decodeCompletion decodes and validates a request body and returns its prompt
// separately.
func decodeCompletion(f format, data []byte) (completionBody, []byte, error) {
	var b completionBody
	if !utf8.Valid(data) {
		return b, nil, badRequest("the body is not valid UTF-8")
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return b, nil, badRequest("the body is not a valid JSON request: %v", err)
	}
	if b.Model == "" {
		return b, nil, badRequest("model is missing")
	}
	if b.N != nil && *b.N != 1 {
		return b, nil, badRequest("n must be 1")
	}
	prompt := b.Messages
	if f == textFormat {
		prompt = b.Prompt
	}
	prompt = bytes.TrimSpace(prompt)
	switch {
	case len(prompt) == 0 || bytes.Equal(prompt, []byte("null")):
		return b, nil, badRequest("%s is missing", f.promptKey())
	case f == chatFormat && prompt[0] != '[':
		return b, nil, badRequest("messages is not a list")
	case f == textFormat && prompt[0] != '"' && prompt[0] != '[':
		return b, nil, badRequest("prompt is neither a text nor a list")
	}
	// The raw fields hold a copy of the prompt, which would stay in memory while
	// the request waits.
	b.Messages, b.Prompt = nil, nil
	return b, prompt, nil
}

// outputLimit returns the requested maximum number of output tokens, or the
// default def. It fails if the value is not between 1 and limit.
func (b completionBody) outputLimit(defaultLimit, maxLimit int64) (int64, error) {
	bound := defaultLimit
	if b.MaxTokens != nil {
		bound = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		bound = *b.MaxCompletionTokens
	}
	if bound < 1 || bound > maxLimit {
		return 0, badRequest("the output bound must be from 1 to %d tokens", maxLimit)
	}
	return bound, nil
}

func (s *Server) handleCompletion(f format) callHandler {
	return func(w http.ResponseWriter, r *http.Request, c *call) error {
		data, release, err := s.readBody(w, r, c.account.Name)
		if err != nil {
			return err
		}
		defer release()
		request, body, err := s.newModelRequest(f, c, data)
		if err != nil {
			return err
		}
		request.Method, request.Path = r.Method, r.URL.Path
		response := &modelResponse{server: s, w: w, format: f, id: c.id, model: body.Model, created: c.received.Unix(), deadline: request.Deadline}
		var sink modelSink = &bufferedSink{modelResponse: response}
		if body.Stream {
			sink = &streamSink{modelResponse: response, includeUsage: body.StreamOptions != nil && body.StreamOptions.IncludeUsage}
		}
		result, err := s.config.Dispatcher.Run(r.Context(), request, sink)
		if err != nil {
			return sink.fail(err)
		}
		s.estimator.update(body.Model, len(data), result.PromptTokens)
		return sink.finish(result)
	}
}

func (s *Server) newModelRequest(f format, c *call, data []byte) (*dispatch.Request, completionBody, error) {
	body, prompt, err := decodeCompletion(f, data)
	if err != nil {
		return nil, body, err
	}
	tables := c.view.Config.Tables
	route, ok := tables.ModelRoute(c.account.Name, body.Model)
	if !ok {
		return nil, body, verdict.New(verdict.NotRun, verdict.ReasonUnknownModel, "the account reaches no model %q", body.Model)
	}
	pool, ok := tables.Pool(route.Pool)
	if !ok {
		return nil, body, verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "pool %s does not exist", route.Pool)
	}
	output, err := body.outputLimit(s.config.Limits.DefaultOutputTokens, s.config.Limits.MaxOutputTokens)
	if err != nil {
		return nil, body, err
	}
	tokens := s.estimator.estimate(body.Model, len(data))
	// The actual count can be little more than half the estimate, so only prompts
	// estimated at more than twice the limit are refused here. The endpoint counts
	// the tokens of the others.
	if tokens > 2*pool.MaxPromptTokens {
		return nil, body, verdict.New(verdict.NotRun, verdict.ReasonPromptTooLong, "the prompt has about %d tokens, the limit is %d", tokens, pool.MaxPromptTokens)
	}
	return &dispatch.Request{
		ID: c.id, Account: c.account, Route: route, Pool: pool, Body: data,
		Keys: routing.NewKeys(
			hashParts([]byte(c.account.Name), []byte(body.Model), prompt[:min(len(prompt), prefixBytes)]),
			hashParts([]byte(c.account.Name), []byte(body.Model), data),
			int64(len(data)),
		),
		Streaming: body.Stream, PromptTokens: min(tokens, pool.MaxPromptTokens), MaxOutputTokens: output,
		Deadline: c.deadlineFor(route), IdempotencyKey: c.idempotencyKey,
	}, body, nil
}

// hashParts hashes the parts, each followed by a zero byte.
func hashParts(parts ...[]byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, p := range parts {
		_, _ = h.Write(p)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) handleModels(w http.ResponseWriter, _ *http.Request, c *call) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range c.view.Config.Tables.Models(c.account.Name) {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "siskinstand"})
	}
	writeJSON(w, s.config.Limits.WriteTimeout, http.StatusOK, list)
	return nil
}
