package engine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	engineapi "siskinstand.example/adapters/engine"
	"siskinstand.example/fakes/server"
)

// completionBody holds the fields of a request body that the fake supports.
type completionBody struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int64                   `json:"max_completion_tokens"`
	Stream              bool                    `json:"stream"`
	Priority            int                     `json:"priority"`
	ResumeText          string                  `json:"resume_text"`
	Members             []engineapi.GroupMember `json:"members"`
}

// responseFormat is the format of the output in a response: that of the completions
// or of the chat completions API.
type responseFormat string

const (
	textFormat responseFormat = "text"
	chatFormat responseFormat = "chat"
)

// commentInterval is the interval of the comment lines in a stream. They show the
// client that the engine is alive even while there are no tokens. A frozen engine
// sends none.
const commentInterval = 500 * time.Millisecond

func (e *Engine) completionsHandler(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if server.ReadJSON(w, r, &body) {
		e.complete(w, r, body, body.Prompt, textFormat)
	}
}

func (e *Engine) chatHandler(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if server.ReadJSON(w, r, &body) {
		e.complete(w, r, body, ChatPrompt(body.Messages), chatFormat)
	}
}

// complete runs a completion and writes its response, as a stream if requested.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request, body completionBody, prompt string, format responseFormat) {
	s, invalid := newSequence(r.Header.Get(engineapi.HeaderAttemptID), body, prompt)
	if invalid != "" {
		writeNotRunError(w, http.StatusBadRequest, "bad_request", invalid)
		return
	}
	e.mu.Lock()
	model, total := e.model, e.memory.totalTokens
	e.mu.Unlock()
	if body.Model != model {
		writeNotRunError(w, http.StatusNotFound, "unknown_model", "the engine runs model "+model)
		return
	}
	if s.reservedTokens > total {
		writeNotRunError(w, http.StatusBadRequest, "prompt_too_long", "the prompt exceeds the engine's memory")
		return
	}
	e.submit(s)
	if body.Stream {
		e.streamResponse(w, r, s, format)
		return
	}
	e.writeResponse(w, r, s, format)
}

// newSequence returns the sequence for a request, or a message if the resume text
// does not match the output for the prompt.
func newSequence(attemptID string, body completionBody, prompt string) (*sequence, string) {
	seed := xxhash.Sum64String(prompt)
	length, reason := outputLength(seed, cmp.Or(body.MaxTokens, body.MaxCompletionTokens))
	s := &sequence{
		attemptID: attemptID, prompt: prompt, blocks: blockHashes(prompt), seed: seed, priority: body.Priority,
		promptTokens: PromptTokens(prompt), outputTokens: length, finishReason: reason,
		tokens: make(chan string, length), aborted: make(chan struct{}), cancelled: make(chan struct{}),
	}
	for s.nextPosition*OutputTokenBytes < int64(len(body.ResumeText)) {
		if s.nextPosition == length || !strings.HasPrefix(body.ResumeText[s.nextPosition*OutputTokenBytes:], outputToken(seed, s.nextPosition)) {
			return nil, "resume_text is not the start of this prompt's answer"
		}
		s.nextPosition++
	}
	s.resumedTokens = s.nextPosition
	s.reservedTokens = s.promptTokens + length
	for _, m := range body.Members {
		s.reservedTokens -= m.Tokens
	}
	s.reservedTokens = max(s.reservedTokens, 0)
	return s, ""
}

func (e *Engine) streamResponse(w http.ResponseWriter, r *http.Request, s *sequence, format responseFormat) {
	defer e.abandon(s)
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	comments := time.NewTicker(commentInterval)
	defer comments.Stop()
	_ = out.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-s.aborted:
			panic(server.ErrAbortConnection)
		case <-s.cancelled:
			fmt.Fprint(w, `data: {"error":{"code":"cancelled","message":"attempt cancelled","verdict":"may_have_run"}}`+"\n\n")
			return
		case <-comments.C:
			if !e.Switches().Frozen {
				fmt.Fprint(w, ": running\n\n")
				_ = out.Flush()
			}
		case text, open := <-s.tokens:
			if !open {
				fmt.Fprintf(w, "data: %s\n\n", streamEvent(s, format, "", s.finishReason))
				fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":%s}\n\n", usageJSON(s))
				fmt.Fprint(w, "data: [DONE]\n\n")
				return
			}
			fmt.Fprintf(w, "data: %s\n\n", streamEvent(s, format, text, ""))
			_ = out.Flush()
		}
	}
}

func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, s *sequence, format responseFormat) {
	defer e.abandon(s)
	var text strings.Builder
	for {
		select {
		case <-r.Context().Done():
			return
		case <-s.aborted:
			panic(server.ErrAbortConnection)
		case <-s.cancelled:
			panic(server.ErrAbortConnection)
		case token, open := <-s.tokens:
			if !open {
				w.Header().Set("Content-Type", "application/json")
				fmt.Fprintf(w, `{"choices":[%s],"usage":%s}`, responseChoice(s, format, text.String()), usageJSON(s))
				return
			}
			text.WriteString(token)
		}
	}
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

func streamEvent(s *sequence, format responseFormat, text, reason string) []byte {
	c := choice{}
	if format == chatFormat {
		c.Delta = &Message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	if reason != "" {
		c.FinishReason = &reason
	}
	data, _ := json.Marshal(struct {
		ID      string   `json:"id"`
		Choices []choice `json:"choices"`
	}{ID: s.attemptID, Choices: []choice{c}})
	return data
}

func responseChoice(s *sequence, format responseFormat, text string) []byte {
	c := choice{FinishReason: &s.finishReason}
	if format == chatFormat {
		c.Message = &Message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	data, _ := json.Marshal(c)
	return data
}

func usageJSON(s *sequence) []byte {
	data, _ := json.Marshal(map[string]int64{
		"prompt_tokens":     s.promptTokens,
		"completion_tokens": s.outputTokens - s.resumedTokens,
		"total_tokens":      s.promptTokens + s.outputTokens - s.resumedTokens,
	})
	return data
}
