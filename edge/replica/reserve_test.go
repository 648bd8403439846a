package replica

import (
	"errors"
	"testing"

	"siskinstand.example/coord/responsehead"
	"siskinstand.example/coord/responsehead/headtest"
)

// Guards against bytes that are no response and are taken for the reservation of memory.
func TestBrokenOrderResponse(t *testing.T) {
	for _, tc := range headtest.Broken("Content-Type: application/json\r\n") {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			target := ReservationTarget{ID: "i-1", Address: headtest.Serve(t, tc.Text), Tokens: 1}
			r, err := testPool(t).Reserve(t.Context(), "e1", []ReservationTarget{target})
			if !errors.Is(err, responsehead.ErrMalformed) {
				t.Errorf("error %v, want ErrMalformed", err)
			}
			if err == nil {
				r.Release()
			}
		})
	}
}
