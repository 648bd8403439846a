package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"siskinstand.example/peerpb"
	"siskinstand.example/service/burnrate"
)

// burnPeer implements Burn as package gateway/peer does.
type burnPeer struct {
	peerpb.UnimplementedPeerServer
	recorder *burnrate.Recorder
}

func (p burnPeer) Burn(_ context.Context, r *peerpb.BurnRequest) (*peerpb.BurnResponse, error) {
	series, err := p.recorder.Series(r.GetAccounts())
	response := &peerpb.BurnResponse{WorstAccounts: p.recorder.WorstAccounts(int(r.GetWorst()))}
	for _, s := range series {
		response.Series = append(response.Series, &peerpb.BurnSeries{
			Account: s.Account, Service: s.Service, Class: s.Class, Objective: string(s.Objective),
			WindowS: int64(time.Duration(s.Window).Seconds()), Good: s.Good, Total: s.Total, Histogram: s.Histogram,
		})
	}
	return response, err
}

// startBurnGateway starts a gateway that has recorded good and bad events of one
// client account, and returns its address.
func startBurnGateway(t *testing.T, account string, good, bad int) string {
	t.Helper()
	recorder := burnrate.New(burnrate.Config{})
	for i := range good + bad {
		recorder.RecordAnswer(burnrate.Key{Account: account, Service: "llm", Class: "1k"}, 100*time.Millisecond, i < good)
	}
	return servePeer(t, burnPeer{recorder: recorder})
}

// Guards against a report that leaves out gateways on which an account has no bad
// events, or that does not mention a gateway that does not answer.
func TestBurn(t *testing.T) {
	f := &fixture{t: t, dir: t.TempDir()}
	first, second := startBurnGateway(t, "<acc>", 10, 10), startBurnGateway(t, "<acc>", 60, 0)
	path := filepath.Join(f.dir, "burn.html")
	args := []string{"burn", "--gateway", first, "--gateway", second, "--gateway", "127.0.0.1:1", "--html", path}
	out := f.run(exitOK, "127.0.0.1:1 is not included", args...)
	want := []string{"<acc>", "llm", "1k", "answered", "80", "87.50%", "125.00", "125.00", "125.00", "125.00", "-", "fast"}
	rows := strings.Split(out, "\n")
	if len(rows) < 3 || strings.Join(strings.Fields(rows[2]), " ") != strings.Join(want, " ") {
		t.Errorf("report:\n%s\nwant the row %v", out, want)
	}
	assertPage(t, path)
	f.run(exitUsage, "accepted are 0 to 200", "burn", "--worst", "201", "--gateway", first)
	f.run(exitUnavailable, "no gateway answers", "burn", "--gateway", "127.0.0.1:1")
}

// assertPage guards against a page that loads external resources, contains
// scripts or unescaped names, or lacks the plots, dark mode or phone layout. All
// colours of the plot library must be replaced by style sheet variables.
func assertPage(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for _, banned := range []string{"http://", "https://", "src=", "<script", "<acc>", "#FF0000", "#00FF00", "fill:#", "stroke:#"} {
		if strings.Contains(text, banned) {
			t.Errorf("the page contains %q", banned)
		}
	}
	for _, needed := range []string{"width=device-width", "prefers-color-scheme: dark", "max-width: 40rem", "&lt;acc&gt;", "87.50%", "&lt;acc&gt; llm 1k</text>", "var(--w5m)", "var(--alert)", "no events"} {
		if !strings.Contains(text, needed) {
			t.Errorf("the page does not contain %q", needed)
		}
	}
}
