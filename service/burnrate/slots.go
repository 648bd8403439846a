package burnrate

import "time"

// slot holds the counts of one stretch of time, named by its number.
type slot struct {
	number uint32
	good   uint32
	total  uint32
}

// Slot lengths and the number of slots, which cover 5 minutes, 1 hour and 6
// hours and the slot that is filling. Few slots keep a series below 1 KB.
const (
	fineLength   = time.Minute
	middleLength = 5 * time.Minute
	coarseLength = 30 * time.Minute
	fineSlots    = 6
	middleSlots  = 13
	coarseSlots  = 13
)

// counts holds one objective of one series.
type counts struct {
	fine   [fineSlots]slot
	middle [middleSlots]slot
	coarse [coarseSlots]slot
}

func slotNumber(now time.Time, length time.Duration) uint32 {
	return uint32(now.Unix() / int64(length/time.Second))
}

func addTo(slots []slot, number, good, total uint32) {
	s := &slots[number%uint32(len(slots))]
	if s.number != number {
		*s = slot{number: number}
	}
	s.good += good
	s.total += total
}

func sum(slots []slot, number, span uint32) Count {
	var c Count
	for _, s := range slots {
		if s.total > 0 && s.number <= number && number-s.number <= span {
			c.Good += int64(s.good)
			c.Total += int64(s.total)
		}
	}
	return c
}

func (c *counts) add(now time.Time, good, total uint32) {
	addTo(c.fine[:], slotNumber(now, fineLength), good, total)
	addTo(c.middle[:], slotNumber(now, middleLength), good, total)
	addTo(c.coarse[:], slotNumber(now, coarseLength), good, total)
}

// window returns the events of the window and of the slot that is filling.
func (c *counts) window(now time.Time, w Window) Count {
	span := func(length time.Duration) uint32 { return uint32(time.Duration(w) / length) }
	switch w {
	case FiveMinutes:
		return sum(c.fine[:], slotNumber(now, fineLength), span(fineLength))
	case HalfHour, Hour:
		return sum(c.middle[:], slotNumber(now, middleLength), span(middleLength))
	}
	return sum(c.coarse[:], slotNumber(now, coarseLength), span(coarseLength))
}
