package placement

import (
	"math"
	"time"
)

// startRateWindow is the time constant with which startRate forgets earlier starts. It is
// several times the delay of reports, and short enough to follow a burst.
const startRateWindow = 250 * time.Millisecond

// startRate estimates how many requests start per second from the starts themselves, which
// count less the longer ago they were.
type startRate struct {
	sum       float64
	updatedAt time.Duration
}

func (r startRate) decayed(now time.Duration) float64 {
	return r.sum * math.Exp(-float64(max(0, now-r.updatedAt))/float64(startRateWindow))
}

func (r *startRate) add(now time.Duration, n int) {
	r.sum, r.updatedAt = r.decayed(now)+float64(n), max(now, r.updatedAt)
}

func (r startRate) perSecond(now time.Duration) float64 {
	return r.decayed(now) / startRateWindow.Seconds()
}

// ExpectedStarts returns how many requests all processes are expected to start in the given
// time, at the rate of the last fraction of a second.
func (l *Ledger) ExpectedStarts(now, d time.Duration) float64 {
	return l.starts.perSecond(now) * d.Seconds()
}

// ExpectedPeerStarts is ExpectedStarts without the requests of this process, which are known.
func (l *Ledger) ExpectedPeerStarts(now, d time.Duration) float64 {
	return l.peerStarts.perSecond(now) * d.Seconds()
}
