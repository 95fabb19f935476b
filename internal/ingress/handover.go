package ingress

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/reach"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const (
	// handoverOverlap limits how long two targets work on a request: long enough for the second one to process the
	// prompt, and shorter than the 400 ms that the platform tolerates.
	handoverOverlap = 250 * time.Millisecond
	// searchInterval is the time after which a slot is requested again that was refused.
	searchInterval = 100 * time.Millisecond
	// lossCheckInterval is the time between two checks whether a silent target can still be reached, and lossChecks the number of
	// successive failed ones after which its run is lost. A target that is suspended still accepts connections.
	lossCheckInterval = 250 * time.Millisecond
	lossChecks        = 2
)

// handover follows the run of a request and, while its target is silent, looks for another one. The silent run is left
// only once another target sends the stream, or has had handoverOverlap to do so: a healthy target may be silent for
// a second and continue, and there may be no other slot.
type handover struct {
	exchange *exchange
	current  *run
	// silence fires when the target has been silent for too long, and overlap when the current run is left.
	silence, overlap *time.Timer
	// search looks for a slot of another target, and replacement is the run there. At most one of them is set.
	search      *search
	replacement *run
	// loss watches a silent target whose request may not be sent to another one.
	loss *lossWatch
	// notRun counts the replacements that did not run.
	notRun int
}

// follow serves the request with the slot until the response is complete, which is errDone, or the run has failed.
func (e *exchange) follow(ctx context.Context, slot *scheduling.Slot, waited time.Duration) error {
	h := &handover{exchange: e, current: e.startRun(ctx, slot, waited, e.mayStartAnother()), silence: newStoppedTimer(), overlap: newStoppedTimer()}
	defer h.stop()
	h.awaitNext(firstEventTimeout)
	for {
		err := h.step(ctx)
		if err == nil {
			continue
		}
		e.endRun(ctx, h.current, err)
		if errors.Is(err, errDone) || ctx.Err() != nil || isClientError(err) || h.replacement == nil {
			return err
		}
		h.promote()
	}
}

// step processes the next event. An error ends the current run.
func (h *handover) step(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case a := <-h.current.arrivals:
		return h.onArrival(ctx, a)
	case <-h.silence.C:
		h.onSilence(ctx)
	case r := <-h.search.results():
		h.onSlot(ctx, r)
	case a := <-h.replacement.nextArrival():
		return h.onReplacementArrival(ctx, a)
	case <-h.overlap.C:
		return errReplaced
	case err := <-h.loss.results():
		return err
	}
	return nil
}

// onArrival forwards what the current target sent. A target that continues is not replaced.
func (h *handover) onArrival(ctx context.Context, a arrival) error {
	h.current.observe(a)
	if err := h.exchange.check(h.current, a); err != nil {
		return err
	}
	h.current.silentFor = 0
	h.loss.stop()
	h.loss = nil
	h.dropReplacement(ctx, errNotNeeded)
	if err := h.exchange.forward(h.current, a); err != nil {
		return err
	}
	h.awaitNext(h.exchange.gapTimeout())
	return nil
}

// awaitNext restarts the silence timer. A response that is not a stream may take as long as it does.
func (h *handover) awaitNext(timeout time.Duration) {
	h.silence.Stop()
	if h.exchange.isStream() {
		h.current.silentFor = 0
		h.silence.Reset(timeout)
		return
	}
	h.silence.Reset(max(h.exchange.route.LatencyObjective, timeout))
}

// onSilence looks for another target if the request may run again, and otherwise watches whether the target is lost. The silence
// of a stream counts against the target in any case.
func (h *handover) onSilence(ctx context.Context) {
	r := h.current
	if !h.exchange.mayStartAnother() {
		h.loss = h.exchange.watchLoss(ctx, r)
	}
	if !h.exchange.isStream() {
		return
	}
	r.silentFor = firstEventTimeout
	if r.record.firstEvent != 0 {
		r.silentFor = h.exchange.gapTimeout()
	}
	if !r.reportedSilent {
		r.reportedSilent = true
		silencesTotal.Inc()
		// The connection may be silent instead of the target if it was idle before.
		go h.exchange.reportSilent(ctx, r, r.connReused.Load() && r.record.firstEvent == 0)
	}
	if h.exchange.mayStartAnother() {
		h.search = h.exchange.startSearch(ctx, 0, r)
	}
}

// onSlot sends the request to another target, or requests a slot again.
func (h *handover) onSlot(ctx context.Context, r searchResult) {
	h.search.cancel()
	h.search = nil
	if r.err != nil {
		h.searchAgain(ctx)
		return
	}
	if h.exchange.isQuarantined() || h.exchange.authorizeSend().reason != "" {
		r.slot.Release(scheduler.Abandoned, 0)
		return
	}
	h.replacement = h.exchange.startRun(ctx, r.slot, r.waited, false)
	h.overlap.Reset(handoverOverlap)
}

