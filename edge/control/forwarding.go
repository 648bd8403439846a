package control

import (
	"slices"
	"time"

	"siskinstand.example/edge/peer"
)

// minForwardedHosts is the number of hosts from which a zone's reports are forwarded. In a
// smaller zone, forwarding saves little, and a lost forwarder would lose more of the reports.
const minForwardedHosts = 4

// maxForwarderSilence is the age of the last report of a host from which it is not asked to
// forward reports. Live hosts report at least once a second.
const maxForwarderSilence = 1200 * time.Millisecond

// forwarding holds the hosts to which reports are sent directly and, for each other
// availability zone, those that can forward them.
type forwarding struct {
	// isOutdated is set if peers has changed.
	isOutdated bool
	direct     []string
	zones      [][]string
	// turn selects the next forwarder of each zone. Forwarders take turns, so that the next
	// report makes up for one that was lost with its forwarder.
	turn int
}

// updateForwarding derives forwarding from the list of hosts if that has changed.
func (l *Loop) updateForwarding() {
	if !l.forwarding.isOutdated {
		return
	}
	f := forwarding{turn: l.forwarding.turn}
	zones := map[string][]string{}
	var neighbors []string
	for name, p := range l.peers {
		switch {
		case p.Zone == "" || l.config.Zone == "":
			f.direct = append(f.direct, name)
		case p.Zone == l.config.Zone:
			f.direct = append(f.direct, name)
			neighbors = append(neighbors, p.Address)
		default:
			zones[p.Zone] = append(zones[p.Zone], name)
		}
	}
	for _, names := range zones {
		slices.Sort(names)
		f.zones = append(f.zones, names)
	}
	l.forwarding = f
	if l.config.ReportSender != nil {
		l.config.ReportSender.SetNeighbors(neighbors)
	}
}

// recipients returns the hosts to which the next report is sent. A small zone, and one of
// which no host has reported lately, gets it directly.
func (l *Loop) recipients(now time.Duration) peer.Recipients {
	f := &l.forwarding
	f.turn++
	var to peer.Recipients
	for _, name := range f.direct {
		to.Direct = append(to.Direct, l.peers[name].Address)
	}
	for _, names := range f.zones {
		if name, ok := l.forwarder(now, names); ok && len(names) >= minForwardedHosts {
			to.Forwarders = append(to.Forwarders, l.peers[name].Address)
			continue
		}
		for _, name := range names {
			to.Direct = append(to.Direct, l.peers[name].Address)
		}
	}
	return to
}

// forwarder returns the host of a zone whose turn it is, or the next one that has reported
// lately.
func (l *Loop) forwarder(now time.Duration, names []string) (string, bool) {
	for i := range names {
		name := names[(l.forwarding.turn+i)%len(names)]
		if at, ok := l.ledger.PeerReportedAt(name); ok && now-at < maxForwarderSilence {
			return name, true
		}
	}
	return "", false
}
