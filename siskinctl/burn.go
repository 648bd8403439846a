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

// maxReportedAccounts is the maximum number of client accounts in one request to a
// gateway, which refuses larger requests.
const maxReportedAccounts = 200

type burnCommand struct {
	app      *app
	Accounts []string `long:"account" value-name:"NAME" description:"show this client account; may be repeated"`
	Worst    int      `long:"worst" value-name:"NUMBER" default:"10" description:"show the accounts with the most bad events at any gateway"`
	HTML     string   `long:"html" value-name:"FILE" description:"also write a self-contained page"`
}

func newBurnCommand(a *app) subcommand {
	return subcommand{"burn", "Report how fast error budgets are used up", "siskinctl burn --worst 20 --html burn.html", &burnCommand{app: a}}
}

// Execute first asks every gateway for its worst client accounts and then all
// gateways for the counts of these accounts, since a gateway that does not list
// an account as one of its worst still contributes to its counts.
func (c *burnCommand) Execute([]string) error {
	if c.Worst < 0 || c.Worst+len(c.Accounts) > maxReportedAccounts {
		return &usageError{eris.Errorf("--worst, --account: accepted are 0 to %d accounts together", maxReportedAccounts)}
	}
	accounts, err := c.selectAccounts()
	if err != nil {
		return err
	}
	replies, err := callGateways(c.app, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.BurnResponse, error) {
		return p.Burn(ctx, &peerpb.BurnRequest{Accounts: accounts})
	})
	if err != nil {
		return err
	}
	report, missing, err := mergeSeries(replies)
	if err != nil {
		return err
	}
	if err := c.printTable(report.Lines()); err != nil {
		return err
	}
	for _, line := range missing {
		fmt.Fprintln(c.app.out, line)
	}
	if c.HTML != "" {
		return c.writePage(report.Lines(), missing)
	}
	return nil
}

// selectAccounts returns the client accounts of the command line and up to c.Worst
// of the worst accounts of the gateways.
func (c *burnCommand) selectAccounts() ([]string, error) {
	accounts := slices.Clone(c.Accounts)
	if c.Worst == 0 {
		return accounts, nil
	}
	replies, err := callGateways(c.app, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.BurnResponse, error) {
		return p.Burn(ctx, &peerpb.BurnRequest{Worst: int32(c.Worst)})
	})
	if err != nil {
		return nil, err
	}
	// The worst account of each gateway comes before the second worst of any.
	for rank := range c.Worst {
		for _, r := range replies {
			worst := r.response.GetWorstAccounts()
			if rank < len(worst) && !slices.Contains(accounts, worst[rank]) && len(accounts) < len(c.Accounts)+c.Worst {
				accounts = append(accounts, worst[rank])
			}
		}
	}
	return accounts, nil
}

// mergeSeries adds up the series of all gateways. It also returns a message for
// each gateway whose series are missing or included in part.
func mergeSeries(replies []reply[*peerpb.BurnResponse]) (*burnrate.Report, []string, error) {
	report := burnrate.NewReport()
	var missing []string
	for _, r := range replies {
		if r.err != nil {
			missing = append(missing, fmt.Sprintf("%s is not included: %s", r.address, status.Convert(r.err).Message()))
			continue
		}
		for _, s := range r.response.GetSeries() {
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

func (c *burnCommand) printTable(lines []burnrate.Line) error {
	table := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCOUNT\tSERVICE\tCLASS\tOBJECTIVE\tEVENTS 1H\tGOOD 1H\tBURN 5M\tBURN 30M\tBURN 1H\tBURN 6H\tP95 MS\tALERT")
	for _, l := range lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%s\n",
			l.Account, l.Service, orDash(l.Class), l.Objective, l.Counts[burnrate.Hour].Total, formatGoodShare(l),
			l.BurnRate(burnrate.FiveMinutes), l.BurnRate(burnrate.HalfHour), l.BurnRate(burnrate.Hour), l.BurnRate(burnrate.SixHours), formatP95(l), orDash(l.Alert()))
	}
	return table.Flush()
}

func formatGoodShare(l burnrate.Line) string {
	count := l.Counts[burnrate.Hour]
	if count.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(count.Good)/float64(count.Total))
}

// formatP95 returns the 95th percentile of the latency, or "-" without a latency
// histogram. Only the sums over all client accounts have one.
func formatP95(l burnrate.Line) string {
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

func (c *burnCommand) writePage(lines []burnrate.Line, missing []string) error {
	page, err := renderPage(lines, missing, time.Now())
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(c.HTML, page, 0o644), "write page")
}
