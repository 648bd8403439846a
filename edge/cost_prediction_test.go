package main

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"siskinstand.example/fakes/platform"
)

// Guards against a setting that does not reach the control loop, and against results of streams
// and plain calls that do not reach the predictor.
func TestCostPredictionLearnsFromResponses(t *testing.T) {
	s := newTestSite(t)
	s.settings.Placement.CostPrediction = true
	s.restart()
	s.addReplica("i-1", "llm", "z1", 10)
	s.addReplica("i-2", "app", "z1", 0)
	for range 3 {
		s.checkReply(s.send(streamCall()), http.StatusOK, platform.StreamBody(10))
		s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-2")
	}
	metric := func(parts ...string) bool {
		resp, err := http.Get("http://" + s.settings.Admin.Address + "/metrics")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body) // a truncated text lacks the line
		for line := range strings.Lines(string(text)) {
			if strings.HasPrefix(line, parts[0]) && strings.Contains(line, parts[1]) && strings.HasSuffix(line, " 3\n") {
				return true
			}
		}
		return false
	}
	s.eventually("streams are counted", func() bool { return metric("siskin_edge_cost_ratio_count", `kind="stream"`) })
	s.eventually("plain calls are counted", func() bool { return metric("siskin_edge_cost_ratio_count", `kind="call"`) })
}
