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
	// Limits of the time between two demand messages.
	maxDemandInterval = time.Second
	minDemandInterval = 50 * time.Millisecond
	// reconnectDelay is the initial wait before the stream to the entry is reopened. It grows to maxReconnectDelay
	// while the entry is unreachable.
	reconnectDelay    = 200 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	// maxWantedSlots is the maximum demand for one model.
	maxWantedSlots = 512
)

// Causes with which a running item is cancelled.
var (
	errPreempted    = errors.New("runner: slot was revoked")
	errJobCancelled = errors.New("runner: job was cancelled")
	errChunkLost    = errors.New("runner: chunk was taken over")
)

// slotLoop keeps a slot stream to the entry open.
func (r *Runner) slotLoop(ctx context.Context) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = reconnectDelay
	delays.MaxInterval = maxReconnectDelay
	for {
		opened := time.Now()
		if err := r.serveSlotStream(ctx); err != nil && ctx.Err() == nil {
			r.config.Log.Warn().Err(err).Msg("slot stream to the entry ended; no items are dispatched until it is reopened")
		}
		if time.Since(opened) > maxReconnectDelay {
			delays.Reset()
		}
		if !waitInterval(ctx, delays.NextBackOff(), nil) {
			return nil
		}
	}
}

// serveSlotStream serves one stream until it ends. All its slots are void then, so their items are cancelled.
func (r *Runner) serveSlotStream(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errPreempted)
	stream, err := r.config.Caller.OpenStream(ctx, r.config.Entry, batchslots.Method)
	if err != nil {
		return err
	}
	defer stream.Close()
	slots := &slotStream{runner: r, stream: stream, slots: map[uint64]context.CancelCauseFunc{}}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	go func() {
		if err := r.sendDemand(ctx, stream); err != nil {
			cancel(errPreempted)
		}
	}()
	for {
		var m batchslots.ToBatch
		if err := stream.Receive(&m); err != nil {
			return err
		}
		slots.handle(ctx, m)
	}
}

