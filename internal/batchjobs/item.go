package batchjobs

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const (
	// itemSilence is how long a target may send nothing before another one goes on with an item.
	itemSilence = time.Second
	// itemRetryPause is the pause before an item is tried again.
	itemRetryPause = 50 * time.Millisecond
	// maxItemPause bounds that pause when target after target breaks off. Crashed targets are back after some seconds.
	maxItemPause = 5 * time.Second
	// firstEventCount and firstEventInterval are the expected length of an item until some have been observed.
	firstEventCount    = 200
	firstEventInterval = 20 * time.Millisecond
	// lengthWeight is the weight of one observation in the mean length.
	lengthWeight = 0.1
)

// itemState is an item that runs. Its progress survives the loss of its target.
type itemState struct {
	mu sync.Mutex
	itemProgress

	tried []string
	// cuts counts the targets that broke off in a row without an event.
	cuts int
}

// snapshot returns what the item has reached so far. Text that is added later is not part of it.
func (s *itemState) snapshot() itemProgress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.itemProgress
}

func (s *itemState) addEvent(id int64, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Events > 0 {
		s.Text = append(s.Text, '\n')
	}
	s.Text = append(s.Text, data...)
	s.Position = id
	s.Events++
}

func (s *itemState) addFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Failures++
}

// pause is the time before the next try. It grows for an item that may be what breaks its targets.
func (s *itemState) pause() time.Duration {
	return min(itemRetryPause<<min(s.cuts, 10), maxItemPause)
}

// errYield says that a slot was taken back.
var errYield = errors.New("slot was taken back")

// lengthEstimator predicts the slot time of items.
type lengthEstimator struct {
	mu       sync.Mutex
	events   float64
	interval time.Duration
}

func (l *lengthEstimator) observe(events int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.events += lengthWeight * (float64(events) - l.events)
	if events > 0 {
		l.interval += time.Duration(lengthWeight * float64(took/time.Duration(events)-l.interval))
	}
}

func (l *lengthEstimator) init() {
	if l.events == 0 {
		l.events, l.interval = firstEventCount, firstEventInterval
	}
}

// remaining returns the expected slot time of an item that has made some events.
func (l *lengthEstimator) remaining(events int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	// An item that is longer than most is expected to need a tenth of the mean once more.
	left := max(l.events-float64(events), l.events/10)
	return time.Duration(left * float64(l.interval))
}

// runItem runs an item to its end, and reports whether it has one.
func (s *Service) runItem(ctx context.Context, run *jobRun, index int, head *Head) (itemResult, bool) {
	state := run.begin(index)
	if state.Ended {
		run.finish(index)
		return itemResult{index: index, givenUp: state.GivenUp, text: state.Text}, true
	}
	began := time.Now()
	for ctx.Err() == nil {
		route := s.route(head)
		if route == nil && s.config.Configuration.Current() != nil || route != nil && s.expired(head, route) {
			s.config.Log.Info().Str("job", run.job).Str("item", run.items[index].ID).Msg("item is given up: its route is gone or its time is over")
			return itemResult{index: index, givenUp: true}, true
		}
		if route == nil {
			pause(ctx, itemRetryPause)
			continue
		}
		result, ended := s.tryItem(ctx, run, index, head, route, state)
		if ended {
			run.finish(index)
			s.config.Log.Info().Str("job", run.job).Str("item", run.items[index].ID).Bool("given_up", result.givenUp).
				Int("events", state.Events).Int("failures", state.Failures).Dur("took_ms", time.Since(began)).Msg("item ended")
			itemTime.UpdateDuration(began)
			return result, true
		}
	}
	run.stop(index, state)
	return itemResult{}, false
}

func (s *Service) expired(head *Head, route *routing.Route) bool {
	return route.Retention > 0 && time.Now().After(s.givenUpAt(head, route))
}

