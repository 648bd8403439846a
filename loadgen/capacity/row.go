package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Kind says where a figure at the design size comes from.
type Kind string

// The kinds of figures.
const (
	// Measured: the run reached the design size.
	Measured Kind = "measured"
	// Projected: a line through the measured points, or a sum of such figures.
	Projected Kind = "projected"
	// Simulated: the decision code in virtual time at the design size.
	Simulated Kind = "measured, virtual time"
)

// Point is one measurement.
type Point struct{ X, Y float64 }

// Row is one figure beside its limit.
type Row struct {
	Section string
	Name    string
	// Unit is that of the values and of the limit, Scale what X counts.
	Unit   string
	Scale  string
	Points []Point
	// Design is the value of X at the design size.
	Design float64
	// Limit is the largest accepted value; 0 means that there is none.
	Limit float64
	// Remedy says what would carry a row that is over its limit.
	Remedy string

	// Kind and Value are the figure at the design size; Fit sets them.
	Kind  Kind
	Value float64
	Slope float64
}

// Fit sets the slope and the figure at the design size: the measured value if
// there is a point at the design size, otherwise that of the fitted line.
func (r Row) Fit() Row {
	intercept, slope := fitLine(r.Points)
	r.Slope = slope
	r.Kind, r.Value = Projected, math.Max(0, intercept+slope*r.Design)
	for _, p := range r.Points {
		if p.X == r.Design {
			r.Kind, r.Value = Measured, p.Y
		}
	}
	return r
}

// Over reports whether the figure exceeds its limit.
func (r Row) Over() bool { return r.Limit > 0 && !(r.Value <= r.Limit) }

// fitLine returns the line of least squares. With one distinct X the line is
// flat through the mean.
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

// verdict is the last column of the table.
func (r Row) verdict() string {
	switch {
	case r.Limit == 0:
		return "no limit"
	case r.Over():
		return "**over**: " + r.Remedy
	}
	return "within"
}

func (r Row) cells() []string {
	var points []string
	for _, p := range r.Points {
		points = append(points, number(p.X)+": "+number(p.Y))
	}
	slope := "-"
	if len(r.Points) > 1 {
		slope = number(r.Slope)
	}
	limit := "-"
	if r.Limit > 0 {
		limit = number(r.Limit)
	}
	design := "-"
	if r.Design != 0 {
		design = number(r.Design)
	}
	return []string{
		r.Name, r.Unit, r.Scale, strings.Join(points, ", "), slope,
		design, number(r.Value), limit, string(r.Kind), r.verdict(),
	}
}

var heading = []string{
	"figure", "unit", "x", "measured points (x: value)", "slope", "x at design size", "value at design size", "limit", "source", "verdict",
}

// number writes three significant digits without an exponent.
func number(v float64) string {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return fmt.Sprint(v)
	case v == math.Trunc(v) || math.Abs(v) >= 1000:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(v, 'f', max(0, digits), 64)
}

// Render writes the rows as Markdown, one table for each section.
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
