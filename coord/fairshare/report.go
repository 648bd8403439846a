package fairshare

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// entryBytes is the size of an account in a report: its ID, the usage of the three classes
	// in one byte each, and flags.
	entryBytes = 8
	// maxEntries is the number of accounts that fit into a section of 512 bytes. heaviest is
	// the number of those with the most usage and newest of those that changed last; the others
	// are reported in rotation.
	maxEntries      = 64
	heaviestEntries = 24
	newestEntries   = 24
	// stepsPerDoubling is the resolution of reported usage: steps of 9%, which is less than the
	// margin in OverShareFactor.
	stepsPerDoubling  = 8
	minReportInterval = 100 * time.Millisecond
	reportTimePerHost = 2500 * time.Microsecond
	// flagWaiting is set if requests of the account wait or were refused recently at the host.
	flagWaiting = 1
)

// host is what another host has reported.
type host struct {
	reportedAt time.Duration
	// usage is scaled by Table.scale. float32 halves the memory of hundreds of hosts.
	usage map[accountID][classCount]float32
}

// encodeUsage returns a usage on a logarithmic scale from minUsage to 100 hours.
func encodeUsage(usage float64) byte {
	if usage < float64(minUsage) {
		return 0
	}
	return byte(min(1+math.Round(stepsPerDoubling*math.Log2(usage/float64(minUsage))), math.MaxUint8))
}

func decodeUsage(b byte) float64 {
	if b == 0 {
		return 0
	}
	return float64(minUsage) * math.Exp2(float64(b-1)/stepsPerDoubling)
}

// reportInterval returns the shortest time between two reports of usage. Each goes to all hosts,
// so that it grows with their number: 380 hosts report every 0.95 s.
func (t *Table) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(len(t.hosts))*reportTimePerHost)
}

// Append appends this host's usage to a report. Without competition at any host, there is nothing
// to report: the usage is known to its host, which reports it once requests compete.
func (t *Table) Append(now time.Duration, data []byte) []byte {
	t.refreshShares(now)
	if !t.isContended(now) || now-t.appendedAt < t.reportInterval() {
		return data
	}
	t.appendedAt = now
	scale := t.scale(now)
	for _, id := range t.reportedAccounts(now) {
		a := t.accounts[id]
		data = binary.BigEndian.AppendUint32(data, uint32(id))
		for _, usage := range a.own {
			data = append(data, encodeUsage(usage/scale))
		}
		var flags byte
		if t.waitsHere(now, a) {
			flags |= flagWaiting
		}
		data = append(data, flags)
	}
	return data
}

// reportedAccounts returns the accounts for the next report.
func (t *Table) reportedAccounts(now time.Duration) []accountID {
	var ids []accountID
	for id, a := range t.accounts {
		if sum(a.own) > 0 || t.waitsHere(now, a) {
			ids = append(ids, id)
		}
	}
	if len(ids) <= maxEntries {
		return ids
	}
	byUsage := func(x, y accountID) int {
		return cmp.Or(cmp.Compare(sum(t.accounts[y].own), sum(t.accounts[x].own)), cmp.Compare(x, y))
	}
	changed := func(id accountID) time.Duration { return max(t.accounts[id].chargedAt, t.accounts[id].waitedAt) }
	slices.SortFunc(ids, byUsage)
	slices.SortStableFunc(ids[heaviestEntries:], func(x, y accountID) int { return cmp.Compare(changed(y), changed(x)) })
	rest := ids[heaviestEntries+newestEntries:]
	slices.Sort(rest)
	start, _ := slices.BinarySearch(rest, t.cursor+1)
	for i := range maxEntries - heaviestEntries - newestEntries {
		if i >= len(rest) {
			break
		}
		t.cursor = rest[(start+i)%len(rest)]
		ids = append(ids, t.cursor)
	}
	return slices.Concat(ids[:heaviestEntries+newestEntries], ids[heaviestEntries+newestEntries+len(rest):])
}

// Merge applies what another host has reported. Accounts that it does not name keep their usage,
// which decays.
func (t *Table) Merge(now time.Duration, name string, data []byte) error {
	if len(data)%entryBytes != 0 || len(data) > maxEntries*entryBytes {
		return eris.Errorf("%d bytes of account usage", len(data))
	}
	t.advance(now)
	h := t.hosts[name]
	if h == nil {
		if len(t.hosts) >= t.config.MaxHosts {
			return eris.Errorf("usage of more than %d hosts", t.config.MaxHosts)
		}
		h = &host{usage: map[accountID][classCount]float32{}}
		t.hosts[name] = h
	}
	h.reportedAt = now
	scale := t.scale(now)
	for ; len(data) > 0; data = data[entryBytes:] {
		t.mergeEntry(now, h, accountID(binary.BigEndian.Uint32(data)), data[4:entryBytes], scale)
	}
	return nil
}

func (t *Table) mergeEntry(now time.Duration, h *host, id accountID, entry []byte, scale float64) {
	a := t.ensure(id)
	old, known := h.usage[id]
	if a == nil {
		return
	}
	if !known && len(h.usage) >= t.config.MaxAccounts {
		h.dropLightest(t)
	}
	var usage [classCount]float32
	for c := range usage {
		usage[c] = float32(decodeUsage(entry[c]) * scale)
	}
	a.add(old, -1)
	a.add(usage, 1)
	h.usage[id] = usage
	if entry[classCount]&flagWaiting != 0 {
		a.peerWaitUntil = now + max(t.config.PeerWaitTime, 2*t.reportInterval())
		t.countWaiting(a)
	}
}

// dropLightest removes the entry of a host that has the least usage.
func (h *host) dropLightest(t *Table) {
	var lightest accountID
	least := float32(math.Inf(1))
	for id, usage := range h.usage {
		if u := usage[Short] + usage[Medium] + usage[Long]; u < least {
			lightest, least = id, u
		}
	}
	h.drop(t, lightest)
}

func (h *host) drop(t *Table, id accountID) {
	if a := t.accounts[id]; a != nil {
		a.add(h.usage[id], -1)
	}
	delete(h.usage, id)
}

// RemoveHost drops what a host has reported that no longer exists or has restarted.
func (t *Table) RemoveHost(name string) {
	h := t.hosts[name]
	if h == nil {
		return
	}
	for id := range h.usage {
		h.drop(t, id)
	}
	delete(t.hosts, name)
}

// expireHosts drops the usage of hosts that have been silent, and less often usage that has
// decayed: 380 hosts with 512 accounts have 195,000 entries.
func (t *Table) expireHosts(now time.Duration) {
	for name, h := range t.hosts {
		if now-h.reportedAt > t.config.ReportTimeout {
			t.RemoveHost(name)
		}
	}
	if now-t.sweptAt < sweepInterval {
		return
	}
	t.sweptAt = now
	least := float32(float64(minUsage) * t.scale(now))
	for _, h := range t.hosts {
		for id, usage := range h.usage {
			if usage[Short]+usage[Medium]+usage[Long] < least {
				h.drop(t, id)
			}
		}
	}
}