// reportSilent reports that a target is silent, unless that is the fault of the path to it or may be that of its connection. The
// next request to the target gets a new connection, which tells the two apart.
func (e *exchange) reportSilent(ctx context.Context, r *run, connSuspected bool) {
	works := e.server.config.Targets.PathWorks(ctx, r.address)
	if works && !connSuspected {
		r.slot.ReportSilent()
		return
	}
	if works {
		e.server.config.Log.Info().Str("request", e.client.ID).Str("target", r.slot.Target).
			Msg("target is silent on a reused connection; the silence is not reported, and its idle connections are closed")
		return
	}
	e.server.config.Log.Info().Str("request", e.client.ID).Str("target", r.slot.Target).
		Msg("target is silent, and the direct path to it is broken; the silence is not reported")
}

func (h *handover) searchAgain(ctx context.Context) {
	if h.notRun < maxNotRun && h.exchange.mayStartAnother() {
		h.search = h.exchange.startSearch(ctx, searchInterval, h.current)
	}
}

// onReplacementArrival leaves the silent run for one that sends the stream.
func (h *handover) onReplacementArrival(ctx context.Context, a arrival) error {
	h.replacement.observe(a)
	if err := h.exchange.check(h.replacement, a); err != nil {
		var failure *platform.TargetError
		if errors.As(err, &failure) && failure.NotRun() {
			h.notRun++
		}
		h.dropReplacement(ctx, err)
		h.searchAgain(ctx)
		return nil
	}
	h.exchange.endRun(ctx, h.current, errReplaced)
	h.promote()
	return h.onArrival(ctx, a)
}

// promote makes the replacement the current run.
func (h *handover) promote() {
	h.overlap.Stop()
	h.current, h.replacement = h.replacement, nil
	h.awaitNext(firstEventTimeout)
}

// dropReplacement ends the search for another target, or the run there.
func (h *handover) dropReplacement(ctx context.Context, reason error) {
	h.overlap.Stop()
	if h.search != nil {
		h.search.cancel()
		h.search = nil
	}
	if r := h.replacement; r != nil {
		h.replacement = nil
		h.exchange.endRun(ctx, r, reason)
	}
}

func (h *handover) stop() {
	h.silence.Stop()
	h.loss.stop()
	h.dropReplacement(context.Background(), errNotNeeded)
}

// nextArrival returns the channel of a run's arrivals, and nil for no run.
func (r *run) nextArrival() <-chan arrival {
	if r == nil {
		return nil
	}
	return r.arrivals
}

// search requests a slot of another target.
type search struct {
	found  chan searchResult
	cancel context.CancelFunc
}

type searchResult struct {
	slot   *scheduling.Slot
	waited time.Duration
	err    error
}

// results returns the channel with the result of a search, and nil for no search.
func (s *search) results() <-chan searchResult {
	if s == nil {
		return nil
	}
	return s.found
}

// lossWatch checks whether the target of a run can still be reached, until it can't.
type lossWatch struct {
	lost   chan error
	cancel context.CancelFunc
}

// results returns the channel on which a loss is reported, and nil for no watch.
func (w *lossWatch) results() <-chan error {
	if w == nil {
		return nil
	}
	return w.lost
}

func (w *lossWatch) stop() {
	if w != nil {
		w.cancel()
	}
}

// lostError means that neither this VM nor others can connect to the silent target of a run.
type lostError struct {
	target string
	cause  error
}

func (e *lostError) Error() string {
	return fmt.Sprintf("target %q is silent and can't be reached any more: %v", e.target, e.cause)
}

func (e *lostError) Unwrap() error { return e.cause }

// watchLoss begins to check whether the silent target of a run is lost, so that the client need not wait for its deadline to learn
// that the request has failed.
func (e *exchange) watchLoss(ctx context.Context, r *run) *lossWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &lossWatch{lost: make(chan error, 1), cancel: cancel}
	go func() {
		for failed := 0; failed < lossChecks; {
			if !sleep(ctx, lossCheckInterval) {
				return
			}
			err := e.server.config.Targets.CheckConnection(ctx, r.address, 0)
			var path *reach.PathError
			if err == nil || errors.As(err, &path) {
				failed = 0
				continue
			}
			if failed++; failed == lossChecks && ctx.Err() == nil {
				lostRunsTotal.Inc()
				w.lost <- &lostError{target: r.slot.Target, cause: err}
			}
		}
	}()
	return w
}

// startSearch requests a slot after a delay, on another target than that of a silent run.
func (e *exchange) startSearch(ctx context.Context, delay time.Duration, silent *run) *search {
	tried, version := append(slices.Clone(e.tried), silent.slot.Target), e.version
	ctx, cancel := context.WithCancel(ctx)
	s := &search{found: make(chan searchResult), cancel: cancel}
	go func() {
		if !sleep(ctx, delay) {
			return
		}
		began := time.Now()
		request := e.slotRequest(began, true, tried, version)
		request.Resuming = true
		slot, err := e.server.config.Slots.Acquire(ctx, request)
		select {
		case s.found <- searchResult{slot: slot, waited: time.Since(began), err: err}:
		case <-ctx.Done():
			if slot != nil {
				slot.Release(scheduler.Abandoned, 0)
			}
		}
	}()
	return s
}

func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}
