package platform

import "time"

// Engine is the timing of a replica in virtual time: how long it takes to read
// prompts and to write events. It follows the platform's pages and what the
// users' bench was seen to do, not the product's cost model.
type Engine struct {
	Step       time.Duration
	PerRequest time.Duration
	// PerContext is the time that a token of context adds to a step, PerPair that
	// of a pair of a token and an earlier one, both in nanoseconds.
	PerContext, PerPair float64
	ReadPerSecond       float64
	Chunk, Stride       int
}

// Work is a prompt that arrives at a replica.
type Work struct {
	At     time.Duration
	Prompt int
	// Events is the number of passes in which the answer is written.
	Events int
}

type task struct {
	Work
	read  int
	first time.Duration
	left  int
}

// FirstEvents returns when each prompt, in order of arrival, has its first
// event. Prompts are read one after the other; each pass of a replica that
// writes has Stride steps, and each step reads a chunk at most.
func (e Engine) FirstEvents(work []Work) []time.Duration {
	tasks := make([]*task, len(work))
	for i, w := range work {
		tasks[i] = &task{Work: w, left: w.Events}
	}
	for now := time.Duration(0); ; {
		writers, context := e.writing(tasks)
		reader := e.reading(tasks, now)
		switch {
		case writers > 0:
			now += e.pass(tasks, now, writers, context)
		case reader != nil:
			now += e.chunk(reader)
			if reader.read == reader.Prompt {
				now += e.steps(1, reader.Prompt)
				e.write(reader, now)
			}
		default:
			next, any := e.next(tasks, now)
			if !any {
				firsts := make([]time.Duration, len(tasks))
				for i, t := range tasks {
					firsts[i] = t.first - t.At
				}
				return firsts
			}
			now = next
		}
	}
}

func (e Engine) writing(tasks []*task) (writers, context int) {
	for _, t := range tasks {
		if t.first > 0 && t.left > 0 {
			writers++
			context += t.Prompt
		}
	}
	return writers, context
}

func (e Engine) reading(tasks []*task, now time.Duration) *task {
	for _, t := range tasks {
		if t.At <= now && t.read < t.Prompt {
			return t
		}
	}
	return nil
}

func (e Engine) next(tasks []*task, now time.Duration) (time.Duration, bool) {
	for _, t := range tasks {
		if t.At > now {
			return t.At, true
		}
	}
	return 0, false
}

// chunk reads the next chunk of a prompt and returns its time.
func (e Engine) chunk(t *task) time.Duration {
	n := min(e.Chunk, t.Prompt-t.read)
	pairs := float64(n) * (float64(t.read) + float64(n)/2)
	t.read += n
	return time.Duration(float64(n)/e.ReadPerSecond*float64(time.Second) + pairs*e.PerPair)
}

// steps is the time of one pass without reading.
func (e Engine) steps(writers, context int) time.Duration {
	step := e.Step + time.Duration(writers)*e.PerRequest + time.Duration(float64(context)*e.PerContext)
	return time.Duration(e.Stride) * step
}

func (e Engine) write(t *task, now time.Duration) {
	if t.first == 0 {
		t.first = now
	}
	t.left--
}

// pass writes an event of each writer and reads within its steps, also what
// arrives meanwhile. A prompt that is read within a pass writes from the next
// one on.
func (e Engine) pass(tasks []*task, now time.Duration, writers, context int) time.Duration {
	step := e.steps(writers, context) / time.Duration(e.Stride)
	var writing []*task
	for _, t := range tasks {
		if t.left > 0 && (t.first > 0 || t.Prompt == t.read && t.At <= now) {
			writing = append(writing, t)
		}
	}
	took := time.Duration(0)
	for range e.Stride {
		took += step
		if t := e.reading(tasks, now+took); t != nil {
			took += e.chunk(t)
		}
	}
	for _, t := range writing {
		e.write(t, now+took)
	}
	return took
}
