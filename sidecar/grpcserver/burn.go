package grpcserver

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinstand.example/coord/admission"
	"siskinstand.example/peerpb"
	"siskinstand.example/service/burnrate"
)

// maxBurnAccounts bounds the accounts in one Burn request and the worst accounts
// in its response.
const maxBurnAccounts = 1_024

// burnKey returns the key of the series in which the attempt is counted. A plain
// service has no prompt length class.
func (a *attempt) burnKey() burnrate.Key {
	key := burnrate.Key{Account: a.offer.Account, Service: a.offer.Pool}
	if a.offer.Model != "" {
		key.Service, key.Class = a.offer.Model, string(admission.ClassOf(a.offer.PromptTokens))
	}
	return key
}

// recordChunk records the time to first token or the token gap of one chunk. The
// first chunk counts as the first token, even without tokens.
func (a *attempt) recordChunk(tokens int32) {
	now := time.Now()
	if a.chunksSent == 0 {
		a.server.config.Loop.RecordFirstToken(a.loopAttempt)
		a.server.burnRecorder.RecordFirstToken(a.burnKey(), now.Sub(a.arrivedAt))
	} else if tokens > 0 {
		a.server.burnRecorder.RecordTokenGap(a.burnKey(), now.Sub(a.lastChunkAt)/time.Duration(tokens), int(tokens))
	}
	a.lastChunkAt = now
	a.loopAttempt.RecordChunk(now)
}

// Burn returns the service level objective counts measured at this endpoint.
func (s *Server) Burn(_ context.Context, r *peerpb.BurnRequest) (*peerpb.BurnResponse, error) {
	accounts := r.GetAccounts()
	if len(accounts) > maxBurnAccounts {
		return nil, status.Errorf(codes.InvalidArgument, "%d accounts; accepted: up to %d", len(accounts), maxBurnAccounts)
	}
	list, err := s.burnRecorder.Series(accounts)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	response := &peerpb.BurnResponse{Sender: s.sender(), WorstAccounts: s.burnRecorder.WorstAccounts(min(int(r.GetWorst()), maxBurnAccounts))}
	for _, b := range list {
		response.Series = append(response.Series, &peerpb.BurnSeries{
			Account: b.Account, Service: b.Service, Class: b.Class, Objective: string(b.Objective),
			WindowS: int64(time.Duration(b.Window) / time.Second), Good: b.Good, Total: b.Total, Histogram: b.Histogram,
		})
	}
	return response, nil
}
