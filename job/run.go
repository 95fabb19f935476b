package job

import (
	"fmt"
	"time"

	"github.com/rosemarydyke/rosemarydyke/verdict"
)

type itemState uint8

const (
	itemPending itemState = iota
	itemRunning
	// itemResolved items have a result that is not in a committed segment yet.
	itemResolved
	itemDone
)

type item struct {
	state     itemState
	tries     int
	refusals  int
	notBefore time.Time
	partial   Partial
	// isSuspect is set once the item was cut off on a target, which it may have crashed.
	isSuspect bool
	result    *Result
}

// Partial is the part of an item's response that was generated before the item was preempted.
type Partial struct {
	Text   string
	Tokens int
}

// Dispatch describes an item to be sent to a target.
type Dispatch struct {
	Index int
	Line  *Line
	// Partial is what earlier tries generated; the target continues after it.
	Partial Partial
}

// ResultBatch is a set of results that are committed together.
type ResultBatch struct {
	Results []*Result
	indexes []int
}

// Run tracks the items of one chunk that this runner holds, and decides which of them are dispatched and
// committed. It is not safe for concurrent use.
type Run struct {
	policy         Policy
	chunk          *Chunk
	lines          []*Line
	items          []item
	stopped        bool
	oldestResolved time.Time
}

// NewRun returns the run of a chunk that has just been claimed. A non-idempotent item whose
// intent was recorded by an earlier holder, without a result, fails with the verdict MayHaveRun.
func NewRun(chunk *Chunk, lines []*Line, policy Policy, now time.Time) (*Run, error) {
	if len(lines) != chunk.Items {
		return nil, fmt.Errorf("chunk %d of %s has %d items, its input %d lines", chunk.Number, chunk.Job, chunk.Items, len(lines))
	}
	r := &Run{policy: policy.WithDefaults(), chunk: chunk, lines: lines, items: make([]item, chunk.Items)}
	for i := range r.items {
		switch {
		case chunk.Done.Has(i):
			r.items[i].state = itemDone
		case chunk.Intents.Has(i):
			r.fail(i, mayHaveRunError("the runner that had sent it stopped before the answer"), now)
		}
	}
	return r, nil
}

func mayHaveRunError(reason string) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Code:    verdict.CodeStreamCut,
		Message: "the item is not idempotent and may have run: " + reason,
	}
}

// Chunk returns the row as it was last committed by this runner.
func (r *Run) Chunk() *Chunk { return r.chunk }

// Line returns the input of an item.
func (r *Run) Line(index int) *Line { return r.lines[index] }

// Stop prevents further dispatches, because the job was cancelled, the chunk was lost or the runner is leaving.
func (r *Run) Stop() { r.stopped = true }

// IsStopped reports whether dispatches have ended.
func (r *Run) IsStopped() bool { return r.stopped }

