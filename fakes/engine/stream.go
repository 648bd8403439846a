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

// completionBody is the part of a request body that the fake reads.
type completionBody struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of the same bound.
	MaxCompletionTokens int64                   `json:"max_completion_tokens"`
	Stream              bool                    `json:"stream"`
	Priority            int                     `json:"priority"`
	ResumeText          string                  `json:"resume_text"`
	Members             []engineapi.GroupMember `json:"members"`
}

// commentInterval is how often a stream without tokens sends a comment line,
// which tells the client that the engine is alive.
const commentInterval = 500 * time.Millisecond

func (e *Engine) completions(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if server.ReadJSON(w, r, &body) {
		e.answer(w, r, body, body.Prompt, false)
	}
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if server.ReadJSON(w, r, &body) {
		e.answer(w, r, body, ChatPrompt(body.Messages), true)
	}
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, body completionBody, prompt string, chat bool) {
	s, problem := newSequence(r.Header.Get(engineapi.HeaderAttemptID), body, prompt)
	if problem != "" {
		writeError(w, http.StatusBadRequest, "bad_request", problem)
		return
	}
	e.mu.Lock()
	model, total := e.model, e.memory.total
	e.mu.Unlock()
	if body.Model != model {
		writeError(w, http.StatusNotFound, "unknown_model", "the engine runs model "+model)
		return
	}
	if s.reserved > total {
		writeError(w, http.StatusBadRequest, "prompt_too_long", "the prompt exceeds the engine's memory")
		return
	}
	e.submit(s)
	if body.Stream {
		e.stream(w, r, s, chat)
		return
	}
	e.single(w, r, s, chat)
}

func newSequence(attempt string, body completionBody, prompt string) (*sequence, string) {
	seed := xxhash.Sum64String(prompt)
	length, reason := answerLength(seed, cmp.Or(body.MaxTokens, body.MaxCompletionTokens))
	s := &sequence{
		attempt: attempt, prompt: prompt, blocks: blockHashes(prompt), seed: seed, priority: body.Priority,
		promptTokens: PromptTokens(prompt), length: length, reason: reason,
		tokens: make(chan string, length), broken: make(chan struct{}), cancelled: make(chan struct{}),
	}
	for s.position*OutputTokenBytes < int64(len(body.ResumeText)) {
		if s.position == length || !strings.HasPrefix(body.ResumeText[s.position*OutputTokenBytes:], token(seed, s.position)) {
			return nil, "resume_text is not the start of this prompt's answer"
		}
		s.position++
	}
	s.resumed = s.position
	s.reserved = s.promptTokens + length
	for _, m := range body.Members {
		s.reserved -= m.Tokens
	}
	s.reserved = max(s.reserved, 0)
	return s, ""
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, chat bool) {
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
		case <-s.broken:
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
				fmt.Fprintf(w, "data: %s\n\n", event(s, chat, "", s.reason))
				fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":%s}\n\n", usage(s))
				fmt.Fprint(w, "data: [DONE]\n\n")
				return
			}
			fmt.Fprintf(w, "data: %s\n\n", event(s, chat, text, ""))
			_ = out.Flush()
		}
	}
}

func (e *Engine) single(w http.ResponseWriter, r *http.Request, s *sequence, chat bool) {
	defer e.abandon(s)
	var text strings.Builder
	for {
		select {
		case <-r.Context().Done():
			return
		case <-s.broken:
			panic(server.ErrAbortConnection)
		case <-s.cancelled:
			panic(server.ErrAbortConnection)
		case piece, open := <-s.tokens:
			if !open {
				w.Header().Set("Content-Type", "application/json")
				fmt.Fprintf(w, `{"choices":[%s],"usage":%s}`, singleChoice(s, chat, text.String()), usage(s))
				return
			}
			text.WriteString(piece)
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

func event(s *sequence, chat bool, text, reason string) []byte {
	c := choice{}
	if chat {
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
	}{ID: s.attempt, Choices: []choice{c}})
	return data
}

func singleChoice(s *sequence, chat bool, text string) []byte {
	c := choice{FinishReason: &s.reason}
	if chat {
		c.Message = &Message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	data, _ := json.Marshal(c)
	return data
}

func usage(s *sequence) []byte {
	data, _ := json.Marshal(map[string]int64{
		"prompt_tokens":     s.promptTokens,
		"completion_tokens": s.length - s.resumed,
		"total_tokens":      s.promptTokens + s.length - s.resumed,
	})
	return data
}
