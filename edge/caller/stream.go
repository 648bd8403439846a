package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"siskinstand.example/coord/health"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/edge/control"
	"siskinstand.example/edge/replica"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

const (
	// maxEventBytes is the maximum size of one event of a stream. Events of the users'
	// replicas have about 100 bytes.
	maxEventBytes = 128 << 10
	// maxUnidentifiedBytes is the maximum size of consecutive events without an ID. All
	// events of a replica have one, so others are no answer, and may come without end.
	maxUnidentifiedBytes = 128 << 10
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// stream passes on complete events as they arrive. It holds back partial events,
// because the replica may fail in the middle of one and another replica may then
// continue the stream. The head is passed on with the first event: until then, another replica may
// answer in its place, or the caller can be told why the request failed.
func (q *request) stream(ctx context.Context, assignment control.Assignment, resp *replica.Response) outcome {
	lastEventID, continued := q.lastEventID, q.responseStarted
	var pending []byte
	unidentified, began := 0, false
	buffer := make([]byte, 4096)
	for {
		n, err := resp.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := bytes.LastIndex(pending, eventEnd); end >= 0 {
			end += len(eventEnd)
			if !began && assignment.TriesParts {
				q.server.config.Loop.RecordAnswerBegun(assignment)
			}
			if !began && assignment.Measured {
				q.server.config.Loop.RecordFirstEvent(assignment)
			}
			began = true
			if first, ok := firstEvent(pending[:end]); ok && continued {
				if !continuesAfter(first, lastEventID) {
					return q.brokenStreamOutcome(ctx, began, errBadContinuation)
				}
				continued = false
			}
			if _, ok := eventID(pending[:end]); ok {
				unidentified = 0
			} else if unidentified += end; unidentified > maxUnidentifiedBytes {
				return q.brokenStreamOutcome(ctx, began, errNoEventIDs)
			}
			q.startStream(resp)
			if writeErr := q.writeEvents(pending[:end]); writeErr != nil {
				if cutOff := q.readerError(); cutOff != nil {
					return outcome{err: cutOff, health: health.Served}
				}
				return outcome{err: verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "%s", q.disconnectCause()).WithCause(writeErr), health: health.Served}
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && resp.EndsWithConnection && !began:
			return q.brokenStreamOutcome(ctx, began, errNoEvents)
		case errors.Is(err, io.EOF) && len(pending) == 0:
			q.startStream(resp)
			return outcome{health: health.Served, finished: true}
		case err != nil:
			return q.brokenStreamOutcome(ctx, began, err)
		case len(pending) > maxEventBytes:
			return q.brokenStreamOutcome(ctx, began, errEventTooLong)
		}
	}
}

// startStream passes on the head of a stream, unless the caller has that of an earlier replica.
func (q *request) startStream(resp *replica.Response) {
	if q.responseStarted {
		return
	}
	q.status = resp.Status
	headers := platform.CallerResponseHeaders(resp.Headers)
	headers.Del("Content-Length")
	q.startResponse(headers)
	q.writer.WriteHeader(resp.Status)
}

// brokenStreamOutcome returns the outcome of a stream that did not end properly. began is
// set if a complete event has arrived.
func (q *request) brokenStreamOutcome(ctx context.Context, began bool, err error) outcome {
	if ctx.Err() != nil {
		q.mayHaveRun = true
		return outcome{err: q.contextError(ctx), health: health.Served}
	}
	o := brokenOutcome("the stream broke off", err)
	o.mayHaveCrashed, o.aborted, o.began = true, !endedByReplica(err), began
	return o
}

var (
	errEventTooLong = errors.New("event of the stream exceeds 128 KiB")
	errNoEventIDs   = errors.New("128 KiB of events without an ID")
	errNoEvents     = errors.New("connection closed before the first event")
)

var errBadContinuation = errors.New("first event of the continuation does not follow the last event sent")

// firstEvent returns the first event that does not consist of comments only.
func firstEvent(events []byte) ([]byte, bool) {
	for block := range bytes.SplitSeq(events, eventEnd) {
		for line := range bytes.SplitSeq(block, []byte("\n")) {
			if len(line) > 0 && line[0] != ':' {
				return block, true
			}
		}
	}
	return nil, false
}

// continuesAfter reports whether an event comes after the event with the ID lastID. IDs that
// are not numbers must only differ. An event without an ID, such as the text of an error, comes
// after none; if lastID is empty, the caller has no event yet.
func continuesAfter(event []byte, lastID string) bool {
	if lastID == "" {
		return true
	}
	first, ok := eventID(event)
	if !ok {
		return false
	}
	a, errA := strconv.ParseInt(first, 10, 64)
	b, errB := strconv.ParseInt(lastID, 10, 64)
	if errA != nil || errB != nil {
		return first != lastID
	}
	return a > b
}

// eventID returns the first event ID among the lines.
func eventID(lines []byte) (string, bool) {
	for line := range bytes.SplitSeq(lines, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// writeEvents writes complete events to the caller and records the last event ID.
func (q *request) writeEvents(events []byte) error {
	for block := range bytes.SplitSeq(events, eventEnd) {
		if len(block) == 0 {
			continue
		}
		q.eventCount++
		if id, ok := eventID(block); ok {
			q.lastEventID = id
		}
	}
	q.lacksEventID.Store(q.cannotContinue())
	now := bootclock.Now()
	if q.timeToFirstByte == 0 {
		q.timeToFirstByte = now - q.received
	} else {
		q.longestGap = max(q.longestGap, now-q.lastWrite)
	}
	q.lastWrite = now
	if !q.canWrite(len(events)) {
		return q.hold(events)
	}
	if _, err := q.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(q.writer).Flush()
}
