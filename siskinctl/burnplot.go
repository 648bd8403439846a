package main

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"siskinstand.example/service/burnrate"
)

// Dimensions of a plot in points, and limits of its rows. The width is that of a
// phone screen, so that the text stays readable there; wider pages show the
// plots side by side.
const (
	plotWidth        = vg.Length(340)
	plotMargin       = vg.Length(46)
	barWidth         = vg.Length(6)
	rowGap           = vg.Length(22)
	labelGap         = vg.Length(3)
	rightMargin      = vg.Length(12)
	plotFontSize     = vg.Length(10)
	maxPlotRows      = 20
	maxRowLabelRunes = 44
)

// Burn rates that are marked in the plots: the rate at which the error budget
// lasts exactly its period, and the threshold of the fast alert.
const (
	sustainableBurnRate = 1
	fastAlertBurnRate   = 14.4
)

// Placeholder colours that styleVariables replaces by variables of the page's
// style sheet, so that a plot follows the colour scheme. Their channels are 0 or
// 255, which the plot library writes without rounding.
var (
	textColor  = color.RGBA{R: 0xff, A: 0xff}
	alertColor = color.RGBA{R: 0xff, G: 0xff, A: 0xff}
	barColors  = map[burnrate.Window]color.RGBA{
		burnrate.FiveMinutes: {G: 0xff, A: 0xff},
		burnrate.HalfHour:    {B: 0xff, A: 0xff},
		burnrate.Hour:        {G: 0xff, B: 0xff, A: 0xff},
		burnrate.SixHours:    {R: 0xff, B: 0xff, A: 0xff},
	}
	styleVariables = strings.NewReplacer(
		"#FF0000", "var(--text)", "#FFFF00", "var(--alert)",
		"#00FF00", "var(--w5m)", "#0000FF", "var(--w30m)", "#00FFFF", "var(--w1h)", "#FF00FF", "var(--w6h)",
	)
)

type pagePlot struct {
	Title string
	Note  string
	SVG   template.HTML
}

// newBurnPlot plots the burn rates of one objective in all windows, sorted by
// the rate of the last hour with the highest first.
func newBurnPlot(o burnrate.Objective, lines []burnrate.Line) (pagePlot, error) {
	objectiveLines := slices.DeleteFunc(slices.Clone(lines), func(l burnrate.Line) bool { return l.Objective != o })
	rows := slices.DeleteFunc(slices.Clone(objectiveLines), hasNoBurn)
	slices.SortStableFunc(rows, func(a, b burnrate.Line) int { return cmp.Compare(b.BurnRate(burnrate.Hour), a.BurnRate(burnrate.Hour)) })
	result := pagePlot{Title: strings.ReplaceAll(string(o), "_", " "), Note: fmt.Sprintf("target %g%%", 100*o.Target())}
	switch {
	case len(objectiveLines) == 0:
		result.Note += ", no events"
	case len(rows) == 0:
		result.Note += ", no bad events in 6h"
	}
	if len(rows) == 0 {
		return result, nil
	}
	if len(rows) > maxPlotRows {
		result.Note += fmt.Sprintf(", the highest %d of %d rows", maxPlotRows, len(rows))
		rows = rows[:maxPlotRows]
	}
	p, err := newBurnChart(rows)
	if err != nil {
		return result, err
	}
	result.SVG, err = inlineSVG(p, plotMargin+vg.Length(len(rows))*(4*barWidth+rowGap))
	return result, err
}

func hasNoBurn(l burnrate.Line) bool {
	return !slices.ContainsFunc(burnrate.Windows(), func(w burnrate.Window) bool { return l.BurnRate(w) > 0 })
}