// sendDemand keeps the entry informed of how many slots this runner could use.
func (r *Runner) sendDemand(ctx context.Context, stream peer.Stream) error {
	for {
		if err := stream.Send(batchslots.ToEntry{Demand: &batchslots.Demand{Wants: r.demand()}}); err != nil {
			return err
		}
		if !waitInterval(ctx, maxDemandInterval, r.wakeDemand) || !waitInterval(ctx, minDemandInterval, nil) {
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

// readySuspects returns the fingerprints of the suspects that are ready for dispatch.
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

// dequeueSuspect picks a ready suspect with the fingerprint. Items with the same content share a fingerprint.
func (h *heldChunk) dequeueSuspect(fingerprint uint64, now time.Time) (index int, ok bool) {
	for _, index := range h.suspects[fingerprint] {
		if h.run.TakeSuspect(index, now) {
			return index, true
		}
	}
	return 0, false
}

// mayDispatch reports whether items of the chunk may be dispatched now. The caller holds the lock.
func (r *Runner) mayDispatch(h *heldChunk, now time.Time) bool {
	// A process that was paused must check for cancellations before it dispatches anything.
	isConfirmed := now.Sub(h.confirmedAt) <= r.config.MaxConfirmationAge
	return isConfirmed && !r.draining && !h.record.Job.IsCancelled() && r.bufferedBytes < r.config.MaxBufferedBytes
}

// slotStream is the runner's end of one stream.
type slotStream struct {
	runner *Runner
	stream peer.Stream
	// slots holds the cancel function of each slot in use. The runner's lock guards it.
	slots map[uint64]context.CancelCauseFunc
}

func (s *slotStream) handle(ctx context.Context, m batchslots.ToBatch) {
	switch {
	case m.Granted != nil:
		s.handleGrant(ctx, *m.Granted)
	case m.Revoked != nil:
		s.handleRevocation(m.Revoked.Slot)
	case m.Suspected != nil:
		s.runner.addSuspects(m.Suspected.Fingerprints)
	case m.Quarantined != nil:
		s.runner.addQuarantined(m.Quarantined.Fingerprints)
	case m.Blamed != nil:
		s.runner.setBlamed(m.Blamed.Groups)
	}
}

func (s *slotStream) handleRevocation(slot uint64) {
	s.runner.mu.Lock()
	cancel := s.slots[slot]
	s.runner.mu.Unlock()
	if cancel != nil {
		cancel(errPreempted)
	}
}

// addQuarantined fails pending suspects with these fingerprints, and keeps other items with them from being dispatched.
func (r *Runner) addQuarantined(fingerprints []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range fingerprints {
		r.quarantined[f] = struct{}{}
		for _, h := range r.held {
			r.failQuarantined(h, f)
		}
	}
}

// setBlamed replaces the blamed groups. Items that hold one of them fail when they are dispatched.
func (r *Runner) setBlamed(groups [][]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blamed = groups
}

// addSuspects keeps items with these fingerprints out of ordinary slots, because the entry suspects them although
// their attempts did not end with a broken connection.
func (r *Runner) addSuspects(fingerprints []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range fingerprints {
		r.suspected[f] = struct{}{}
	}
}

// failQuarantined fails the chunk's pending suspects with the fingerprint, including those that wait for
// a retry: the entry no longer grants them a slot. The caller holds the lock.
func (r *Runner) failQuarantined(h *heldChunk, fingerprint uint64) {
	for _, index := range h.suspects[fingerprint] {
		if h.run.IsPending(index) {
			h.run.Failed(index, errQuarantined, time.Now())
			h.events.add(index, "refused: quarantined")
			signal(r.wakeCommit)
		}
	}
}

// handleGrant runs one item in the granted slot, or releases the slot if no item can use it.
func (s *slotStream) handleGrant(ctx context.Context, grant batchslots.Granted) {
	itemCtx, cancel := context.WithCancelCause(ctx)
	next, ok := s.runner.nextAttempt(grant, cancel)
	if !ok {
		cancel(nil)
		// The current demand is sent first, or the entry would grant the slot again for the outdated demand.
		_ = s.stream.Send(batchslots.ToEntry{Demand: &batchslots.Demand{Wants: s.runner.demand()}})
		s.release(batchslots.Released{Slot: grant.Slot})
		return
	}
	s.runner.mu.Lock()
	s.slots[grant.Slot] = cancel
	s.runner.mu.Unlock()
	go func() {
		defer cancel(nil)
		outcome := s.runner.config.Items.RunItem(itemCtx, next.call)
		wasted := s.runner.finishAttempt(next, outcome, context.Cause(itemCtx))
		s.runner.mu.Lock()
		delete(s.slots, grant.Slot)
		s.runner.mu.Unlock()
		s.release(batchslots.Released{
			Slot:         grant.Slot,
			Outcome:      admissionOutcome(outcome),
			Fingerprint:  next.fingerprint,
			TokensWasted: wasted,
			PromptParts:  next.parts,
		})
	}()
}

func (s *slotStream) release(released batchslots.Released) {
	// An error means that the stream has ended. The slot is void then and needs no release.
	_ = s.stream.Send(batchslots.ToEntry{Released: &released})
}

func admissionOutcome(o ItemOutcome) admission.Outcome {
	return admission.Outcome{End: o.End, FirstToken: o.FirstToken, Tokens: o.Tokens, Duration: o.Duration}
}

// attempt is one dispatch of an item to a target.
type attempt struct {
	chunk       *heldChunk
	index       int
	target      string
	fingerprint uint64
	parts       []uint64
	call        ItemCall
}

// nextAttempt picks an item for a granted slot and marks it as running. It returns false if there is none.
func (r *Runner) nextAttempt(grant batchslots.Granted, cancel context.CancelCauseFunc) (attempt, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, h := range r.held {
		if h.run.Chunk().Model != grant.Model || !r.mayDispatch(h, now) {
			continue
		}
		if a, ok := r.nextFromChunk(h, grant, now); ok {
			h.running[a.index] = cancel
			r.starvation.slotGranted(grant.Model, now)
			h.events.add(a.index, "sent to target "+grant.Target)
			r.metrics.dispatched.Inc()
			if r.readyByModel()[grant.Model] == minReadyItems-1 {
				signal(r.wakeDiscovery)
			}
			return a, true
		}
	}
	return attempt{}, false
}

// nextFromChunk picks an item of a chunk. A slot for a suspect accepts only that suspect, and any other slot no suspects.
func (r *Runner) nextFromChunk(h *heldChunk, grant batchslots.Granted, now time.Time) (attempt, bool) {
	if grant.Suspect != 0 {
		index, ok := h.dequeueSuspect(grant.Suspect, now)
		if !ok {
			return attempt{}, false
		}
		return r.newAttempt(h, grant, h.run.Dispatch(index)), true
	}
	for {
		d, ok := h.run.Next(now)
		if !ok {
			return attempt{}, false
		}
		a := r.newAttempt(h, grant, d)
		if _, ok := r.suspected[a.fingerprint]; ok {
			delete(r.suspected, a.fingerprint)
			h.run.UndoDispatch(d.Index)
			h.markSuspect(a)
			h.events.add(d.Index, "suspected: a target broke off shortly after this item was stopped there")
			signal(r.wakeDemand)
			continue
		}
		if !r.isQuarantined(a) {
			return a, true
		}
		h.run.Failed(d.Index, errQuarantined, now)
		h.events.add(d.Index, "refused: quarantined")
		signal(r.wakeCommit)
	}
}

// isQuarantined reports whether an item may not be sent to any target.
func (r *Runner) isQuarantined(a attempt) bool {
	if _, ok := r.quarantined[a.fingerprint]; ok {
		return true
	}
	content := quarantine.Content{Fingerprint: a.fingerprint, Parts: a.parts}
	return slices.ContainsFunc(r.blamed, content.Holds)
}

func (r *Runner) newAttempt(h *heldChunk, grant batchslots.Granted, d job.Dispatch) attempt {
	return attempt{
		chunk:       h,
		index:       d.Index,
		target:      grant.Target,
		fingerprint: quarantine.Fingerprint(h.record.Job.Client, grant.Model, d.Line.Body),
		parts:       admission.BodyParts(grant.Model, d.Line.Body),
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

// finishAttempt records the outcome of an attempt. It returns the number of generated tokens that are discarded.
func (r *Runner) finishAttempt(a attempt, o ItemOutcome, cause error) (wasted int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	run := a.chunk.run
	delete(a.chunk.running, a.index)
	defer signal(r.wakeCommit)
	defer signal(r.wakeDemand)
	switch {
	case o.Err == nil:
		delete(r.suspected, a.fingerprint)
		run.Answered(a.index, o.Status, a.call.RequestID, o.Body, now)
		r.bufferedBytes += len(o.Body)
		r.metrics.answered.Inc()
		a.chunk.events.add(a.index, "answered by target "+a.target)
		return 0
	case o.Err.Verdict == verdict.NotRun:
		run.Failed(a.index, o.Err, now)
		a.chunk.events.add(a.index, "not run by target "+a.target+": "+o.Err.Message)
		return 0
	case cause != nil && o.End != admission.EndInterrupted:
		a.chunk.events.add(a.index, "stopped on target "+a.target+": "+cause.Error())
		wasted = r.recordPreemption(a, o, now)
	default:
		// The target may also break off at the moment at which the slot is revoked. That is evidence against the item.
		if o.End == admission.EndInterrupted {
			a.chunk.markSuspect(a)
		}
		run.Failed(a.index, o.Err, now)
		if _, ok := r.quarantined[a.fingerprint]; ok {
			r.failQuarantined(a.chunk, a.fingerprint)
		}
		wasted = o.Partial.Tokens
		a.chunk.events.add(a.index, "failed on target "+a.target+": "+o.Err.Message)
	}
	r.metrics.tokensWasted.Add(wasted)
	return wasted
}

// markSuspect records that the connection broke while the item ran: it may have crashed the target.
func (h *heldChunk) markSuspect(a attempt) {
	h.run.MarkSuspect(a.index)
	if !slices.Contains(h.suspects[a.fingerprint], a.index) {
		h.suspects[a.fingerprint] = append(h.suspects[a.fingerprint], a.index)
	}
}

func (r *Runner) recordPreemption(a attempt, o ItemOutcome, now time.Time) (wasted int) {
	r.metrics.preempted.Inc()
	if a.chunk.run.Preempted(a.index, o.Partial, now) {
		return 0
	}
	return o.Partial.Tokens
}
