package compare

import (
	"image/color"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"siskinstand.example/loadgen/fleetbench"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

var colors = map[string]color.Color{
	"before": color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
	"after":  color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
}

// plots draws the worth and the waiting of each day over its time, and by class.
func plots(pairs []pair, directory string) error {
	for _, p := range pairs {
		name := p.day.FileStem()
		figures := map[string]func(fleetbench.RequestStats) float64{
			"worth":   func(c fleetbench.RequestStats) float64 { return c.Worth },
			"waiting": func(c fleetbench.RequestStats) float64 { return c.P99MS / 1000 },
		}
		for figure, value := range figures {
			if err := overTime(p, figure, value, filepath.Join(directory, name+"-"+figure+".svg")); err != nil {
				return err
			}
			if err := byClass(p, figure, value, filepath.Join(directory, name+"-"+figure+"-by-class.svg")); err != nil {
				return err
			}
		}
	}
	return nil
}

var labels = map[string]string{"worth": "part of the worth owed", "waiting": "seconds to the first token, 99th percentile"}

func overTime(p pair, figure string, value func(fleetbench.RequestStats) float64, path string) error {
	g := plot.New()
	g.Title.Text, g.X.Label.Text, g.Y.Label.Text = p.day.String(), "second of the day", labels[figure]
	for build, r := range map[string]fleetbench.Report{"before": p.before, "after": p.after} {
		points := plotter.XYs{}
		for _, w := range r.Windows {
			at, err := strconv.ParseFloat(string(w.Name), 64)
			if err != nil {
				return eris.Wrapf(err, "window %q", w.Name)
			}
			points = append(points, plotter.XY{X: at, Y: value(w)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "plot a day")
		}
		line.Color = colors[build]
		g.Add(line)
		g.Legend.Add(build, line)
	}
	return eris.Wrap(g.Save(plotWidth, plotHeight, path), "save plot")
}

func byClass(p pair, figure string, value func(fleetbench.RequestStats) float64, path string) error {
	g := plot.New()
	g.Title.Text, g.Y.Label.Text = p.day.String(), labels[figure]
	const width = 14 // points of a bar
	names := classNames([]pair{p})
	offset := -vg.Points(width / 2)
	for _, build := range []string{"before", "after"} {
		r := p.before
		if build == "after" {
			r = p.after
		}
		values := make(plotter.Values, len(names))
		for i, name := range names {
			values[i], _ = class(name, value)(r)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return eris.Wrap(err, "plot classes")
		}
		bars.Color, bars.Offset = colors[build], offset
		offset += vg.Points(width)
		g.Add(bars)
		g.Legend.Add(build, bars)
	}
	g.NominalX(names...)
	return eris.Wrap(g.Save(plotWidth, plotHeight, path), "save plot")
}
