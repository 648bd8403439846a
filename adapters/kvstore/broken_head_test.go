package kvstore

import (
	"errors"
	"testing"

	"siskinstand.example/coord/responsehead"
	"siskinstand.example/coord/responsehead/headtest"
)

// Guards against bytes that are no response and are taken for one of the store.
func TestBrokenHead(t *testing.T) {
	for _, tc := range headtest.Broken("Content-Type: application/json\r\n") {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			client := NewClient(headtest.Serve(t, tc.Text), DefaultLimits())
			if _, err := client.Get(t.Context(), "k"); !errors.Is(err, responsehead.ErrMalformed) {
				t.Errorf("read: error %v, want ErrMalformed", err)
			}
			if _, err := client.Watch(t.Context(), "k", 1); !errors.Is(err, responsehead.ErrMalformed) {
				t.Errorf("watch: error %v, want ErrMalformed", err)
			}
			if _, err := client.CompareAndSwap(t.Context(), "k", nil, 1, 0); !errors.Is(err, responsehead.ErrMalformed) || !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("write: error %v, want ErrMalformed and ErrOutcomeUnknown", err)
			}
		})
	}
}
