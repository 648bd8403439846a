package engine

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/verdict"
)

var testLimits = Limits{MaxEventBytes: 1 << 10, MaxResponseBytes: 4 << 10}

const (
	textEvent   = `data: {"choices":[{"text":"ab "}]}` + "\n\n"
	finishEvent = `data: {"choices":[{"finish_reason":"stop"}]}` + "\n\n"
)

// Guards against treating a truncated or oversized stream as complete, and against
// rejecting a complete one.
func TestDecodeStreamRejectsIncompleteStream(t *testing.T) {
	cases := map[string]struct {
		stream string
		want   error
	}{
		"complete":         {textEvent + ": comment\n" + finishEvent + "data: [DONE]\n\n", nil},
		"no done marker":   {textEvent + finishEvent, errStreamTruncated},
		"no finish reason": {textEvent + "data: [DONE]\n\n", errStreamTruncated},
		"empty":            {"", errStreamTruncated},
		"long event":       {"data: " + strings.Repeat("x", 2<<10), errResponseTooLarge},
		"long response":    {strings.Repeat(textEvent, 500) + finishEvent + "data: [DONE]\n\n", errResponseTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := decodeStream(strings.NewReader(c.stream), testLimits, func(Chunk) error { return nil })
			if !errors.Is(err, c.want) || (c.want == nil) != (err == nil) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a refusal in a stream whose text has begun: the request has run, whatever the
// refusal says.
func TestRefusalAfterText(t *testing.T) {
	stream := textEvent + `data: {"error":{"code":"overloaded","verdict":"not_run"}}` + "\n\n"
	_, err := decodeStream(strings.NewReader(stream), DefaultLimits(), func(Chunk) error { return nil })
	if diff := cmp.Diff(verdict.MayHaveRun, verdict.FromError(err)); diff != "" {
		t.Errorf("verdict of %v (-want +got):\n%s", err, diff)
	}
}

// Guards against a verdict other than may_have_run for an error that contains no
// valid verdict, and against changing a valid one.
func TestErrorEventVerdict(t *testing.T) {
	for text, want := range map[string]verdict.Verdict{"not_run": verdict.NotRun, "ran": verdict.Ran, "": verdict.MayHaveRun, "other": verdict.MayHaveRun} {
		stream := `data: {"error":{"code":"overloaded","verdict":"` + text + `"}}` + "\n\n"
		_, err := decodeStream(strings.NewReader(stream), testLimits, func(Chunk) error { return nil })
		if got := verdict.FromError(err); got != want {
			t.Errorf("verdict %q: got %s, want %s (%v)", text, got, want, err)
		}
	}
}

// Guards against caller fields that override those of the serving layer, and
// against accepting a body that is not a JSON object.
func TestStreamRequestBodyOverridesCallerFields(t *testing.T) {
	request := Request{Body: []byte(`{"stream":false,"priority":-9,"max_tokens":1,"resume_text":"x","members":[1],"keep":7}`), Priority: 3}
	body, err := streamRequestBody(request)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"keep":7,"max_tokens":1,"priority":3,"stream":true,"stream_options":{"include_usage":true}}`
	if string(body) != want {
		t.Errorf("got %s, want %s", body, want)
	}
	for _, bad := range []string{"", "null", "[]", "{"} {
		if _, err := streamRequestBody(Request{Body: []byte(bad)}); err == nil {
			t.Errorf("body %q accepted, want an error", bad)
		}
	}
}

func FuzzDecodeStream(f *testing.F) {
	f.Add(textEvent + finishEvent + "data: [DONE]\n\n")
	f.Add(`data: {"error":{"verdict":"not_run"}}` + "\n")
	f.Add("data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}],\"usage\":{}}\n")
	f.Fuzz(func(t *testing.T, stream string) {
		var delivered int64
		result, err := decodeStream(strings.NewReader(stream), testLimits, func(c Chunk) error {
			delivered += int64(len(c.Data))
			return nil
		})
		if err == nil && (result.FinishReason == "" || !strings.Contains(stream, "[DONE]")) {
			t.Fatalf("stream accepted as complete without its final marker: %q", stream)
		}
		// Decoding JSON escapes never lengthens text, but an invalid byte is replaced
		// by the three bytes of U+FFFD.
		if delivered > 3*testLimits.MaxResponseBytes {
			t.Fatalf("delivered %d bytes, want at most 3 times MaxResponseBytes", delivered)
		}
	})
}

// Guards against an error with the verdict not_run that the engine did not send.
func FuzzErrorFromBody(f *testing.F) {
	f.Add(`{"error":{"code":"overloaded","verdict":"not_run"}}`)
	f.Add(`{"error":{"verdict":"no"}}`)
	f.Add(`<html>`)
	f.Fuzz(func(t *testing.T, body string) {
		if got := verdict.FromError(errorFromBody(500, strings.NewReader(body))); got == verdict.NotRun && !strings.Contains(body, "not_run") && !strings.Contains(body, `\u`) {
			t.Fatalf("verdict of error body %q = %s, want another one, because the body does not contain it", body, got)
		}
	})
}
