package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Kind is the source of a figure at the design size.
type Kind string

// Sources of figures.
const (
	// Measured figures were measured at Row.DesignX.
	Measured Kind = "measured"
	// Projected figures lie on a line fitted to the measured points, or are
	// calculated from other figures.
	Projected Kind = "projected"
	// Simulated figures come from running the decision code in virtual time at the
	// design size.
	Simulated Kind = "measured, virtual time"
)

// Point is one measurement.
type Point struct{ X, Y float64 }

// Row is one figure with its limit.
type Row struct {
	Section string
	Name    string
	// Unit is the unit of the values and of the limit, XUnit that of X.
	Unit   string
	XUnit  string
	Points []Point
	// DesignX is the value of X for which the figure is given, usually that at the
	// design size.
	DesignX float64
	// Limit is the largest accepted value; 0 means no limit.
	Limit float64
	// Remedy is a change that would bring the figure within its limit.
	Remedy string

	// Kind, Value and Slope are set by Fit; rows that are calculated or simulated set
	// Kind and Value directly. Value is the figure at DesignX.
	Kind  Kind
	Value float64
	Slope float64
}

// Fit returns the row with the slope and the figure at DesignX: the measured value
// if there is a point at DesignX, otherwise the value of the fitted line, but at
// least 0.
func (r Row) Fit() Row {
	intercept, slope := fitLine(r.Points)
	r.Slope = slope
	r.Kind, r.Value = Projected, math.Max(0, intercept+slope*r.DesignX)
	for _, p := range r.Points {
		if p.X == r.DesignX {
			r.Kind, r.Value = Measured, p.Y
		}
	}
	return r
}

// ExceedsLimit reports whether the figure exceeds its limit. NaN exceeds any limit.
func (r Row) ExceedsLimit() bool { return r.Limit > 0 && !(r.Value <= r.Limit) }

// fitLine returns the least-squares line. With only one distinct X the line is
// horizontal through the mean.
func fitLine(points []Point) (intercept, slope float64) {
	if len(points) == 0 {
		return math.NaN(), math.NaN()
	}
	n := float64(len(points))
	var meanX, meanY, xx, xy float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	if xx == 0 {
		return meanY, 0
	}
	slope = xy / xx
	return meanY - slope*meanX, slope
}

// verdict returns the last column of the table.
func (r Row) verdict() string {
	switch {
	case r.Limit == 0:
		return "no limit"
	case r.ExceedsLimit():
		return "**over**: " + r.Remedy
	}
	return "within"
}

func (r Row) cells() []string {
	var points []string
	for _, p := range r.Points {
		points = append(points, formatNumber(p.X)+": "+formatNumber(p.Y))
	}
	slope := "-"
	if len(r.Points) > 1 {
		slope = formatNumber(r.Slope)
	}
	limit := "-"
	if r.Limit > 0 {
		limit = formatNumber(r.Limit)
	}
	design := "-"
	if r.DesignX != 0 {
		design = formatNumber(r.DesignX)
	}
	return []string{
		r.Name, r.Unit, r.XUnit, strings.Join(points, ", "), slope,
		design, formatNumber(r.Value), limit, string(r.Kind), r.verdict(),
	}
}

var heading = []string{
	"figure", "unit", "x", "measured points (x: value)", "slope", "x at design size", "value at design size", "limit", "source", "verdict",
}

// formatNumber formats v with three significant digits and no exponent; integers and
// values from 1000 on get no decimals.
func formatNumber(v float64) string {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return fmt.Sprint(v)
	case v == math.Trunc(v) || math.Abs(v) >= 1000:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(v, 'f', max(0, digits), 64)
}

// Render returns the rows as Markdown, with one table per section.
func Render(rows []Row) string {
	var b strings.Builder
	section := ""
	for _, r := range rows {
		if r.Section != section {
			section = r.Section
			fmt.Fprintf(&b, "\n### %s\n\n| %s |\n|%s\n", section, strings.Join(heading, " | "), strings.Repeat(" --- |", len(heading)))
		}
		fmt.Fprintf(&b, "| %s |\n", strings.Join(r.cells(), " | "))
	}
	return b.String()
}
