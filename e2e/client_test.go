package e2e

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"siskinstand.example/fakes/engine"
	"siskinstand.example/fakes/server"
)

const question = "Which birds visit the feeder?"

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("Be brief."), openai.UserMessage(question)},
	}
}

// expectedChatAnswer returns the text and finish reason of the engine's answer to
// chatParams.
func expectedChatAnswer() (string, string) {
	return engine.ExpectedOutput(engine.ChatPrompt([]engine.Message{{Role: "system", Content: "Be brief."}, {Role: "user", Content: question}}), 0)
}

// testContext returns a context that ends after 30 s.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against responses that the published client cannot parse or that differ
// from the engine's answers.
func TestPublishedClient(t *testing.T) {
	s, ctx := startStack(t, largeMemoryTokens), testContext(t)
	wantText, wantReason := expectedChatAnswer()
	t.Run("chat", func(t *testing.T) {
		got, err := s.client.Chat.Completions.New(ctx, chatParams())
		if err != nil {
			t.Fatal(err)
		}
		choice := got.Choices[0]
		if choice.Message.Content != wantText || choice.FinishReason != wantReason || got.Usage.CompletionTokens != int64(len(wantText)/engine.OutputTokenBytes) {
			t.Errorf("got %q (%s), usage %+v; want %q (%s)", choice.Message.Content, choice.FinishReason, got.Usage, wantText, wantReason)
		}
	})
	t.Run("chat stream", func(t *testing.T) {
		stream := s.client.Chat.Completions.NewStreaming(ctx, chatParams())
		var accumulated openai.ChatCompletionAccumulator
		for stream.Next() {
			if !accumulated.AddChunk(stream.Current()) {
				t.Fatalf("chunk does not continue the stream: %+v", stream.Current())
			}
		}
		if stream.Err() != nil || accumulated.Choices[0].Message.Content != wantText || accumulated.Choices[0].FinishReason != wantReason {
			t.Errorf("got %+v, %v; want %q (%s)", accumulated.Choices, stream.Err(), wantText, wantReason)
		}
	})
	completionParams := openai.CompletionNewParams{Model: model, MaxTokens: openai.Int(5), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(question)}}
	completion, completionReason := engine.ExpectedOutput(question, 5)
	t.Run("completion", func(t *testing.T) {
		got, err := s.client.Completions.New(ctx, completionParams)
		if err != nil || got.Choices[0].Text != completion || string(got.Choices[0].FinishReason) != completionReason {
			t.Errorf("got %+v, %v; want %q (%s)", got, err, completion, completionReason)
		}
	})
	t.Run("completion stream", func(t *testing.T) {
		stream := s.client.Completions.NewStreaming(ctx, completionParams)
		var got strings.Builder
		for stream.Next() {
			got.WriteString(stream.Current().Choices[0].Text)
		}
		if stream.Err() != nil || got.String() != completion {
			t.Errorf("got %q, %v; want %q", got.String(), stream.Err(), completion)
		}
	})
	t.Run("models", func(t *testing.T) {
		page, err := s.client.Models.List(ctx)
		if err != nil || len(page.Data) != 1 || page.Data[0].ID != model {
			t.Errorf("got %+v, %v; want only the model siskin-small", page, err)
		}
	})
	t.Run("refusal", func(t *testing.T) {
		unauthorizedClient := openai.NewClient(option.WithBaseURL(s.baseURL+"/v1/"), option.WithAPIKey("other"))
		_, err := unauthorizedClient.Chat.Completions.New(ctx, chatParams())
		var refused *openai.Error
		if !errors.As(err, &refused) || refused.StatusCode != http.StatusUnauthorized || refused.Code != "unauthorized" {
			t.Errorf("got error %v, want status 401 with code unauthorized", err)
		}
	})
}

// Guards against a stream with missing, repeated or reordered text after its
// engine crashes in the middle of the stream.
func TestStreamSurvivesAnEngineCrash(t *testing.T) {
	s, ctx := startStack(t, largeMemoryTokens), testContext(t)
	for _, e := range s.engines {
		switches := e.Switches()
		switches.TokenTime = server.Duration(40 * time.Millisecond)
		if err := e.SetSwitches(switches); err != nil {
			t.Fatal(err)
		}
	}
	text, _ := expectedChatAnswer()
	stream := s.client.Chat.Completions.NewStreaming(ctx, chatParams())
	var got strings.Builder
	crashed := 0
	for stream.Next() {
		got.WriteString(stream.Current().Choices[0].Delta.Content)
		if crashed == 0 && got.Len() >= 4*engine.OutputTokenBytes {
			for _, e := range s.engines {
				if e.Counters().Started > 0 {
					e.Crash()
					crashed++
				}
			}
		}
	}
	if stream.Err() != nil || got.String() != text || crashed != 1 {
		t.Errorf("got %q after %d crashes, %v; want %q", got.String(), crashed, stream.Err(), text)
	}
}

// Guards against a prompt that needs the memory of two engines and is refused or
// truncated, or whose holds are not released.
func TestPromptBeyondOneEngine(t *testing.T) {
	const memoryTokens, promptTokens = 6_000, 8_000
	s, ctx := startStack(t, memoryTokens), testContext(t)
	prompt := strings.Repeat("bird", promptTokens)
	got, err := s.client.Completions.New(ctx, openai.CompletionNewParams{
		Model: model, MaxTokens: openai.Int(8), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
	})
	if err != nil {
		t.Fatal(err)
	}
	if text, _ := engine.ExpectedOutput(prompt, 8); got.Choices[0].Text != text {
		t.Errorf("got %q, want %q", got.Choices[0].Text, text)
	}
	if a, b := s.engines[0].Counters(), s.engines[1].Counters(); a.Started+b.Started != 1 {
		t.Errorf("%d and %d starts, want one leader", a.Started, b.Started)
	}
	s.awaitMemoryReleased(t)
}

// Guards against a request that crashes every engine it runs on and is resent by
// the client: it must cause at most two crashes, and other requests must still be
// answered.
func TestCrashingRequestIsContained(t *testing.T) {
	s, ctx := startStack(t, largeMemoryTokens), testContext(t)
	for _, e := range s.engines {
		switches := e.Switches()
		switches.CrashDown = server.Duration(300 * time.Millisecond)
		if err := e.SetSwitches(switches); err != nil {
			t.Fatal(err)
		}
	}
	params := chatParams()
	params.Messages = append(params.Messages, openai.UserMessage(engine.DefaultConfig().Switches.CrashMarker))
	var refused *openai.Error
	for range 10 {
		_, err := s.client.Chat.Completions.New(ctx, params, option.WithMaxRetries(0))
		if !errors.As(err, &refused) {
			t.Fatalf("got %v, want a refusal", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if a, b := s.engines[0].Counters().Crashes, s.engines[1].Counters().Crashes; a+b > 2 || a+b == 0 {
		t.Errorf("%d and %d crashes, want 1 or 2 in total", a, b)
	}
	if refused.Code != "crash_suspect" {
		t.Errorf("last refusal has code %s, want crash_suspect", refused.Code)
	}
	text, _ := expectedChatAnswer()
	got, err := s.client.Chat.Completions.New(ctx, chatParams())
	if err != nil || got.Choices[0].Message.Content != text {
		t.Errorf("another request: got %+v, %v; want the engine's expected output", got, err)
	}
}
