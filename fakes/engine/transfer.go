package engine

import (
	"net/http"
	"time"

	engineapi "siskinstand.example/adapters/engine"
	"siskinstand.example/fakes/server"
)

// transferHandler allocates memory for an export or import of KV cache. It copies
// no data.
func (e *Engine) transferHandler(kind engineapi.AllocationKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			PieceID string `json:"piece_id"`
			Owner   string `json:"owner"`
			Tokens  int64  `json:"tokens"`
		}
		if !server.ReadJSON(w, r, &body) {
			return
		}
		if body.PieceID == "" || body.Owner == "" || body.Tokens <= 0 {
			writeNotRunError(w, http.StatusBadRequest, "bad_request", "a transfer needs an identifier, an owner and tokens")
			return
		}
		e.mu.Lock()
		ok := e.memory.addTransfer(engineapi.Allocation{ID: body.PieceID, Kind: kind, Owner: body.Owner, Tokens: body.Tokens}, time.Now())
		e.mu.Unlock()
		if !ok {
			writeNotRunError(w, http.StatusConflict, "overloaded", "not enough free memory for the transfer")
			return
		}
		server.WriteJSON(w, struct{}{})
	}
}