// Intents returns the non-idempotent items whose intents must be committed before they can be
// dispatched. It returns none while an item with an intent still waits for its dispatch.
func (r *Run) Intents() []int {
	if r.stopped {
		return nil
	}
	var indexes []int
	for i := range r.items {
		if r.items[i].state != itemPending || r.lines[i].IsIdempotent() {
			continue
		}
		if r.chunk.Intents.Has(i) {
			return nil
		}
		if len(indexes) < r.policy.IntentItems {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Next picks an item to dispatch and marks it as running.
func (r *Run) Next(now time.Time) (Dispatch, bool) {
	if r.stopped {
		return Dispatch{}, false
	}
	for i := range r.items {
		if r.items[i].isSuspect || !r.isReady(i, now) {
			continue
		}
		r.items[i].state = itemRunning
		return r.Dispatch(i), true
	}
	return Dispatch{}, false
}

// Dispatch returns the description of an item that has been marked as running.
func (r *Run) Dispatch(index int) Dispatch {
	return Dispatch{Index: index, Line: r.lines[index], Partial: r.items[index].partial}
}

// Ready returns the number of items that can be dispatched now, excluding suspects.
func (r *Run) Ready(now time.Time) int {
	if r.stopped {
		return 0
	}
	n := 0
	for i := range r.items {
		if !r.items[i].isSuspect && r.isReady(i, now) {
			n++
		}
	}
	return n
}

// Pending returns the number of items that wait for a dispatch now or later.
func (r *Run) Pending() int { return r.count(itemPending) }

// Running returns the number of dispatched items.
func (r *Run) Running() int { return r.count(itemRunning) }

func (r *Run) count(state itemState) int {
	n := 0
	for i := range r.items {
		if r.items[i].state == state {
			n++
		}
	}
	return n
}

// UndoDispatch marks a dispatched item that was not sent as pending again.
func (r *Run) UndoDispatch(index int) { r.items[index].state = itemPending }

// Preempted records that a dispatched item was cancelled to free its slot. It reports whether the partial
// response is kept for a later try.
func (r *Run) Preempted(index int, partial Partial, now time.Time) bool {
	if !r.lines[index].IsIdempotent() {
		r.fail(index, mayHaveRunError("it was stopped to make room for online requests"), now)
		return false
	}
	r.items[index].partial = partial
	r.items[index].state = itemPending
	r.items[index].notBefore = now.Add(r.policy.PreemptionDelay)
	return partial.Text != ""
}

// Answered records the complete response to an item. A response of status 400 or higher is a failure.
func (r *Run) Answered(index int, status int, requestID string, body []byte, now time.Time) {
	result := r.newResult(index)
	result.Response = &Response{StatusCode: status, RequestID: requestID, Body: body}
	if status >= 400 {
		result.Error = &Failure{
			Code:    verdict.CodeTargetFailed,
			Message: fmt.Sprintf("the target answered with status %d", status),
			Verdict: verdict.Completed.String(),
		}
	}
	r.resolve(index, result, now)
}

// Failed records a try without a complete response. The item is tried again if the verdict allows it.
func (r *Run) Failed(index int, err *verdict.Error, now time.Time) {
	it := &r.items[index]
	switch {
	case err.Code == verdict.CodeQuarantined:
		r.fail(index, err, now)
		return
	case err.Verdict == verdict.NotRun:
		it.refusals++
	default:
		it.tries++
	}
	exhausted := it.tries >= r.policy.MaxTries || it.refusals >= r.policy.MaxRefusals
	if exhausted || !verdict.MayRetry(err.Verdict, r.lines[index].IsIdempotent()) {
		r.fail(index, err, now)
		return
	}
	it.partial = Partial{}
	it.state = itemPending
	it.notBefore = now.Add(r.retryDelay(it.tries + it.refusals))
}

func (r *Run) retryDelay(tries int) time.Duration {
	delay := r.policy.RetryDelay
	for range tries - 1 {
		delay *= 2
		if delay >= r.policy.MaxRetryDelay {
			return r.policy.MaxRetryDelay
		}
	}
	return delay
}

func (r *Run) fail(index int, err *verdict.Error, now time.Time) {
	result := r.newResult(index)
	result.Error = NewFailure(err)
	r.resolve(index, result, now)
}

func (r *Run) newResult(index int) *Result {
	return &Result{ID: ItemID(r.chunk, index), CustomID: r.lines[index].CustomID}
}

func (r *Run) resolve(index int, result *Result, now time.Time) {
	if r.oldestResolved.IsZero() {
		r.oldestResolved = now
	}
	r.items[index].state = itemResolved
	r.items[index].result = result
	r.items[index].partial = Partial{}
}

// CommitDue reports whether results should be committed now.
func (r *Run) CommitDue(now time.Time) bool {
	n := r.count(itemResolved)
	switch {
	case n == 0:
		return false
	case n >= r.policy.SegmentItems || now.Sub(r.oldestResolved) >= r.policy.SegmentAge:
		return true
	default:
		return r.Pending() == 0 && r.Running() == 0
	}
}

// Collect returns all results that are not committed yet.
func (r *Run) Collect() ResultBatch {
	var b ResultBatch
	for i := range r.items {
		if r.items[i].state == itemResolved {
			b.indexes = append(b.indexes, i)
			b.Results = append(b.Results, r.items[i].result)
		}
	}
	return b
}

// ResolveIntents fails every non-idempotent item that is marked as running, with the verdict MayHaveRun since it
// may have been dispatched. Running idempotent items become pending again. It is called before a chunk of a
// cancelled job is closed.
func (r *Run) ResolveIntents(now time.Time) {
	for i := range r.items {
		it := &r.items[i]
		switch {
		case it.state == itemRunning && !r.lines[i].IsIdempotent():
			r.fail(i, mayHaveRunError("the job was cancelled before the answer"), now)
		case it.state == itemRunning:
			it.state = itemPending
		}
	}
}

// Find returns the index of the item with a custom_id.
func (r *Run) Find(customID string) (int, bool) {
	for i, line := range r.lines {
		if line.CustomID == customID {
			return i, true
		}
	}
	return 0, false
}

// Describe returns the state of an item as text for operators.
func (r *Run) Describe(index int, now time.Time) string {
	it := &r.items[index]
	switch {
	case it.state == itemDone:
		return "its result is committed"
	case it.state == itemResolved:
		return "its result waits to be committed with others"
	case it.state == itemRunning:
		return "it runs on a target"
	case it.notBefore.After(now):
		return fmt.Sprintf("it waits for try %d", it.tries+it.refusals+1)
	case !r.isReady(index, now):
		return "it is not idempotent and waits until its dispatch is recorded"
	default:
		return "it waits for a slot"
	}
}