// newBurnChart draws the bars of the four windows under the label of each row,
// with the first row on top. Labels start at the left edge, because browsers use
// fonts with other widths than the plot library assumes.
func newBurnChart(rows []burnrate.Line) (*plot.Plot, error) {
	p := plot.New()
	rowLabels := plotter.XYLabels{}
	maxRate := 1.5
	for _, l := range slices.Backward(rows) {
		rowLabels.XYs = append(rowLabels.XYs, plotter.XY{Y: float64(len(rowLabels.XYs))})
		rowLabels.Labels = append(rowLabels.Labels, rowLabel(l))
		for _, w := range burnrate.Windows() {
			maxRate = max(maxRate, 1.05*l.BurnRate(w))
		}
	}
	for i, w := range burnrate.Windows() {
		var values plotter.Values
		for _, l := range slices.Backward(rows) {
			values = append(values, l.BurnRate(w))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, eris.Wrap(err, "plot burn rates")
		}
		bars.Horizontal, bars.Color, bars.LineStyle.Width = true, barColors[w], 0
		bars.Offset = barWidth * vg.Length(1.5-float64(i))
		p.Add(bars)
	}
	labels, err := plotter.NewLabels(rowLabels)
	if err != nil {
		return nil, eris.Wrap(err, "plot burn rates")
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Color, labels.TextStyle[i].Font.Size = textColor, plotFontSize
	}
	labels.Offset = vg.Point{Y: 2*barWidth + labelGap}
	p.Add(labels)
	styleAxes(p)
	p.X.Min, p.X.Max = 0, maxRate
	p.Y.Min, p.Y.Max = -0.5, float64(len(rows))-0.3
	p.X.Label.Text = "burn rate"
	return p, addThresholdLines(p, maxRate, len(rows))
}

func rowLabel(l burnrate.Line) string {
	label := []rune(strings.Join(strings.Fields(accountLabel(l.Account)+" "+l.Service+" "+l.Class), " "))
	if len(label) > maxRowLabelRunes {
		label = append(label[:maxRowLabelRunes-1], '…')
	}
	return string(label)
}

func styleAxes(p *plot.Plot) {
	p.BackgroundColor = nil
	p.HideY()
	axis := &p.X
	axis.Color, axis.Label.TextStyle.Color = textColor, textColor
	axis.Tick.Color, axis.Tick.Label.Color = textColor, textColor
	axis.Label.TextStyle.Font.Size, axis.Tick.Label.Font.Size = plotFontSize, plotFontSize
}

// thresholdHalfHeight is half the height of a threshold line as a fraction of a
// row, so that the line does not cross the labels.
const thresholdHalfHeight = 0.3

// addThresholdLines draws the sustainable burn rate and the threshold of the fast
// alert across the bars of each row.
func addThresholdLines(p *plot.Plot, maxRate float64, rows int) error {
	for rate, lineColor := range map[float64]color.RGBA{sustainableBurnRate: textColor, fastAlertBurnRate: alertColor} {
		if rate > maxRate {
			continue
		}
		for row := range rows {
			y := float64(row)
			line, err := plotter.NewLine(plotter.XYs{{X: rate, Y: y - thresholdHalfHeight}, {X: rate, Y: y + thresholdHalfHeight}})
			if err != nil {
				return eris.Wrap(err, "plot burn rates")
			}
			line.Color, line.Dashes = lineColor, []vg.Length{vg.Points(3), vg.Points(3)}
			p.Add(line)
		}
	}
	return nil
}

// inlineSVG renders the plot as an SVG element without an XML prolog or a fixed
// size. The plot library escapes the labels.
func inlineSVG(p *plot.Plot, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, height)
	p.Draw(draw.Crop(draw.New(canvas), 0, -rightMargin, 0, 0))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", eris.Wrap(err, "write plot")
	}
	_, body, found := strings.Cut(out.String(), "<svg ")
	_, body, closed := strings.Cut(body, ">")
	if !found || !closed {
		return "", eris.New("plot output is not an SVG document")
	}
	tag := fmt.Sprintf(`<svg role="img" viewBox="0 0 %g %g">`, math.Ceil(plotWidth.Points()), math.Ceil(height.Points()))
	return template.HTML(tag + styleVariables.Replace(body)), nil //nolint:gosec // names are escaped by the library
}
