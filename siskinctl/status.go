package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"text/tabwriter"

	"google.golang.org/grpc/status"

	"siskinstand.example/peerpb"
)

type statusRun struct{ app *app }

func statusCommand(a *app) command {
	return command{"status", "Show revision, state and alarms of the fleet", "siskinctl status --gateway 10.0.0.1:7100 --gateway 10.0.0.2:7100", &statusRun{a}}
}

// statusRow is one process. Behind counts revisions to the newest one known.
type statusRow struct {
	process, zone, role, state string
	revision                   uint64
}

// Execute prints a table and fails if a process is behind, has an alarm or
// does not answer.
func (c *statusRun) Execute([]string) error {
	replies, err := ask(c.app, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.StatusResponse, error) {
		return p.Status(ctx, &peerpb.StatusRequest{})
	})
	if err != nil {
		return err
	}
	var rows []statusRow
	var notes []string
	for _, r := range replies {
		if r.err != nil {
			notes = append(notes, fmt.Sprintf("%s does not answer: %s", r.address, status.Convert(r.err).Message()))
			continue
		}
		rows = append(rows, statusRows(r.answer)...)
		for _, a := range r.answer.GetAlarms() {
			notes = append(notes, fmt.Sprintf("%s: alarm %s (%d): %s", r.answer.GetSender().GetProcessId(), a.GetName(), a.GetCount(), a.GetMessage()))
		}
	}
	if len(rows) == 0 {
		return &unavailableError{fmt.Sprintf("no gateway answers; first: %s", notes[0])}
	}
	behind := c.print(rows)
	for _, n := range notes {
		fmt.Fprintln(c.app.out, n)
	}
	if behind || len(notes) > 0 {
		return errNotHealthy
	}
	return nil
}

func statusRows(s *peerpb.StatusResponse) []statusRow {
	sender := s.GetSender()
	rows := []statusRow{{sender.GetProcessId(), sender.GetZone(), s.GetRole(), s.GetState(), sender.GetConfigRevision()}}
	for _, e := range s.GetEndpoints() {
		rows = append(rows, statusRow{e.GetEndpoint(), e.GetZone(), "endpoint", e.GetState(), e.GetConfigRevision()})
	}
	return rows
}

// print keeps the newest report of each process and tells whether one is behind.
func (c *statusRun) print(rows []statusRow) bool {
	newest := uint64(0)
	latest := map[string]statusRow{}
	for _, r := range rows {
		newest = max(newest, r.revision)
		if old, ok := latest[r.role+r.process]; !ok || r.revision > old.revision {
			latest[r.role+r.process] = r
		}
	}
	var list []statusRow
	for _, r := range latest {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b statusRow) int {
		return cmp.Or(cmp.Compare(b.role, a.role), cmp.Compare(a.zone, b.zone), cmp.Compare(a.process, b.process))
	})
	table := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROLE\tZONE\tPROCESS\tSTATE\tREVISION\tBEHIND")
	behind := false
	for _, r := range list {
		behind = behind || r.revision < newest
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n", r.role, r.zone, r.process, r.state, r.revision, newest-r.revision)
	}
	_ = table.Flush()
	return behind
}
