// Package burnrate measures how fast each client account consumes the error
// budgets of its service level objectives. Counts and histograms of several
// processes are merged by addition.
package burnrate

import (
	"strings"
	"time"
)

// Objective is a service level objective.
type Objective string

// The objectives. Each event meets or misses one of them.
const (
	// FirstToken is met if the first token arrives within Limits.FirstToken.
	FirstToken Objective = "first_token"
	// TokenGap is met if the next token arrives within Limits.TokenGap.
	TokenGap Objective = "token_gap"
	// Answered is met if the response is complete before the deadline.
	Answered Objective = "answered"
)

// Objectives returns all objectives, in the order of the indexes below.
func Objectives() []Objective { return []Objective{FirstToken, TokenGap, Answered} }

// Indexes of the objectives in per-objective arrays.
const (
	firstTokenIndex = iota
	tokenGapIndex
	answeredIndex
	objectiveCount
)

// Default limits of the token objectives.
const (
	DefaultFirstTokenLimit = 500 * time.Millisecond
	DefaultTokenGapLimit   = 50 * time.Millisecond
)

// Target returns the share of events that have to be good: 95 in 100 for token
// latencies. Of the admitted requests, at most 1 in 1,000 may fail or be late.
func (o Objective) Target() float64 {
	if o == Answered {
		return 0.999
	}
	return 0.95
}

// Window is the length of a sliding time window that ends now.
type Window time.Duration

// The windows of the alert rules.
const (
	FiveMinutes Window = Window(5 * time.Minute)
	HalfHour    Window = Window(30 * time.Minute)
	Hour        Window = Window(time.Hour)
	SixHours    Window = Window(6 * time.Hour)
)

// Windows returns all windows in ascending order.
func Windows() []Window { return []Window{FiveMinutes, HalfHour, Hour, SixHours} }

// alertRule raises an alert if the burn rate reaches the threshold in both
// windows. The long window shows that a significant part of the error budget was
// consumed, and the short window shows that it is still being consumed.
type alertRule struct {
	name                    string
	shortWindow, longWindow Window
	threshold               float64
}

// The thresholds are the customary ones for an error budget of 30 days. At the
// threshold, the fast rule's rate consumes 2% of the budget in an hour and the slow
// rule's rate 5% in six hours.
var alertRules = []alertRule{
	{"fast", FiveMinutes, Hour, 14.4},
	{"slow", HalfHour, SixHours, 6},
}

// String formats the window as shown in metrics and reports, such as 5m or 6h.
func (w Window) String() string {
	text := strings.TrimSuffix(time.Duration(w).String(), "0s")
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Count contains the number of good events and of all events.
type Count struct{ Good, Total int64 }

// BurnRate returns the rate at which the error budget is consumed. A rate of 1
// consumes exactly the budget.
func (c Count) BurnRate(o Objective) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Total-c.Good) / float64(c.Total) / (1 - o.Target())
}