// tryItem runs an item on one target, and reports whether that was its end.
func (s *Service) tryItem(ctx context.Context, run *jobRun, index int, head *Head, route *routing.Route, state *itemState) (itemResult, bool) {
	slot, err := s.waits.acquire(ctx, scheduler.Request{
		Class:    scheduler.Item,
		Service:  route.Pick(rand.Float64()),
		Tried:    state.tried,
		StartBy:  s.due(head, route),
		Expires:  s.due(head, route),
		Expected: s.lengths.remaining(state.Events),
	})
	if err != nil {
		pause(ctx, itemRetryPause)
		return itemResult{}, false
	}
	began, before := time.Now(), state.Events
	status, firstEvent, err := s.send(ctx, slot, run.items[index], head, state)
	outcome := outcomeOf(ctx, err)
	slot.Release(outcome, firstEvent)
	state.tried = nil
	switch {
	case err == nil && status/100 == 2:
		s.lengths.observe(state.Events, time.Since(began)*time.Duration(state.Events)/time.Duration(max(state.Events-before, 1)))
		return itemResult{index: index, text: state.Text}, true
	case err == nil && status == http.StatusUnprocessableEntity:
		return itemResult{index: index, givenUp: true}, true
	case err == nil:
		state.addFailure()
		itemsFailed.Inc()
		s.config.Log.Warn().Str("job", run.job).Str("item", run.items[index].ID).Str("target", slot.Target).Int("status", status).Int("failures", state.Failures).Msg("item failed at a target")
		if state.Failures >= route.MaxAttempts {
			return itemResult{index: index, givenUp: true}, true
		}
	case errors.Is(err, errYield):
		itemsYielded.Inc()
	case ctx.Err() == nil:
		state.tried = []string{slot.Target}
		s.config.Log.Info().AnErr("cause", err).Str("job", run.job).Str("item", run.items[index].ID).Str("target", slot.Target).
			Int64("last_event", state.Position).Msg("item goes on at another target")
		state.cuts++
		if state.Events > before || outcome != scheduler.Interrupted {
			state.cuts = 0
		}
		pause(ctx, state.pause())
	}
	return itemResult{}, false
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func outcomeOf(ctx context.Context, err error) scheduler.Outcome {
	var failure *platform.TargetError
	switch {
	case err == nil:
		return scheduler.Finished
	case errors.Is(err, errYield), ctx.Err() != nil:
		return scheduler.Abandoned
	case errors.Is(err, context.DeadlineExceeded):
		return scheduler.TimedOut
	case !errors.As(err, &failure):
		return scheduler.Interrupted
	}
	switch failure.Failure {
	case platform.Unreachable:
		return scheduler.Unreachable
	case platform.Refused:
		return scheduler.Refused
	case platform.Replaced:
		return scheduler.Replaced
	default:
		return scheduler.Interrupted
	}
}

// send runs an item on the target of a slot from where it stands. It returns the status of a whole response.
func (s *Service) send(ctx context.Context, slot *scheduling.Slot, item platform.JobItem, head *Head, state *itemState) (int, time.Duration, error) {
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(itemSilence, func() { cancel(context.DeadlineExceeded) })
	defer silence.Stop()
	go func() {
		select {
		case <-slot.Preempted:
			cancel(errYield)
		case <-sending.Done():
		}
	}()
	sent := time.Now()
	var firstEvent time.Duration
	status, err := s.receive(sending, slot, item, head, state, func() {
		silence.Reset(itemSilence)
		if firstEvent == 0 {
			firstEvent = time.Since(sent)
		}
	})
	if cause := context.Cause(sending); err != nil && cause != nil {
		err = cause
	}
	return status, firstEvent, err
}

func (s *Service) receive(ctx context.Context, slot *scheduling.Slot, item platform.JobItem, head *Head, state *itemState, onEvent func()) (int, error) {
	response, err := s.config.Targets.Send(ctx, &platform.TargetRequest{
		Address:   slot.Address,
		Instance:  slot.Target,
		ID:        item.ID,
		Method:    http.MethodPost,
		Host:      head.Host,
		URI:       item.Path,
		Header:    item.Header,
		Body:      item.Body,
		LastEvent: state.Position,
	})
	if err != nil {
		return 0, err
	}
	defer response.Close()
	if response.Status/100 != 2 {
		_, err := response.ReadAll()
		return response.Status, err
	}
	for {
		event, err := response.Next()
		if errors.Is(err, io.EOF) {
			return response.Status, nil
		}
		if err != nil {
			return 0, err
		}
		if state.Position != platform.NoEvent && event.ID != state.Position+1 {
			return 0, &platform.TargetError{Failure: platform.InvalidResponse, Cause: errors.New("events do not follow each other")}
		}
		onEvent()
		state.addEvent(event.ID, event.Data)
	}
}
