package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// OutputTokenBytes is the length of every output token in bytes.
const OutputTokenBytes = 5

// promptBytesPerToken is the number of prompt bytes that count as one token.
const promptBytesPerToken = 4

// Range of the output length if max_tokens does not limit it.
const (
	minOutputTokens  = 16
	outputTokenRange = 48
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt joins chat messages into the prompt for ExpectedOutput.
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

// ExpectedOutput returns the complete output of the engine for a prompt and its
// finish reason. A maxTokens of 0 sets no limit.
func ExpectedOutput(prompt string, maxTokens int64) (text, finishReason string) {
	seed := xxhash.Sum64String(prompt)
	count, reason := outputLength(seed, maxTokens)
	var b strings.Builder
	for i := range count {
		b.WriteString(outputToken(seed, i))
	}
	return b.String(), reason
}

// PromptTokens returns the length of a prompt in tokens, as the fake counts them.
func PromptTokens(prompt string) int64 {
	return int64(len(prompt)+promptBytesPerToken-1) / promptBytesPerToken
}

func outputLength(seed uint64, maxTokens int64) (int64, string) {
	unlimited := minOutputTokens + int64(seed%outputTokenRange)
	if maxTokens > 0 && maxTokens < unlimited {
		return maxTokens, "length"
	}
	return unlimited, "stop"
}

// outputToken returns the output token at a position, derived from the hash of
// the prompt.
func outputToken(seed uint64, position int64) string {
	hash := (seed ^ uint64(position)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return fmt.Sprintf("%04x ", uint16(hash>>40))
}
