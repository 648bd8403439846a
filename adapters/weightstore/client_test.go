package weightstore

import (
	"encoding/json"
	"testing"
)

func FuzzStat(f *testing.F) {
	f.Add([]byte(`{"model":"m","bytes":5}`))
	f.Add([]byte(`{"model":"m","bytes":-5}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var response statResponse
		if json.Unmarshal(data, &response) != nil {
			return
		}
		if object, err := response.toObject("m"); err == nil && (object.Model != "m" || object.Bytes <= 0) {
			t.Fatalf("accepted invalid object %+v", object)
		}
	})
}
