package control

import (
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/edge/peer"
)

const (
	// maxWaitingAge is the age from which the number of waiting prompts of another host no
	// longer counts. A host with waiting prompts reports several times in it.
	maxWaitingAge = 300 * time.Millisecond
	// maxReportedWaiting is the largest number in a section, which has one byte.
	maxReportedWaiting = 255
)

// waitingSection tells other hosts how many short prompts wait for a slot at this host.
type waitingSection struct {
	own int
	// wasReported is set once a number above 0 was reported, so that the end is reported too.
	wasReported bool
	hosts       map[string]waitingCount
}

type waitingCount struct {
	count int
	at    time.Duration
}

func newWaitingSection() *waitingSection { return &waitingSection{hosts: map[string]waitingCount{}} }

// Type implements ReportSection.
func (*waitingSection) Type() peer.SectionType { return peer.SectionWaitingPrompts }

// Append implements ReportSection.
func (s *waitingSection) Append(_ time.Duration, data []byte) []byte {
	if s.own == 0 && !s.wasReported {
		return data
	}
	s.wasReported = s.own > 0
	return append(data, byte(min(s.own, maxReportedWaiting)))
}

// Merge implements ReportSection.
func (s *waitingSection) Merge(now time.Duration, host string, data []byte) error {
	if len(data) != 1 {
		return eris.Errorf("%d bytes for a number of waiting prompts, want 1", len(data))
	}
	s.hosts[host] = waitingCount{count: int(data[0]), at: now}
	return nil
}

// RemoveHost implements ReportSection.
func (s *waitingSection) RemoveHost(host string) { delete(s.hosts, host) }

// atPeers returns the number of prompts that wait at other hosts.
func (s *waitingSection) atPeers(now time.Duration) int {
	sum := 0
	for _, w := range s.hosts {
		if now-w.at <= maxWaitingAge {
			sum += w.count
		}
	}
	return sum
}
