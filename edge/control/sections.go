package control

import (
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/edge/peer"
)

// ReportSection is a part of the load report that a feature adds to it. The control goroutine
// calls its methods; times are readings of the boot clock.
type ReportSection interface {
	Type() peer.SectionType
	// Append appends the data of the next report, at most peer.MaxSectionBytes. Without data,
	// the report has no such section.
	Append(now time.Duration, data []byte) []byte
	// Merge applies the data that another host has reported. An error means that it could not
	// be decoded.
	Merge(now time.Duration, host string, data []byte) error
	// RemoveHost drops what a host has reported that no longer exists or has restarted.
	RemoveHost(host string)
}

// reportSections returns the sections of the next report.
func (l *Loop) reportSections(now time.Duration) []peer.Section {
	l.updateSpeedGauges(now)
	var sections []peer.Section
	for _, s := range l.config.Sections {
		if data := s.Append(now, nil); len(data) > 0 {
			sections = append(sections, peer.Section{Type: s.Type(), Data: data})
		}
	}
	return sections
}

// mergeSections applies the sections of a report. Those of other types are ignored.
func (l *Loop) mergeSections(now time.Duration, host string, sections []peer.Section) {
	for _, received := range sections {
		for _, s := range l.config.Sections {
			if s.Type() != received.Type {
				continue
			}
			if err := s.Merge(now, host, received.Data); err != nil {
				klog.V(1).InfoS("section of a load report ignored", "peer", host, "type", received.Type, "err", err)
			}
		}
	}
}

// removeHostFromSections drops what a host has reported in sections.
func (l *Loop) removeHostFromSections(host string) {
	for _, s := range l.config.Sections {
		s.RemoveHost(host)
	}
}
