// Package burnrate measures how fast each client account uses up the error budget
// of its service levels. Counts and histograms of processes merge by addition.
package burnrate

import (
	"strings"
	"time"
)

// Objective is one service level.
type Objective string

// The objectives.
const (
	// FirstToken is met if the first token arrives within its limit.
	FirstToken Objective = "first_token"
	// TokenGap is met if the next token arrives within its limit.
	TokenGap Objective = "token_gap"
	// Answered is met if the answer is complete before the deadline.
	Answered Objective = "answered"
)

// Objectives lists the objectives.
func Objectives() []Objective { return []Objective{FirstToken, TokenGap, Answered} }

// Limits of the objectives unless settings give others.
const (
	DefaultFirstTokenLimit = 500 * time.Millisecond
	DefaultTokenGapLimit   = 50 * time.Millisecond
)

// Target returns the share of events that have to be good. The design names 95
// in 100 for tokens; admitted requests answered late are held to 1 in 1,000.
func (o Objective) Target() float64 {
	if o == Answered {
		return 0.999
	}
	return 0.95
}

// Window is a span of time up to now.
type Window time.Duration

// The windows of both pairs.
const (
	FiveMinutes Window = Window(5 * time.Minute)
	HalfHour    Window = Window(30 * time.Minute)
	Hour        Window = Window(time.Hour)
	SixHours    Window = Window(6 * time.Hour)
)

// Windows lists the windows in ascending order.
func Windows() []Window { return []Window{FiveMinutes, HalfHour, Hour, SixHours} }

// pair alerts when both windows burn faster than the rate. The long window
// shows that enough of the budget is gone, the short one that it still burns.
type pair struct {
	name        string
	short, long Window
	rate        float64
}

// The rates are the usual ones for a budget of 30 days: the fast pair uses 2% of
// it in an hour, the slow pair 5% in six hours.
var pairs = []pair{
	{"fast", FiveMinutes, Hour, 14.4},
	{"slow", HalfHour, SixHours, 6},
}

// String returns the window as metrics and reports show it, such as 5m.
func (w Window) String() string {
	text := strings.TrimSuffix(time.Duration(w).String(), "0s")
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Count holds the good and all events.
type Count struct{ Good, Total int64 }

// BurnRate returns the rate at which the budget is used; 1 uses it up exactly.
func (c Count) BurnRate(o Objective) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Total-c.Good) / float64(c.Total) / (1 - o.Target())
}
