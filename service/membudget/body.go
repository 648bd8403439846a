package membudget

import (
	"errors"
	"io"
	"time"

	"siskinstand.example/coord/bytebudget"
)

const (
	// firstSegmentBytes and maxSegmentBytes are the sizes of the first and the largest segment of
	// a body. A segment is as large as all before it, so that a body takes at most twice the bytes
	// that have arrived and nothing is copied.
	firstSegmentBytes = 8 << 10
	maxSegmentBytes   = 128 << 10
)

// ErrTooLarge is the error of a body above its limit.
var ErrTooLarge = errors.New("the body is larger than the limit")

// ReadBody reads a body in segments that grow with what has arrived, and charges them to the
// claim. announced is the length of the body, or -1. It returns ErrTooLarge as soon as the body
// exceeds the limit.
func ReadBody(r io.Reader, c *Claim, announced, limit int64, deadline time.Time) ([][]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	var segments [][]byte
	for total := int64(0); ; {
		size := min(max(total, firstSegmentBytes), maxSegmentBytes, limit+1-total)
		if announced >= 0 {
			size = min(size, announced-total)
		}
		if size <= 0 {
			return segments, readEnd(r)
		}
		if err := c.Grow(size, deadline); err != nil {
			return nil, err
		}
		segment, err := fill(r, c, make([]byte, size))
		if total += int64(len(segment)); len(segment) > 0 {
			segments = append(segments, segment)
		}
		switch {
		case total > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return segments, nil
		case err != nil && c.IsEvicted():
			return nil, ErrEvicted
		case err != nil:
			return nil, err
		}
	}
}

// ReadJoined reads a body as ReadBody does, into one buffer that doubles in size. It ends with the
// length of the body if that is announced.
func ReadJoined(r io.Reader, c *Claim, announced, limit int64, deadline time.Time) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	most := limit + 1
	if announced >= 0 {
		most = announced
	}
	var data []byte
	for {
		size := min(max(2*int64(len(data)), firstSegmentBytes), most)
		if size <= int64(len(data)) {
			return data, readEnd(r)
		}
		if err := c.Grow(size, deadline); err != nil {
			return nil, err
		}
		grown := make([]byte, size)
		copy(grown, data)
		c.Shrink(int64(len(data)))
		n := len(data)
		rest, err := fill(r, c, grown[n:])
		switch data = grown[:n+len(rest)]; {
		case int64(len(data)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && announced >= 0 && int64(len(data)) < announced:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil && c.IsEvicted():
			return nil, ErrEvicted
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until the segment is full or the body ends.
func fill(r io.Reader, c *Claim, segment []byte) ([]byte, error) {
	for n := 0; ; {
		read, err := r.Read(segment[n:])
		c.Progress(int64(read))
		if n += read; err != nil || n == len(segment) {
			return segment[:n], err
		}
	}
}

// readEnd lets net/http see the end of a body of known length.
func readEnd(r io.Reader) error {
	if _, err := r.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// Finish marks a body as arrived: its claim no longer gives way. It fails if the claim gave way
// before.
func (c *Claim) Finish() error { return c.SetPhase(bytebudget.PhaseInUse) }
