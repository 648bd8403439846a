package httpapi

import "siskinstand.example/gateway/dispatch"

// format is one of the two formats of the completions API.
type format string

const (
	chatFormat format = "chat"
	textFormat format = "text"
)

func (f format) promptKey() string {
	if f == chatFormat {
		return "messages"
	}
	return "prompt"
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type responseBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newUsage(r dispatch.Result) *usage {
	return &usage{PromptTokens: r.PromptTokens, CompletionTokens: r.OutputTokens, TotalTokens: r.PromptTokens + r.OutputTokens}
}

// completeBody returns the body of a response that is not streamed.
func (m *modelResponse) completeBody(text string, r dispatch.Result) responseBody {
	c := choice{FinishReason: &r.FinishReason}
	d := responseBody{ID: "cmpl-" + m.id, Object: "text_completion", Created: m.created, Model: m.model, Usage: newUsage(r)}
	if m.format == chatFormat {
		d.ID, d.Object = "chatcmpl-"+m.id, "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	d.Choices = []choice{c}
	return d
}

// eventBody returns the body of one stream event. Only the first event of a
// chat response contains the role.
func (m *modelResponse) eventBody(text string, first bool, finish *string) responseBody {
	c := choice{FinishReason: finish}
	d := responseBody{ID: "cmpl-" + m.id, Object: "text_completion", Created: m.created, Model: m.model}
	if m.format == chatFormat {
		d.ID, d.Object = "chatcmpl-"+m.id, "chat.completion.chunk"
		c.Delta = &message{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	d.Choices = []choice{c}
	return d
}
