package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// OutputTokenBytes is the fixed length of one token of output.
const OutputTokenBytes = 5

// bytesPerToken is how the fake counts the tokens of a prompt.
const bytesPerToken = 4

// Lengths of an answer that no bound cuts short.
const (
	minAnswerTokens  = 16
	answerTokenRange = 48
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt joins the messages of a chat into the prompt that Expected takes.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// ExpectedOutput returns the fake's whole answer to a prompt and its finish reason.
// A maxTokens of 0 sets no bound.
func ExpectedOutput(prompt string, maxTokens int64) (text, finishReason string) {
	seed := xxhash.Sum64String(prompt)
	count, reason := answerLength(seed, maxTokens)
	var b strings.Builder
	for i := range count {
		b.WriteString(token(seed, i))
	}
	return b.String(), reason
}

// PromptTokens returns the number of tokens that the fake counts in a prompt.
func PromptTokens(prompt string) int64 {
	return int64(len(prompt)+bytesPerToken-1) / bytesPerToken
}

func answerLength(seed uint64, maxTokens int64) (int64, string) {
	natural := minAnswerTokens + int64(seed%answerTokenRange)
	if maxTokens > 0 && maxTokens < natural {
		return maxTokens, "length"
	}
	return natural, "stop"
}

func token(seed uint64, position int64) string {
	mixed := (seed ^ uint64(position)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return fmt.Sprintf("%04x ", uint16(mixed>>40))
}
