package kvstore

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"siskinstand.example/adapters/internal/httpjson"
)

// Guards against a list that misses keys or includes keys without the prefix.
func TestPrefixEnd(t *testing.T) {
	for prefix, want := range map[string]string{"": "\x00", "a": "b", "a\xff": "b", "\xff\xff": "\x00", "config/": "config0"} {
		if got := string(prefixEnd(prefix)); got != want {
			t.Errorf("prefix %q: got %q, want %q", prefix, got, want)
		}
	}
}

func FuzzDecodeWatch(f *testing.F) {
	f.Add(`{"result":{"created":true}}` + "\n" + `{"result":{"events":[{"kv":{"key":"aw==","mod_revision":"7"}}]}}`)
	f.Add(`{"result":{"events":[{"type":"DELETE","kv":{"key":"aw=="}}]}}`)
	f.Add(`{"error":{"code":5}}`)
	f.Fuzz(func(t *testing.T, stream string) {
		pair, found, err := decodeWatch(strings.NewReader(stream), "k", 1<<12)
		if found && (err != nil || pair.Key != "k") {
			t.Fatalf("found %+v with error %v", pair, err)
		}
	})
}

// Guards against treating a write with an unknown outcome as not applied. Of the
// error responses, only a rate limit error may become ErrUnavailable.
func FuzzWriteErrorFromStatus(f *testing.F) {
	f.Add([]byte(`{"code":8,"message":"too many requests"}`))
	f.Add([]byte(`{"code":5}`))
	f.Add([]byte(`{"code":14}`))
	f.Add([]byte(`not JSON`))
	f.Fuzz(func(t *testing.T, body []byte) {
		err := writeErrorFromStatus(&httpjson.StatusError{Status: 503, Body: body})
		var decoded gatewayError
		isRateLimited := json.Unmarshal(body, &decoded) == nil && decoded.Code == codeResourceExhausted
		if errors.Is(err, ErrUnavailable) != isRateLimited {
			t.Fatalf("error for body %q = %v, want ErrUnavailable only for a rate limit", body, err)
		}
	})
}
