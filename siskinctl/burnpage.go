package main

import (
	"bytes"
	_ "embed"
	"html/template"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/service/burnrate"
)

//go:embed burnpage.html
var pageTemplateText string

var pageTemplate = template.Must(template.New("burn").Parse(pageTemplateText))

type pageLine struct {
	Account, Service, Class, Objective, Good, P95, Alert string
	Events                                               int64
	Burns                                                []pageBurn
}

// pageBurn is the burn rate in one window.
type pageBurn struct {
	Window string
	Rate   float64
	// Over is true if the error budget does not last its period at this rate.
	Over bool
}

type page struct {
	Time    string
	Windows []string
	Missing []string
	Lines   []pageLine
	Plots   []pagePlot
}

// renderPage returns a self-contained HTML page without scripts.
func renderPage(lines []burnrate.Line, missing []string, now time.Time) ([]byte, error) {
	p := page{Time: now.UTC().Format("2006-01-02 15:04:05 UTC"), Missing: missing}
	for _, w := range burnrate.Windows() {
		p.Windows = append(p.Windows, w.String())
	}
	for _, l := range lines {
		p.Lines = append(p.Lines, newPageLine(l))
	}
	for _, o := range burnrate.Objectives() {
		plot, err := newBurnPlot(o, lines)
		if err != nil {
			return nil, err
		}
		p.Plots = append(p.Plots, plot)
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, p)
	return out.Bytes(), eris.Wrap(err, "render page")
}

// accountLabel returns the name of a client account on the page, and a readable
// name for the sum over all accounts.
func accountLabel(account string) string {
	if account == burnrate.AllAccounts {
		return "all accounts"
	}
	return account
}

func newPageLine(l burnrate.Line) pageLine {
	line := pageLine{
		Account: accountLabel(l.Account), Service: l.Service, Class: orDash(l.Class), Objective: string(l.Objective),
		Good: formatGoodShare(l), P95: formatP95(l), Alert: l.Alert(), Events: l.Counts[burnrate.Hour].Total,
	}
	for _, w := range burnrate.Windows() {
		line.Burns = append(line.Burns, pageBurn{w.String(), l.BurnRate(w), l.BurnRate(w) > sustainableBurnRate})
	}
	return line
}
