package burnrate

import "time"

// slot counts the events of one time interval. The intervals are numbered from the
// Unix epoch.
type slot struct {
	number uint32
	good   uint32
	total  uint32
}

// The slots cover 5 minutes, 1 hour and 6 hours, each plus the current, incomplete
// slot. Because there are only a few slots, the counts of a series take about
// 1.2 KB.
const (
	fineSlotLength   = time.Minute
	mediumSlotLength = 5 * time.Minute
	coarseSlotLength = 30 * time.Minute
	fineSlots        = 6
	mediumSlots      = 13
	coarseSlots      = 13
)

// slotCounts contains the counts of one objective of one series.
type slotCounts struct {
	fine   [fineSlots]slot
	medium [mediumSlots]slot
	coarse [coarseSlots]slot
}

func slotNumber(now time.Time, length time.Duration) uint32 {
	return uint32(now.Unix() / int64(length/time.Second))
}

func addToSlot(slots []slot, number, good, total uint32) {
	s := &slots[number%uint32(len(slots))]
	if s.number != number {
		*s = slot{number: number}
	}
	s.good += good
	s.total += total
}

func sumSlots(slots []slot, number, span uint32) Count {
	var c Count
	for _, s := range slots {
		if s.total > 0 && s.number <= number && number-s.number <= span {
			c.Good += int64(s.good)
			c.Total += int64(s.total)
		}
	}
	return c
}

func (c *slotCounts) add(now time.Time, good, total uint32) {
	addToSlot(c.fine[:], slotNumber(now, fineSlotLength), good, total)
	addToSlot(c.medium[:], slotNumber(now, mediumSlotLength), good, total)
	addToSlot(c.coarse[:], slotNumber(now, coarseSlotLength), good, total)
}

// window returns the counts of a window plus those of the current, incomplete slot.
func (c *slotCounts) window(now time.Time, w Window) Count {
	span := func(length time.Duration) uint32 { return uint32(time.Duration(w) / length) }
	switch w {
	case FiveMinutes:
		return sumSlots(c.fine[:], slotNumber(now, fineSlotLength), span(fineSlotLength))
	case HalfHour, Hour:
		return sumSlots(c.medium[:], slotNumber(now, mediumSlotLength), span(mediumSlotLength))
	}
	return sumSlots(c.coarse[:], slotNumber(now, coarseSlotLength), span(coarseSlotLength))
}
