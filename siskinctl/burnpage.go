package main

import (
	"bytes"
	_ "embed"
	"html/template"
	"strings"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"
	"github.com/rotisserie/eris"

	"siskinstand.example/service/burn"
)

//go:embed burnpage.html
var pageText string

var pageTemplate = template.Must(template.New("burn").Parse(pageText))

// fullBar is the burn rate at which a plain bar has its full width: the rate of
// the fast alert.
const fullBar = 14.4

type pageLine struct {
	Account, Service, Class, Objective, Good, P95, Alert string
	Events                                               int64
	Short, Long                                          float64
	// Width is the length of the plain bar in percent.
	Width float64
}

type pagePlot struct {
	Title  string
	ID     string
	Option template.JS
}

type page struct {
	Time    string
	Missing []string
	Lines   []pageLine
	Plots   []pagePlot
	Library template.JS
}

// renderPage writes a page that loads nothing. The plots need the text of
// echarts.min.js; without it the page shows plain bars.
func renderPage(lines []burn.Line, missing []string, library []byte, now time.Time) ([]byte, error) {
	p := page{Time: now.UTC().Format(time.RFC3339), Missing: missing}
	for _, l := range lines {
		p.Lines = append(p.Lines, pageLine{
			Account: l.Account, Service: l.Service, Class: orDash(l.Class), Objective: string(l.Objective),
			Good: goodShare(l), P95: p95(l), Alert: l.Alert(), Events: l.Counts[burn.Hour].Total,
			Short: l.Burn(burn.FiveMinutes), Long: l.Burn(burn.Hour),
			Width: min(100, 100*l.Burn(burn.Hour)/fullBar),
		})
	}
	if len(library) > 0 {
		// A closing tag within the library would end the script element.
		p.Library = template.JS(strings.ReplaceAll(string(library), "</script", `<\/script`)) //nolint:gosec // the operator's own file
		for _, o := range burn.Objectives() {
			p.Plots = append(p.Plots, burnPlot(o, lines))
		}
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, p)
	return out.Bytes(), eris.Wrap(err, "render page")
}

// burnPlot shows the burn rates of one objective in all windows.
func burnPlot(o burn.Objective, lines []burn.Line) pagePlot {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Top: "0"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithGridOpts(opts.Grid{Left: "8", Right: "8", Bottom: "8", ContainLabel: opts.Bool(true)}),
		charts.WithYAxisOpts(opts.YAxis{Name: "burn rate"}),
		charts.WithXAxisOpts(opts.XAxis{AxisLabel: &opts.AxisLabel{Rotate: 40}}),
	)
	var names []string
	values := map[burn.Window][]opts.BarData{}
	for _, l := range lines {
		if l.Objective != o {
			continue
		}
		names = append(names, strings.TrimSpace(l.Account+" "+l.Service+" "+l.Class))
		for _, w := range burn.Windows() {
			values[w] = append(values[w], opts.BarData{Value: l.Burn(w)})
		}
	}
	bar.SetXAxis(names)
	for _, w := range burn.Windows() {
		bar.AddSeries(strings.TrimSuffix(time.Duration(w).String(), "0s"), values[w])
	}
	// Names come from other processes; the library does not escape them.
	option := strings.ReplaceAll(bar.RenderSnippet().Option, "<", `\u003c`)
	return pagePlot{Title: string(o), ID: "plot-" + string(o), Option: template.JS(option)} //nolint:gosec // escaped above
}
