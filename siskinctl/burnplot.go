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

// Sizes of a plot in points. The width is that of a phone, so that the text stays
// readable there; wider pages show the plots side by side.
const (
	plotWidth   = vg.Length(340)
	plotMargin  = vg.Length(46)
	barWidth    = vg.Length(6)
	rowGap      = vg.Length(22)
	nameGap     = vg.Length(3)
	rightMargin = vg.Length(12)
	plotFont    = vg.Length(10)
	maxPlotRows = 20
	maxRowName  = 44
)

// Burn rates with a line in the plots: the budget lasts exactly its period, and
// the fast alert.
const (
	evenBurn = 1
	fastBurn = 14.4
)

// Colours stand for variables of the page's style sheet, so that a plot follows
// the colour scheme. Their channels are 0 or 255, which the library writes
// without rounding.
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

// burnPlot shows the burn rates of one objective in all windows, highest first.
func burnPlot(o burnrate.Objective, lines []burnrate.Line) (pagePlot, error) {
	ofObjective := slices.DeleteFunc(slices.Clone(lines), func(l burnrate.Line) bool { return l.Objective != o })
	rows := slices.DeleteFunc(slices.Clone(ofObjective), isClean)
	slices.SortStableFunc(rows, func(a, b burnrate.Line) int { return cmp.Compare(b.BurnRate(burnrate.Hour), a.BurnRate(burnrate.Hour)) })
	result := pagePlot{Title: strings.ReplaceAll(string(o), "_", " "), Note: fmt.Sprintf("target %g%%", 100*o.Target())}
	switch {
	case len(ofObjective) == 0:
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
	p, err := burnBars(rows)
	if err != nil {
		return result, err
	}
	result.SVG, err = inlineSVG(p, plotMargin+vg.Length(len(rows))*(4*barWidth+rowGap))
	return result, err
}

func isClean(l burnrate.Line) bool {
	return !slices.ContainsFunc(burnrate.Windows(), func(w burnrate.Window) bool { return l.BurnRate(w) > 0 })
}

// burnBars draws four bars under the name of each row, the first row on top.
// Names start at the left edge, since browsers use fonts of other widths than
// the library computes with.
func burnBars(rows []burnrate.Line) (*plot.Plot, error) {
	p := plot.New()
	names := plotter.XYLabels{}
	highest := 1.5
	for _, l := range slices.Backward(rows) {
		names.XYs = append(names.XYs, plotter.XY{Y: float64(len(names.XYs))})
		names.Labels = append(names.Labels, rowLabel(l))
		for _, w := range burnrate.Windows() {
			highest = max(highest, 1.05*l.BurnRate(w))
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
	labels, err := plotter.NewLabels(names)
	if err != nil {
		return nil, eris.Wrap(err, "plot burn rates")
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Color, labels.TextStyle[i].Font.Size = textColor, plotFont
	}
	labels.Offset = vg.Point{Y: 2*barWidth + nameGap}
	p.Add(labels)
	styleAxes(p)
	p.X.Min, p.X.Max = 0, highest
	p.Y.Min, p.Y.Max = -0.5, float64(len(rows))-0.3
	p.X.Label.Text = "burn rate"
	return p, addLimits(p, highest, len(rows))
}

func rowLabel(l burnrate.Line) string {
	name := []rune(strings.Join(strings.Fields(accountLabel(l.Account)+" "+l.Service+" "+l.Class), " "))
	if len(name) > maxRowName {
		name = append(name[:maxRowName-1], '…')
	}
	return string(name)
}

func styleAxes(p *plot.Plot) {
	p.BackgroundColor = nil
	p.HideY()
	axis := &p.X
	axis.Color, axis.Label.TextStyle.Color = textColor, textColor
	axis.Tick.Color, axis.Tick.Label.Color = textColor, textColor
	axis.Label.TextStyle.Font.Size, axis.Tick.Label.Font.Size = plotFont, plotFont
}

// limitReach is half the height of a limit's line as a part of a row; the line
// leaves the names free.
const limitReach = 0.3

// addLimits draws the rates of an even burn and of the fast alert across the
// bars of each row.
func addLimits(p *plot.Plot, highest float64, rows int) error {
	for at, c := range map[float64]color.RGBA{evenBurn: textColor, fastBurn: alertColor} {
		if at > highest {
			continue
		}
		for row := range rows {
			y := float64(row)
			line, err := plotter.NewLine(plotter.XYs{{X: at, Y: y - limitReach}, {X: at, Y: y + limitReach}})
			if err != nil {
				return eris.Wrap(err, "plot burn rates")
			}
			line.Color, line.Dashes = c, []vg.Length{vg.Points(3), vg.Points(3)}
			p.Add(line)
		}
	}
	return nil
}

// inlineSVG returns the plot without prolog and fixed size. The library escapes
// the names in it.
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
		return "", eris.New("the plot is no SVG")
	}
	tag := fmt.Sprintf(`<svg role="img" viewBox="0 0 %g %g">`, math.Ceil(plotWidth.Points()), math.Ceil(height.Points()))
	return template.HTML(tag + styleVariables.Replace(body)), nil //nolint:gosec // names are escaped by the library
}
