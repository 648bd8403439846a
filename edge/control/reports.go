package control

import (
	"time"

	"siskinstand.example/edge/peer"
	"siskinstand.example/service/bootclock"
)

// reportUrgency determines how soon a change must be reported to other hosts.
type reportUrgency int

// Prompts split over several replicas occupy and free all of them at once, so they
// are reported immediately, as are queued prompts, unreachable replicas and crash
// suspects. Starts of other requests are batched into one report, and the ends of all
// requests can be reported a little later still.
const (
	reportNow reportUrgency = iota
	reportSoon
	reportLater
)

const (
	reportSoonDelay = 25 * time.Millisecond
	// reportLaterDelay applies to small deployments. With many hosts, the delay is
	// reportLaterIntervals times reportInterval, up to maxReportLaterDelay.
	reportLaterDelay     = 100 * time.Millisecond
	maxReportLaterDelay  = 300 * time.Millisecond
	reportLaterIntervals = 10
)

// reportDelay returns how long a change may wait to be reported.
func (l *Loop) reportDelay(u reportUrgency) time.Duration {
	switch u {
	case reportSoon:
		return reportSoonDelay
	case reportLater:
		return min(max(reportLaterDelay, reportLaterIntervals*l.reportInterval()), maxReportLaterDelay)
	}
	return 0
}

// scheduleReport makes the next report due after the delay for u, or as soon after that as
// reportInterval allows, unless it is due earlier already.
func (l *Loop) scheduleReport(u reportUrgency) {
	at := max(bootclock.Now()+l.reportDelay(u), l.lastReport+l.reportInterval())
	if u != reportLater {
		l.reportUnchanged = true
	}
	if l.nextReport == 0 || at < l.nextReport {
		l.nextReport = at
	}
}

// reportInterval returns the shortest time between two reports. Each report goes to
// all other hosts, so without a limit the total number of reports would grow with the
// square of the number of hosts.
func (l *Loop) reportInterval() time.Duration {
	if l.config.MaxReportsPerSecond <= 0 {
		return l.config.MinReportInterval
	}
	return max(l.config.MinReportInterval, time.Duration(float64(len(l.peers))/l.config.MaxReportsPerSecond*float64(time.Second)))
}

// networkDelay is the time that a report takes to arrive and to be handled.
const networkDelay = 5 * time.Millisecond

// reportingDelay returns the time from the start of a request to the moment at which the
// other hosts know of it.
func (l *Loop) reportingDelay() time.Duration {
	return max(reportSoonDelay, l.reportInterval()) + networkDelay
}

// fullReportIntervals is the number of report intervals between two full reports of a large
// deployment.
const fullReportIntervals = 40

// fullReportInterval returns the longest time between two full reports. It grows with the
// number of hosts, but two reports fit into PeerTimeout.
func (l *Loop) fullReportInterval() time.Duration {
	return max(l.config.FullReportInterval, min(fullReportIntervals*l.reportInterval(), l.config.PeerTimeout/2))
}

// sendReportIfDue sends this host's load report if it is due. In either case, it resets
// the timer for the next one.
func (l *Loop) sendReportIfDue(now time.Duration, timer *time.Timer) {
	fullInterval := l.fullReportInterval()
	fullReportAt := max(l.lastFullReport+fullInterval, l.lastReport+l.reportInterval())
	if l.nextReport == 0 || l.nextReport > fullReportAt {
		l.nextReport = fullReportAt
	}
	if wait := l.nextReport - now; wait > 0 {
		timer.Reset(l.maxSleep(wait))
		return
	}
	l.nextReport, l.lastReport = 0, now
	timer.Reset(l.maxSleep(min(fullInterval, max(l.lastFullReport+fullInterval-now, l.reportInterval()))))
	if len(l.peers) == 0 || l.config.ReportSender == nil {
		return
	}
	report := l.ledger.Report(now, l.oldestQueuedAge(now), l.queuedPrefillTime(), l.unreachableReplicas(now))
	if now-l.lastFullReport < max(fullInterval, l.reportInterval()) {
		report = l.ledger.DeltaReport(report)
		if len(report.Replicas) == 0 && !l.reportUnchanged {
			return
		}
	} else {
		l.ledger.MarkReported(report)
		l.lastFullReport = now
	}
	l.reportUnchanged = false
	l.config.ReportSender.Send(l.recipients(now), peer.Message{
		Report: report, Suspects: l.suspects.Reports(time.Now(), maxReportedSuspects), Parts: l.parts.Reports(partTime(now), maxReportedParts), Sections: l.reportSections(now),
	})
}

const (
	// maxReportedSuspects limits the crash suspects in a report. At 31 bytes or less each,
	// they leave room for the load rows in the same datagram.
	maxReportedSuspects = 8
	// maxReportedParts limits the suspected prompt parts in a report. A part has 14 bytes and
	// 8 for each crash.
	maxReportedParts = 16
)
