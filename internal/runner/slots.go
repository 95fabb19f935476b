package runner

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const (
	// demandInterval is the longest time between statements of the demand, demandGap the shortest.
	demandInterval = time.Second
	demandGap      = 50 * time.Millisecond
	// reconnectDelay is the wait before the stream to the entry is opened again. It grows to maxReconnectDelay
	// while the entry stays away.
	reconnectDelay    = 200 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	// maxWantedSlots bounds the demand for one model.
	maxWantedSlots = 512
)

// Causes for which a running item is cancelled.
var (
	errPreempted    = errors.New("runner: slot was revoked")
	errJobCancelled = errors.New("runner: job was cancelled")
	errChunkLost    = errors.New("runner: chunk was taken over")
)

// slotLoop keeps the stream to the entry open.
func (r *Runner) slotLoop(ctx context.Context) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = reconnectDelay
	delays.MaxInterval = maxReconnectDelay
	for {
		opened := time.Now()
		if err := r.useSlots(ctx); err != nil && ctx.Err() == nil {
			r.config.Log.Warn().Err(err).Msg("no slots: the stream to the entry ended")
		}
		if time.Since(opened) > maxReconnectDelay {
			delays.Reset()
		}
		if !tick(ctx, delays.NextBackOff(), nil) {
			return nil
		}
	}
}

// useSlots serves one stream. When it ends all its slots are void, so their items are cancelled.
func (r *Runner) useSlots(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errPreempted)
	stream, err := r.config.Caller.OpenStream(ctx, r.config.Entry, batchslots.Method)
	if err != nil {
		return err
	}
	defer stream.Close()
	link := &slotLink{runner: r, stream: stream, slots: map[uint64]context.CancelCauseFunc{}}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	go func() {
		if err := r.stateDemand(ctx, stream); err != nil {
			cancel(errPreempted)
		}
	}()
	for {
		var m batchslots.ToBatch
		if err := stream.Receive(&m); err != nil {
			return err
		}
		link.handle(ctx, m)
	}
}

// stateDemand tells the entry how many slots could be used.
func (r *Runner) stateDemand(ctx context.Context, stream peer.Stream) error {
	for {
		if err := stream.Send(batchslots.ToEntry{Demand: &batchslots.Demand{Wants: r.demand()}}); err != nil {
			return err
		}
		if !tick(ctx, demandInterval, r.demandSoon) || !tick(ctx, demandGap, nil) {
			return nil
		}
	}
}

func (r *Runner) demand() []batchslots.Want {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	wants := map[string]*batchslots.Want{}
	for _, h := range r.held {
		model := h.run.Chunk().Model
		want := wants[model]
		if want == nil {
			want = &batchslots.Want{Model: model}
			wants[model] = want
		}
		want.Slots += len(h.running)
		if r.mayDispatch(h, now) {
			want.Slots += h.run.Ready(now)
			want.Suspects = append(want.Suspects, h.readySuspects(now)...)
		}
	}
	var list []batchslots.Want
	for _, want := range wants {
		want.Slots = min(want.Slots, maxWantedSlots)
		list = append(list, *want)
	}
	slices.SortFunc(list, func(a, b batchslots.Want) int { return strings.Compare(a.Model, b.Model) })
	return list
}

