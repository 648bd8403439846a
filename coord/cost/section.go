package cost

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// rowBytes is the size of a row of a section: the key, then the mean and the deviation of
	// the log2 ratio and the number of samples in a byte each.
	rowBytes = 7
	// maxRows is the maximum number of rows of a section. recentRows of them are those with
	// the most new observations, the others are sent in rotation.
	maxRows    = 48
	recentRows = 32
	// minSentSamples is the number of samples from which a key is sent.
	minSentSamples = 4
	// sectionIntervalPerHost is the interval at which all hosts together send a section: a host
	// that has just started receives four a second, and all hosts together cause 1.4 KB/s at each
	// receiver.
	sectionIntervalPerHost = 250 * time.Millisecond
	minSectionInterval     = time.Second
	// meanSteps and deviationSteps are the steps of an octave in the encoding.
	meanSteps      = 16
	deviationSteps = 32
)

// AppendSection appends the data of a report section if the next one is due. hosts is the
// number of hosts that report.
func (p *Predictor) AppendSection(now time.Duration, data []byte, hosts int) []byte {
	interval := max(minSectionInterval, time.Duration(hosts)*sectionIntervalPerHost)
	if p.hasSent && now-p.lastSection < interval {
		return data
	}
	for _, e := range p.rowsToSend(now) {
		mean, deviation := e.own.center()
		data = binary.BigEndian.AppendUint32(data, e.key)
		data = append(data, byte(int8(math.Round(min(max(mean*meanSteps, math.MinInt8), math.MaxInt8)))),
			byte(min(math.Round(deviation*deviationSteps), math.MaxUint8)), byte(min(e.own.total, math.MaxUint8)))
		e.changes, e.sentAt = 0, now
		p.lastSection, p.hasSent = now, true
	}
	return data
}

// rowsToSend returns the entries for the next section.
func (p *Predictor) rowsToSend(now time.Duration) []*entry {
	var rows []*entry
	for element := p.table.order.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry)
		if e.own.decay(now); e.own.total >= minSentSamples {
			rows = append(rows, e)
		}
	}
	if len(rows) <= maxRows {
		return rows
	}
	slices.SortStableFunc(rows, func(a, b *entry) int { return cmp.Compare(b.changes, a.changes) })
	slices.SortStableFunc(rows[recentRows:], func(a, b *entry) int { return cmp.Compare(a.sentAt, b.sentAt) })
	return rows[:maxRows]
}

// MergeSection applies the data of another host's section.
func (p *Predictor) MergeSection(now time.Duration, data []byte) error {
	if len(data)%rowBytes != 0 {
		return eris.Errorf("cost estimates of %d bytes, not a multiple of %d", len(data), rowBytes)
	}
	for ; len(data) > 0; data = data[rowBytes:] {
		samples := float32(data[6])
		e := p.table.getOrAppend(binary.BigEndian.Uint32(data))
		if e == nil || samples == 0 {
			continue
		}
		e.shared.merge(now, float64(int8(data[4]))/meanSteps, float64(data[5])/deviationSteps, samples)
	}
	return nil
}
