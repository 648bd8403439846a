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

type statusCommand struct{ app *app }

func newStatusCommand(a *app) subcommand {
	return subcommand{"status", "Show revision, state and alarms of the fleet", "siskinctl status --gateway 10.0.0.1:7100 --gateway 10.0.0.2:7100", &statusCommand{a}}
}

// statusRow is the status of one process or endpoint.
type statusRow struct {
	process, zone, role, state string
	revision                   uint64
}

// Execute prints the status of the fleet. It returns errNotHealthy if a process or
// endpoint has an older configuration revision than another, or a process has an
// active alarm or does not answer.
func (c *statusCommand) Execute([]string) error {
	replies, err := callGateways(c.app, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.StatusResponse, error) {
		return p.Status(ctx, &peerpb.StatusRequest{})
	})
	if err != nil {
		return err
	}
	var rows []statusRow
	var problems []string
	for _, r := range replies {
		if r.err != nil {
			problems = append(problems, fmt.Sprintf("%s does not answer: %s", r.address, status.Convert(r.err).Message()))
			continue
		}
		rows = append(rows, statusRows(r.response)...)
		for _, alarm := range r.response.GetAlarms() {
			problems = append(problems, fmt.Sprintf("%s: alarm %s (%d): %s", r.response.GetSender().GetProcessId(), alarm.GetName(), alarm.GetCount(), alarm.GetMessage()))
		}
	}
	if len(rows) == 0 {
		return &unavailableError{fmt.Sprintf("no gateway answers; first: %s", problems[0])}
	}
	anyBehind := c.printTable(rows)
	for _, problem := range problems {
		fmt.Fprintln(c.app.out, problem)
	}
	if anyBehind || len(problems) > 0 {
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

// printTable prints the report with the highest revision of each process and reports
// whether any process is behind the highest revision of all.
func (c *statusCommand) printTable(rows []statusRow) bool {
	newestRevision := uint64(0)
	latest := map[string]statusRow{}
	for _, r := range rows {
		newestRevision = max(newestRevision, r.revision)
		if previous, ok := latest[r.role+r.process]; !ok || r.revision > previous.revision {
			latest[r.role+r.process] = r
		}
	}
	var sorted []statusRow
	for _, r := range latest {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(a, b statusRow) int {
		return cmp.Or(cmp.Compare(b.role, a.role), cmp.Compare(a.zone, b.zone), cmp.Compare(a.process, b.process))
	})
	table := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROLE\tZONE\tPROCESS\tSTATE\tREVISION\tBEHIND")
	anyBehind := false
	for _, r := range sorted {
		anyBehind = anyBehind || r.revision < newestRevision
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n", r.role, r.zone, r.process, r.state, r.revision, newestRevision-r.revision)
	}
	_ = table.Flush()
	return anyBehind
}
