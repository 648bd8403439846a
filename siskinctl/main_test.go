package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"

	fake "siskinstand.example/fakes/kvstore"
	"siskinstand.example/fakes/server"
	"siskinstand.example/peerpb"
)

// fixture runs siskinctl with args before the arguments of each command, such as
// the address of a fake store.
type fixture struct {
	t     *testing.T
	store *fake.Store
	args  []string
	dir   string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	var s *server.Server
	f := &fixture{t: t, dir: t.TempDir()}
	f.store = fake.New(fake.Config{OnRestart: func(d time.Duration) { s.StopFor(d) }})
	s, err := server.StartLoopback(f.store.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f.args = []string{"--store", strings.TrimPrefix(s.Address(), "http://")}
	return f
}

// writeFile writes a file into the test's directory and returns its path.
func (f *fixture) writeFile(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// run runs siskinctl, asserts its exit code and that its output contains want,
// and returns the standard output.
func (f *fixture) run(code int, want string, args ...string) string {
	f.t.Helper()
	var out, errOut strings.Builder
	got := run(append(f.args, args...), strings.NewReader(""), &out, &errOut)
	if output := out.String() + errOut.String(); got != code || !strings.Contains(output, want) {
		f.t.Errorf("siskinctl %s: exit code %d, want %d with %q:\n%s", strings.Join(args, " "), got, code, want, output)
	}
	return out.String()
}

// Guards against wrong exit codes, lost or reverted edits, and invalid or
// conflicting edits that are accepted.
func TestEditing(t *testing.T) {
	f := newFixture(t)
	pools := f.writeFile("pools.ini", "# revision 0\n[zone a]\nstate = out\n[pool p]\nkind = plain\nservice = s\n")
	f.run(exitOK, "valid", "check", "--pools", pools)
	f.run(exitWarnings, "[pool p]: warning: no route", "check", "--pools", pools, "--strict")
	f.run(exitOK, `"section": "zone a"`, "check", "--pools", pools, "--output", "json")
	f.run(exitOK, "not compared with the store", "check", "--pools", pools, "--routes", f.writeFile("empty.ini", ""), "--store", "127.0.0.1:1", "--timeout", "200ms")
	f.run(exitInvalid, "version: required", "check", "--document", f.writeFile("d.json", "{}"))
	f.run(exitOK, "[document]\n- version = 1\n+ version = 2", "check", "--in-force", f.writeFile("d1.json", `{"version":1}`), "--document", f.writeFile("d2.json", `{"version":2}`))
	f.run(exitDiffers, "+ state = out", "diff", "--pools", pools)
	f.run(exitOK, "accepted: revision 1", "apply", "--pools", pools, "--change-id", "first")
	f.run(exitOK, "no change", "apply", "--pools", pools, "--base", "1")
	f.run(exitOK, "", "diff", "--pools", pools)
	f.run(exitOK, "accepted: revision 2", "edit", "pools", "zone a", "state=in")
	f.run(exitConflict, "change first by", "apply", "--pools", pools)
	f.run(exitConflict, "made revision 2", "edit", "--base", "1", "pools", "zone b", "state=out")
	f.run(exitInvalid, `[zone a] state: "off" is not accepted; accepted: in, out`, "edit", "pools", "zone a", "state=off")
	f.run(exitInvalid, `[route r] pool: unknown pool "none"`, "check", "--routes", f.writeFile("r.ini", "[route r]\naccounts = *\nservice = s\npool = none\n"))
	f.run(exitOK, "accepted: revision 3", "edit", "--delete", "pools", "zone a")
	if got := f.run(exitOK, "# revision 3", "get", "pools"); strings.Contains(got, "zone a") {
		t.Errorf("the deleted row is still there:\n%s", got)
	}
	f.run(exitOK, "changed at revision 1\n[pool p]", "get", "pools", "--section", "pool p")
	f.run(exitOK, "change first based on 0: pools [pool p], pools [zone a]", "history", "--table", "pools")
}

// Guards against usage errors that are ignored or reported without the flag,
// argument or setting at fault.
func TestUsage(t *testing.T) {
	f := newFixture(t)
	settings := f.writeFile("s.ini", "[command]\ntimeout = 1h\n")
	f.run(exitUsage, "[command] timeout: 1h is outside the range; max is 10m", "--settings", settings, "get", "pools")
	f.run(exitUsage, "accepted: routes, pools", "get", "tables")
	f.run(exitUsage, "--base NUMBER", "apply", "--pools", f.writeFile("p.ini", "[zone a]\nstate = out\n"))
	f.run(exitUsage, "a command is needed")
	f.run(exitUsage, "[fleet] gateways", "status")
	f.run(exitUsage, "unknown flag", "get", "--bogus")
	f.run(exitOK, "[store]", "--sample")
	f.run(exitOK, "complete -o default -F", "completion")
	for _, c := range (&app{}).subcommands() {
		f.run(exitOK, "Example:", c.name, "--help")
	}
	f.args = []string{"--store", "127.0.0.1:1"}
	f.run(exitUnavailable, "unavailable", "edit", "pools", "zone a", "state=out")
}

// stubPeer returns a fixed status, and a snapshot with the status's revision.
type stubPeer struct {
	peerpb.UnimplementedPeerServer
	status *peerpb.StatusResponse
}

func (s stubPeer) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return s.status, nil
}

func (s stubPeer) Snapshot(_ *peerpb.SnapshotRequest, stream peerpb.Peer_SnapshotServer) error {
	revision := s.status.GetSender().GetConfigRevision()
	row := &peerpb.RowEdit{Table: "pools", Section: "zone a", Text: "state = out\n", Revision: revision}
	return stream.Send(&peerpb.SnapshotChunk{Revision: revision, Rows: []*peerpb.RowEdit{row}, Last: true})
}

// Guards against an edit of a store that was restored at an older revision. The
// edit would get a revision that is in force already and never take effect.
func TestOlderStore(t *testing.T) {
	f := newFixture(t)
	f.run(exitOK, "accepted: revision 1", "edit", "pools", "zone a", "state=in")
	gateway := servePeer(t, stubPeer{status: &peerpb.StatusResponse{Sender: &peerpb.Sender{ConfigRevision: 5}}})
	f.args = append(f.args, "--gateway", gateway)
	f.run(exitOlderStore, "the store has revision 1, but revision 5 is in force", "edit", "pools", "zone b", "state=out")
	f.run(exitOK, "restored: revision 5 over revision 1", "restore")
	f.run(exitOK, "state = out", "get", "pools", "--section", "zone a")
	f.run(exitOK, "no change: the store has revision 5", "restore")
	f.run(exitOK, "accepted: revision 6", "edit", "pools", "zone b", "state=out")
}

// servePeer starts a gRPC server for p and returns its address.
func servePeer(t *testing.T, p peerpb.PeerServer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	peerpb.RegisterPeerServer(s, p)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	return listener.Addr().String()
}

// Guards against a status command that leaves out a process that is behind, has an
// alarm or does not answer, or that exits with code 0 in these cases.
func TestStatus(t *testing.T) {
	process := func(id string, revision uint64, alarms ...*peerpb.Alarm) string {
		return servePeer(t, stubPeer{status: &peerpb.StatusResponse{
			Sender: &peerpb.Sender{ProcessId: id, Zone: "z", ConfigRevision: revision}, Role: "gateway", State: "serving", Alarms: alarms,
		}})
	}
	a, b, c := process("a", 7), process("b", 5), process("c", 7, &peerpb.Alarm{Name: "store_down", Count: 2})
	f := &fixture{t: t, dir: t.TempDir()}
	f.run(exitOK, "gateway  z     a        serving  7         0", "status", "--gateway", a)
	f.run(exitNotHealthy, "gateway  z     b        serving  5         2", "status", "--gateway", a, "--gateway", b)
	f.run(exitNotHealthy, "c: alarm store_down (2)", "status", "--gateway", c)
	f.run(exitNotHealthy, "127.0.0.1:1 does not answer", "status", "--gateway", a, "--gateway", "127.0.0.1:1")
	f.run(exitUnavailable, "no gateway answers", "status", "--gateway", "127.0.0.1:1")
}
