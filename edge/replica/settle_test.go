package replica

import (
	"testing"
	"time"

	"siskinstand.example/coord/connfault"
)

// Guards against a request that ends at its replica to move to another one which resets the new
// connection.
func TestConnectionsForMovesLast(t *testing.T) {
	for _, how := range []turnAway{closePort, resetAccepted} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			s := serveLimited(t, 1, how, stream(time.Second, 0, 1))
			p := testPool(t)
			resp, err := send(p, s.address, "a1", "")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			_, err = p.Connect(t.Context(), Request{Address: s.address, AttemptID: "a2"})
			checkState(t, err, connfault.AtLimit)
		})
	}
}
