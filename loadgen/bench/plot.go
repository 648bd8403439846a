package bench

import (
	"image/color"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"siskinstand.example/coord/admission"
)

var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	// minPlotted replaces smaller values, as a logarithmic axis can't show zero.
	minPlotted   = time.Millisecond
	zoneBinWidth = 2 * time.Second
)

// plotted returns the summaries that appear in plots.
func (c comparison) plotted() []*summary { return append([]*summary{c.current}, c.baselines...) }

// plotFirstToken plots the 95th percentile of the time to first token by prompt
// class for the current policy and the baselines.
func plotFirstToken(c comparison, path string) error {
	p := plot.New()
	p.Title.Text = "time to first token, 95th percentile, " + c.scenario.Name
	p.Y.Label.Text = "seconds"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	var names []string
	for _, class := range admission.Classes() {
		names = append(names, string(class))
	}
	p.NominalX(names...)
	for i, s := range c.plotted() {
		points := plotter.XYs{}
		for x, class := range admission.Classes() {
			points = append(points, plotter.XY{X: float64(x), Y: max(s.p95(class), minPlotted).Seconds()})
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return eris.Wrap(err, "plot time to first token")
		}
		line.Color, dots.Color = palette[i], palette[i]
		p.Add(line, dots)
		p.Legend.Add(s.simulation.policy.name(), line, dots)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return save(p, path)
}

// plotZone plots the completed work of the current policy and the baselines over
// time while an availability zone is taken out of service and brought back.
func plotZone(c comparison, path string) error {
	p := plot.New()
	p.Title.Text = "completed work while a zone leaves and returns"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "prompt tokens a second relative to the offered load"
	s := c.scenario
	end := s.Warmup + s.Duration
	for i, m := range c.plotted() {
		bins := make([]float64, int(end/zoneBinWidth))
		for _, r := range m.simulation.requests {
			if at := int(r.ended.Sub(epoch) / zoneBinWidth); r.outcome == outcomeDone && at < len(bins) {
				bins[at] += float64(r.promptTokens)
			}
		}
		points := plotter.XYs{}
		offered := m.simulation.capacityTokens() * s.LoadFactor
		for at, tokens := range bins {
			points = append(points, plotter.XY{X: (time.Duration(at) * zoneBinWidth).Seconds(), Y: tokens / zoneBinWidth.Seconds() / offered})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "plot zone outage")
		}
		line.Color = palette[i]
		p.Add(line)
		p.Legend.Add(m.simulation.policy.name(), line)
	}
	for _, at := range []time.Duration{s.ZoneOutAt, s.ZoneInAt} {
		mark, err := plotter.NewLine(plotter.XYs{{X: at.Seconds(), Y: 0}, {X: at.Seconds(), Y: 2}})
		if err != nil {
			return eris.Wrap(err, "plot zone outage")
		}
		mark.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(mark)
	}
	p.Legend.Top = true
	return save(p, path)
}

func save(p *plot.Plot, path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return eris.Wrap(err, "create plot directory")
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "write plot")
}
