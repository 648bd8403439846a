package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/status"

	"siskinstand.example/peerpb"
	"siskinstand.example/service/burnrate"
)

// maxAccounts is the number of accounts that a gateway reports at once.
const maxAccounts = 200

type burnRun struct {
	app      *app
	Accounts []string `long:"account" value-name:"NAME" description:"show this client account; may be repeated"`
	Worst    int      `long:"worst" value-name:"NUMBER" default:"10" description:"show the accounts with the most bad events at any gateway"`
	HTML     string   `long:"html" value-name:"FILE" description:"also write a self-contained page"`
}

func burnCommand(a *app) command {
	return command{"burn", "Report how fast error budgets are used up", "siskinctl burn --worst 20 --html burn.html", &burnRun{app: a}}
}

// Execute first asks for the worst accounts and then for their counts at every
// gateway, since a gateway where an account does well counts too.
func (c *burnRun) Execute([]string) error {
	if c.Worst < 0 || c.Worst+len(c.Accounts) > maxAccounts {
		return &usageError{eris.Errorf("--worst, --account: accepted are 0 to %d accounts together", maxAccounts)}
	}
	accounts, err := c.accounts()
	if err != nil {
		return err
	}
	replies, err := ask(c.app, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.BurnResponse, error) {
		return p.Burn(ctx, &peerpb.BurnRequest{Accounts: accounts})
	})
	if err != nil {
		return err
	}
	report, missing, err := merge(replies)
	if err != nil {
		return err
	}
	if err := c.printTable(report.Lines()); err != nil {
		return err
	}
	for _, m := range missing {
		fmt.Fprintln(c.app.out, m)
	}
	if c.HTML != "" {
		return c.writePage(report.Lines(), missing)
	}
	return nil
}

func (c *burnRun) accounts() ([]string, error) {
	accounts := slices.Clone(c.Accounts)
	if c.Worst == 0 {
		return accounts, nil
	}
	replies, err := ask(c.app, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.BurnResponse, error) {
		return p.Burn(ctx, &peerpb.BurnRequest{Worst: int32(c.Worst)})
	})
	if err != nil {
		return nil, err
	}
	// The first of every gateway come before the second of any.
	for rank := range c.Worst {
		for _, r := range replies {
			worst := r.answer.GetWorstAccounts()
			if rank < len(worst) && !slices.Contains(accounts, worst[rank]) && len(accounts) < len(c.Accounts)+c.Worst {
				accounts = append(accounts, worst[rank])
			}
		}
	}
	return accounts, nil
}

// merge adds the series of all gateways and names those that are missing.
func merge(replies []reply[*peerpb.BurnResponse]) (*burnrate.Report, []string, error) {
	report := burnrate.NewReport()
	var missing []string
	for _, r := range replies {
		if r.err != nil {
			missing = append(missing, fmt.Sprintf("%s is not included: %s", r.address, status.Convert(r.err).Message()))
			continue
		}
		for _, s := range r.answer.GetSeries() {
			if err := report.Add(decodeSeries(s)); err != nil {
				missing = append(missing, fmt.Sprintf("%s is included in part: %v", r.address, err))
				break
			}
		}
	}
	if len(replies) > 0 && !slices.ContainsFunc(replies, func(r reply[*peerpb.BurnResponse]) bool { return r.err == nil }) {
		return nil, nil, &unavailableError{"no gateway answers; first: " + missing[0]}
	}
	return report, missing, nil
}

func decodeSeries(s *peerpb.BurnSeries) burnrate.Series {
	return burnrate.Series{
		Key:       burnrate.Key{Account: s.GetAccount(), Service: s.GetService(), Class: s.GetClass()},
		Objective: burnrate.Objective(s.GetObjective()),
		Window:    burnrate.Window(time.Duration(min(max(s.GetWindowS(), 0), int64(24*time.Hour/time.Second))) * time.Second),
		Count:     burnrate.Count{Good: s.GetGood(), Total: s.GetTotal()},
		Histogram: s.GetHistogram(),
	}
}

func (c *burnRun) printTable(lines []burnrate.Line) error {
	table := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCOUNT\tSERVICE\tCLASS\tOBJECTIVE\tEVENTS 1H\tGOOD 1H\tBURN 5M\tBURN 30M\tBURN 1H\tBURN 6H\tP95 MS\tALERT")
	for _, l := range lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%s\n",
			l.Account, l.Service, orDash(l.Class), l.Objective, l.Counts[burnrate.Hour].Total, goodShare(l),
			l.BurnRate(burnrate.FiveMinutes), l.BurnRate(burnrate.HalfHour), l.BurnRate(burnrate.Hour), l.BurnRate(burnrate.SixHours), p95(l), orDash(l.Alert()))
	}
	return table.Flush()
}

func goodShare(l burnrate.Line) string {
	c := l.Counts[burnrate.Hour]
	if c.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(c.Good)/float64(c.Total))
}

// p95 is known for the sums over accounts only.
func p95(l burnrate.Line) string {
	if l.Latency.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprint(l.Latency.ValueAtQuantile(95))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (c *burnRun) writePage(lines []burnrate.Line, missing []string) error {
	page, err := renderPage(lines, missing, time.Now())
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(c.HTML, page, 0o644), "write page")
}