// readySuspects returns the fingerprints of the suspects that could be sent now.
func (h *heldChunk) readySuspects(now time.Time) []uint64 {
	var fingerprints []uint64
	for fingerprint, indexes := range h.suspects {
		isReady := func(index int) bool { return h.run.IsReadySuspect(index, now) }
		if slices.ContainsFunc(indexes, isReady) {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// takeSuspect picks one of the items with the fingerprint, which may be several with the same content.
func (h *heldChunk) takeSuspect(fingerprint uint64, now time.Time) (index int, ok bool) {
	for _, index := range h.suspects[fingerprint] {
		if h.run.TakeSuspect(index, now) {
			return index, true
		}
	}
	return 0, false
}

// mayDispatch reports whether items of the chunk may be sent now. The caller holds the lock.
func (r *Runner) mayDispatch(h *heldChunk, now time.Time) bool {
	// A process that was paused must learn of cancels before it sends anything.
	isConfirmed := now.Sub(h.confirmedAt) <= r.config.MaxJobAge
	return isConfirmed && !r.draining && !h.record.Job.IsCancelled() && r.buffered < r.config.MaxBufferedBytes
}

// slotLink is the runner's side of one stream.
type slotLink struct {
	runner *Runner
	stream peer.Stream
	// slots holds the cancel function of each slot in use. The runner's lock guards it.
	slots map[uint64]context.CancelCauseFunc
}

func (l *slotLink) handle(ctx context.Context, m batchslots.ToBatch) {
	switch {
	case m.Granted != nil:
		l.granted(ctx, *m.Granted)
	case m.Revoked != nil:
		l.revoked(m.Revoked.Slot)
	case m.Quarantined != nil:
		l.runner.quarantine(m.Quarantined.Fingerprints)
	}
}

func (l *slotLink) revoked(slot uint64) {
	l.runner.mu.Lock()
	cancel := l.slots[slot]
	l.runner.mu.Unlock()
	if cancel != nil {
		cancel(errPreempted)
	}
}

// quarantine ends waiting suspects with these fingerprints, and keeps others from being sent.
func (r *Runner) quarantine(fingerprints []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range fingerprints {
		r.quarantined[f] = struct{}{}
		for _, h := range r.held {
			r.endQuarantined(h, f)
		}
	}
}

// endQuarantined ends the chunk's waiting suspects with the fingerprint, also those that wait for
// their next try: the entry grants them no slot any more. The caller holds the lock.
func (r *Runner) endQuarantined(h *heldChunk, fingerprint uint64) {
	for _, index := range h.suspects[fingerprint] {
		if h.run.IsPending(index) {
			h.run.Failed(index, errQuarantined, time.Now())
			h.events.add(index, "refused: quarantined")
			wake(r.settleSoon)
		}
	}
}

// granted runs one item in a slot, or gives the slot back.
func (l *slotLink) granted(ctx context.Context, grant batchslots.Granted) {
	itemCtx, cancel := context.WithCancelCause(ctx)
	try, ok := l.runner.nextTry(grant, cancel)
	if !ok {
		cancel(nil)
		// The demand goes first: the entry must not grant the slot again on the strength of the old one.
		_ = l.stream.Send(batchslots.ToEntry{Demand: &batchslots.Demand{Wants: l.runner.demand()}})
		l.release(batchslots.Released{Slot: grant.Slot})
		return
	}
	l.runner.mu.Lock()
	l.slots[grant.Slot] = cancel
	l.runner.mu.Unlock()
	go func() {
		defer cancel(nil)
		outcome := l.runner.config.Items.RunItem(itemCtx, try.call)
		wasted := l.runner.finish(try, outcome, context.Cause(itemCtx))
		l.runner.mu.Lock()
		delete(l.slots, grant.Slot)
		l.runner.mu.Unlock()
		l.release(batchslots.Released{
			Slot:         grant.Slot,
			Outcome:      outcomeOf(outcome),
			Fingerprint:  try.fingerprint,
			TokensWasted: wasted,
		})
	}()
}

func (l *slotLink) release(released batchslots.Released) {
	// When the stream has ended the slot is void, and there is nothing to give back.
	_ = l.stream.Send(batchslots.ToEntry{Released: &released})
}

func outcomeOf(o ItemOutcome) admission.Outcome {
	return admission.Outcome{End: o.End, FirstToken: o.FirstToken, Tokens: o.Tokens, Duration: o.Duration}
}

// try is one dispatch of an item.
type try struct {
	chunk       *heldChunk
	index       int
	target      string
	fingerprint uint64
	call        ItemCall
}

// nextTry picks an item for a granted slot.
func (r *Runner) nextTry(grant batchslots.Granted, cancel context.CancelCauseFunc) (try, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, h := range r.held {
		if h.run.Chunk().Model != grant.Model || !r.mayDispatch(h, now) {
			continue
		}
		if t, ok := r.nextOf(h, grant, now); ok {
			h.running[t.index] = cancel
			r.starvation.granted(grant.Model, now)
			h.events.add(t.index, "sent to target "+grant.Target)
			r.metrics.dispatched.Inc()
			if r.readyByModel()[grant.Model] == readyItems-1 {
				wake(r.discoverSoon)
			}
			return t, true
		}
	}
	return try{}, false
}

// nextOf picks an item of a chunk. A slot for a suspect takes that item only, another slot takes no suspect.
func (r *Runner) nextOf(h *heldChunk, grant batchslots.Granted, now time.Time) (try, bool) {
	if grant.Suspect != 0 {
		index, ok := h.takeSuspect(grant.Suspect, now)
		if !ok {
			return try{}, false
		}
		return r.newTry(h, grant, h.run.Dispatch(index)), true
	}
	for {
		d, ok := h.run.Next(now)
		if !ok {
			return try{}, false
		}
		t := r.newTry(h, grant, d)
		if _, ok := r.quarantined[t.fingerprint]; !ok {
			return t, true
		}
		h.run.Failed(d.Index, errQuarantined, now)
		h.events.add(d.Index, "refused: quarantined")
		wake(r.settleSoon)
	}
}

func (r *Runner) newTry(h *heldChunk, grant batchslots.Granted, d job.Dispatch) try {
	return try{
		chunk:       h,
		index:       d.Index,
		target:      grant.Target,
		fingerprint: quarantine.Fingerprint(h.record.Job.Client, grant.Model, d.Line.Body),
		call: ItemCall{
			Address: grant.Address, RequestID: job.ItemID(h.run.Chunk(), d.Index),
			Path: d.Line.URL, Body: d.Line.Body, Partial: d.Partial,
		},
	}
}

var errQuarantined = &verdict.Error{
	Verdict: verdict.NotRun,
	Code:    verdict.CodeQuarantined,
	Message: "requests with this content crashed targets and are not sent to any more",
}

// finish takes the outcome of a try. It returns the number of generated tokens that are thrown away.
func (r *Runner) finish(t try, o ItemOutcome, cause error) (wasted int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	run := t.chunk.run
	delete(t.chunk.running, t.index)
	defer wake(r.settleSoon)
	defer wake(r.demandSoon)
	switch {
	case o.Err == nil:
		run.Answered(t.index, o.Status, t.call.RequestID, o.Body, now)
		r.buffered += len(o.Body)
		r.metrics.answered.Inc()
		t.chunk.events.add(t.index, "answered by target "+t.target)
		return 0
	case o.Err.Verdict == verdict.NotRun:
		run.Failed(t.index, o.Err, now)
		t.chunk.events.add(t.index, "not run by target "+t.target+": "+o.Err.Message)
		return 0
	case cause != nil:
		t.chunk.events.add(t.index, "stopped on target "+t.target+": "+cause.Error())
		wasted = r.preempted(t, o, now)
	default:
		if o.End == admission.EndCut {
			t.chunk.suspect(t)
		}
		run.Failed(t.index, o.Err, now)
		if _, ok := r.quarantined[t.fingerprint]; ok {
			r.endQuarantined(t.chunk, t.fingerprint)
		}
		wasted = o.Partial.Tokens
		t.chunk.events.add(t.index, "failed on target "+t.target+": "+o.Err.Message)
	}
	r.metrics.tokensWasted.Add(wasted)
	return wasted
}

// suspect notes that an item was cut off on a target, which it may have crashed.
func (h *heldChunk) suspect(t try) {
	h.run.MarkSuspect(t.index)
	if !slices.Contains(h.suspects[t.fingerprint], t.index) {
		h.suspects[t.fingerprint] = append(h.suspects[t.fingerprint], t.index)
	}
}

func (r *Runner) preempted(t try, o ItemOutcome, now time.Time) (wasted int) {
	r.metrics.preempted.Inc()
	if t.chunk.run.Preempted(t.index, o.Partial, now) {
		return 0
	}
	return o.Partial.Tokens
}
