package batchjobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarydyke/rosemarydyke/intake"
	"github.com/rosemarydyke/rosemarydyke/internal/completion"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const (
	// itemIdleTimeout is how long a target may send no event before the item is resumed on another target. It doubles with
	// each attempt in a row that timed out, up to maxItemIdleTimeout, so that an item that needs longer ends too.
	itemIdleTimeout    = time.Second
	maxItemIdleTimeout = 16 * time.Second
	// maxItemTextBytes bounds the text of an item, which is held in memory until it is complete.
	maxItemTextBytes = intake.MaxTextBytes
	// heldItemInterval is how often a quarantined item is checked again.
	heldItemInterval = 500 * time.Millisecond
	// itemRetryDelay is the delay before an item is retried.
	itemRetryDelay = 50 * time.Millisecond
	// maxItemRetryDelay bounds that delay while one target after another interrupts the item. Crashed targets
	// are back after some seconds.
	maxItemRetryDelay = 5 * time.Second
	// initialEventCount and initialEventInterval are the expected length of an item before any has been
	// observed.
	initialEventCount    = 200
	initialEventInterval = 20 * time.Millisecond
	// observationWeight is the weight of a new observation in the moving averages.
	observationWeight = 0.1
)

// itemState is the state of a running item. Its progress survives the loss of its target.
type itemState struct {
	mu sync.Mutex
	itemProgress
	// index is the item's position in its job, and texts bounds the texts of the job.
	index int
	texts *textRoom

	tried []string
	// connReused is set when the item is sent on a connection that served an earlier request.
	connReused atomic.Bool
	// endsWithConnection means that the end of the last response was that of its connection, and endUnconfirmed that it was
	// taken for the end of the text, until the next run shows what follows.
	endsWithConnection, endUnconfirmed bool
	// healthPath is the path of the health check of the service that runs the item, or empty.
	healthPath string
	// held means that the item waits because targets crash under what it holds.
	held bool
	// consecutiveInterruptions counts the attempts in a row that were interrupted before the target sent an
	// event.
	consecutiveInterruptions int
	// consecutiveTimeouts counts the attempts in a row in which the target sent no event within the idle
	// timeout.
	consecutiveTimeouts int
}

// snapshot returns the current progress. Text that is added later is not part of it.
func (s *itemState) snapshot() itemProgress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.itemProgress
}

// addEvent adds an event to the text. An item whose text is too long starts anew, since no target ends such a text, and so does one
// for whose text there is no room, which leaves that to others.
func (s *itemState) addEvent(id int64, data []byte, version string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.Text)+len(data) > maxItemTextBytes {
		s.dropEvents()
		return &platform.TargetError{Failure: platform.InvalidResponse, Cause: fmt.Errorf("text of the item exceeds %d bytes", maxItemTextBytes)}
	}
	s.Version = version
	if s.Events > 0 {
		s.Text = append(s.Text, '\n')
	}
	s.Text = append(s.Text, data...)
	if !s.texts.cover(s.index, cap(s.Text)) {
		s.dropEvents()
		return errNoTextRoom
	}
	s.Position = id
	s.Events++
	s.endUnconfirmed = false
	return nil
}

// chooseService sets the service of the next attempt: the one that generated the events, otherwise the one that was picked. It
// drops the events, and reports so, if the route has moved to other services.
func (s *itemState) chooseService(route *routing.Route, picked string) (restarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Events > 0 && (s.Service == picked || route.Uses(s.Service)) {
		return false
	}
	// Events that an earlier build saved have no service.
	if restarted = s.Events > 0 && s.Service != ""; restarted {
		s.dropEvents()
	}
	s.Service = picked
	return restarted
}

// restart drops the events of an item whose version can't continue them.
func (s *itemState) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropEvents()
}

// dropEvents makes the item start anew. The caller holds s.mu.
func (s *itemState) dropEvents() {
	s.itemProgress = itemProgress{Position: platform.NoEvent, Failures: s.Failures}
	s.texts.release(s.index)
	s.endUnconfirmed = false
}

func (s *itemState) addFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Failures++
}

// idleTimeout returns how long the target may send no event in the next attempt.
func (s *itemState) idleTimeout() time.Duration {
	return min(itemIdleTimeout<<min(s.consecutiveTimeouts, 10), maxItemIdleTimeout)
}

// retryDelay returns the delay before the next attempt. It grows for an item that may be crashing its targets.
func (s *itemState) retryDelay() time.Duration {
	return min(itemRetryDelay<<min(s.consecutiveInterruptions, 10), maxItemRetryDelay)
}

// errEndUnconfirmed means that the response ended with its connection, so that another run has to show that nothing follows.
var errEndUnconfirmed = errors.New("response ended with its connection; a target is asked for what follows")

// errSlotPreempted means that the coordinator took the slot back.
var errSlotPreempted = errors.New("slot was preempted")

// lengthEstimator predicts how long items occupy a slot, from moving averages of their event counts and
// intervals.
type lengthEstimator struct {
	mu       sync.Mutex
	events   float64
	interval time.Duration
}

func (l *lengthEstimator) observe(events int, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.events += observationWeight * (float64(events) - l.events)
	if events > 0 {
		l.interval += time.Duration(observationWeight * float64(duration/time.Duration(events)-l.interval))
	}
}

func (l *lengthEstimator) init() {
	if l.events == 0 {
		l.events, l.interval = initialEventCount, initialEventInterval
	}
}

// remaining returns the expected remaining slot time of an item that has produced some events.
func (l *lengthEstimator) remaining(events int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	// An item that exceeds the mean is expected to need another tenth of it.
	remaining := max(l.events-float64(events), l.events/10)
	return time.Duration(remaining * float64(l.interval))
}

// runItem runs an item until it has a result or ctx ends, and reports whether it has one.
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
			s.config.Log.Info().EmbedObject(jobName(run.job)).Str("item", run.items[index].ID).Msg("item given up: its route was removed or its retention has passed")
			return itemResult{index: index, givenUp: true}, true
		}
		if route == nil {
			sleep(ctx, itemRetryDelay)
			continue
		}
		result, ended := s.attemptItem(ctx, run, index, head, route, state)
		if ended {
			run.finish(index)
			s.config.Log.Info().EmbedObject(jobName(run.job)).Str("item", run.items[index].ID).Bool("given_up", result.givenUp).
				Int("events", state.Events).Int("failures", state.Failures).Bool("ends_with_connection", state.endsWithConnection).
				Dur("took_ms", time.Since(began)).Msg("item ended")
			itemTime.UpdateDuration(began)
			return result, true
		}
	}
	run.suspend(index, state)
	return itemResult{}, false
}

func (s *Service) expired(head *Head, route *routing.Route) bool {
	return route.Retention > 0 && time.Now().After(s.expiresAt(head, route))
}

// attemptItem runs an item on one target, and reports whether it has a result now.
func (s *Service) attemptItem(ctx context.Context, run *jobRun, index int, head *Head, route *routing.Route, state *itemState) (itemResult, bool) {
	content := itemContent(head, run.items[index])
	if s.holdQuarantined(ctx, run, index, content, state) {
		return itemResult{}, false
	}
	if service, events := state.Service, state.Events; state.chooseService(route, route.Pick(rand.Float64())) {
		s.config.Log.Info().EmbedObject(jobName(run.job)).Str("item", run.items[index].ID).Str("service", service).Int("events", events).
			Msg("the route does not use the service that began the item any more; its events are dropped and it starts anew")
	}
	name, weight, priority := s.itemAccount(run.job, head, route)
	item := run.items[index]
	if table := s.config.Configuration.Current(); table != nil {
		state.healthPath = table.Services[state.Service].HealthPath
	}
	slot, err := s.waitQueue.acquire(ctx, scheduler.Request{
		Class:    scheduler.Item,
		Account:  name,
		Weight:   weight,
		Priority: priority,
		Route:    route.Name,
		// Jobs state only the sum of the prompt and the output, which is what the item may hold in the target's memory.
		OutputTokens: int(item.Tokens),
		Prefix:       quarantine.PrefixFingerprint(platform.PromptModel(item.Header), platform.SharedParts(item.Header)),
		Service:      state.Service,
		Tried:        state.tried,
		Version:      state.Version,
		StartBy:      s.dueAt(head, route),
		Expires:      s.dueAt(head, route),
		Expected:     s.estimator.remaining(state.Events),
	})
	if err != nil {
		// There may be no other target than those that the item must not use.
		state.tried = nil
		if isVersionGone(err) {
			s.config.Log.Info().EmbedObject(jobName(run.job)).Str("item", run.items[index].ID).Str("version", state.Version).Int("events", state.Events).
				Msg("no target has the version that began the item; its events are dropped and it starts anew")
			state.restart()
			return itemResult{}, false
		}
		sleep(ctx, itemRetryDelay)
		return itemResult{}, false
	}
	// Other requests may have crashed targets while the item waited.
	if status, _ := s.config.Quarantine.Check(content); status == quarantine.Quarantined {
		slot.Release(scheduler.Abandoned, 0)
		return itemResult{}, false
	}
	began, eventsBefore := time.Now(), state.Events
	status, firstEvent, err := s.send(ctx, slot, run.items[index], head, name, state, content)
	outcome := outcomeOf(ctx, err)
	// Without an event, a connection that was idle before may be silent instead of its target.
	if outcome == scheduler.TimedOut && (!s.config.Targets.PathWorks(ctx, slot.Address) || firstEvent == 0 && state.connReused.Load()) {
		outcome = scheduler.Abandoned
	}
	slot.Release(outcome, firstEvent)
	if firstEvent == 0 {
		s.attribute(began, slot.Target, content, outcome, err)
	}
	tried := state.tried
	state.tried = nil
	switch {
	// A target that rejects the last event has nothing that follows it. Any other failure says nothing.
	case err == nil && (status/100 == 2 || state.endUnconfirmed && platform.RejectsPosition(status)):
		if n := state.Events - eventsBefore; n > 0 {
			s.estimator.observe(state.Events, time.Since(began)*time.Duration(state.Events)/time.Duration(n))
		}
		return itemResult{index: index, text: state.Text}, true
	case err == nil && status == http.StatusUnprocessableEntity:
		return itemResult{index: index, givenUp: true}, true
	case err == nil:
		// A target that fails all requests at once has the most free slots, and would get the item again.
		state.tried = append(tried, slot.Target)
		state.addFailure()
		itemsFailed.Inc()
		s.config.Log.Warn().EmbedObject(jobName(run.job)).Str("item", run.items[index].ID).Str("target", slot.Target).Int("status", status).Int("failures", state.Failures).Msg("target responded to the item with a failure")
		if state.Failures >= route.MaxAttempts {
			return itemResult{index: index, givenUp: true}, true
		}
	case errors.Is(err, errEndUnconfirmed):
		state.consecutiveInterruptions, state.consecutiveTimeouts = 0, 0
	case errors.Is(err, errSlotPreempted):
		itemsPreempted.Inc()
		s.config.Log.Info().EmbedObject(jobName(run.job)).Str("item", run.items[index].ID).Str("target", slot.Target).Int("events", state.Events-eventsBefore).
			Dur("ran_ms", time.Since(began)).Msg("item preempted: its slot was needed for an online request; it continues in another slot")
	case ctx.Err() == nil:
		state.tried = []string{slot.Target}
		s.config.Log.Info().AnErr("cause", err).EmbedObject(jobName(run.job)).Str("item", run.items[index].ID).Str("target", slot.Target).
			Int64("last_event", state.Position).Msg("item attempt interrupted; resuming on another target")
		state.consecutiveTimeouts++
		if state.Events > eventsBefore || outcome != scheduler.TimedOut {
			state.consecutiveTimeouts = 0
		}
		state.consecutiveInterruptions++
		if state.Events > eventsBefore || outcome != scheduler.Interrupted {
			state.consecutiveInterruptions = 0
		}
		sleep(ctx, state.retryDelay())
	}
	return itemResult{}, false
}

// itemContent returns what an item may share with requests that crash targets.
func itemContent(head *Head, item platform.JobItem) quarantine.Content {
	return quarantine.Content{
		Fingerprint: quarantine.Fingerprint(head.Host, item.Path, item.Body),
		Parts:       quarantine.PartFingerprints(platform.PromptModel(item.Header), platform.SharedParts(item.Header)),
	}
}

// holdQuarantined reports whether an item can't be sent to a target now, and waits for a while then. It is not given up, since
// what it holds may be cleared before its retention has passed.
func (s *Service) holdQuarantined(ctx context.Context, run *jobRun, index int, content quarantine.Content, state *itemState) bool {
	status, _ := s.config.Quarantine.Check(content)
	if status != quarantine.Quarantined {
		state.held = false
		return false
	}
	if !state.held {
		state.held = true
		itemsHeld.Inc()
		s.config.Log.Warn().EmbedObject(jobName(run.job)).Str("item", run.items[index].ID).Uints64("keys", content.Parts).
			Msg("item not sent: targets crash under requests that hold a part of its prompt; it waits until that is cleared or its retention has passed")
	}
	sleep(ctx, heldItemInterval)
	return true
}

// attribute records what an attempt without an event says about what the item holds.
func (s *Service) attribute(sentAt time.Time, target string, content quarantine.Content, outcome scheduler.Outcome, err error) {
	var failure *platform.TargetError
	switch {
	case err == nil:
		s.config.Quarantine.RecordBegun(content)
	case outcome == scheduler.Interrupted && errors.As(err, &failure) && failure.Failure == platform.IncompleteResponse:
		s.config.Quarantine.RecordUnanswered(sentAt, content, target)
		s.config.Log.Info().Str("target", target).Uint64("fingerprint", content.Fingerprint).Uints64("keys", content.Parts).
			Msg("target broke off an item before it began to answer; the crash is held against what the item shares with others")
	}
}

// isVersionGone reports whether an item got no slot because no target has its version any more.
func isVersionGone(err error) bool {
	var refused *scheduling.RefusedError
	return errors.As(err, &refused) && refused.Reason == scheduler.VersionGone
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func outcomeOf(ctx context.Context, err error) scheduler.Outcome {
	var failure *platform.TargetError
	switch {
	case err == nil, errors.Is(err, errEndUnconfirmed):
		return scheduler.Finished
	case errors.Is(err, errSlotPreempted), errors.Is(err, errNoTextRoom), ctx.Err() != nil:
		return scheduler.Abandoned
	case errors.Is(err, context.DeadlineExceeded):
		return scheduler.TimedOut
	case !errors.As(err, &failure):
		return scheduler.Interrupted
	case failure.OfVM():
		return scheduler.Abandoned
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

// send runs an item on the target of a slot, from the event after the last one received. It returns the status
// of a complete response, and the time to the first event.
func (s *Service) send(ctx context.Context, slot *scheduling.Slot, item platform.JobItem, head *Head, account string, state *itemState, content quarantine.Content) (int, time.Duration, error) {
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimeout := state.idleTimeout()
	idleTimer := time.AfterFunc(idleTimeout, func() { cancel(context.DeadlineExceeded) })
	defer idleTimer.Stop()
	go func() {
		select {
		case <-slot.Preempted:
			cancel(errSlotPreempted)
		case <-sendCtx.Done():
		}
	}()
	sentAt := time.Now()
	var firstEvent time.Duration
	status, err := s.receive(sendCtx, slot, item, head, account, state, func() {
		idleTimer.Reset(idleTimeout)
		if firstEvent == 0 {
			firstEvent = time.Since(sentAt)
			s.config.Quarantine.RecordBegun(content)
		}
	})
	if cause := context.Cause(sendCtx); err != nil && cause != nil {
		err = cause
	}
	return status, firstEvent, err
}

func (s *Service) receive(ctx context.Context, slot *scheduling.Slot, item platform.JobItem, head *Head, account string, state *itemState, onEvent func()) (int, error) {
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
		// A job that was submitted with an account has it also where the configuration has none any more.
		HasAccounts: account != "" || s.hasAccounts(),
		Account:     account,
		// Items run again after a failure, which costs their progress on the target only.
		Repeatable: true,
		ConnReused: &state.connReused,
	})
	if err != nil {
		return 0, err
	}
	defer response.Close()
	state.endsWithConnection = response.EndsWithConnection
	if response.Status/100 != 2 {
		_, err := response.ReadAll()
		return response.Status, err
	}
	if !response.IsStream() {
		return 0, &platform.TargetError{Failure: platform.InvalidResponse, Cause: fmt.Errorf("target responded to an item with status %d and no stream", response.Status)}
	}
	eventsBefore := state.Events
	for {
		event, err := response.Next()
		if errors.Is(err, io.EOF) {
			return response.Status, s.confirmEnd(ctx, slot, response, state, state.Events == eventsBefore)
		}
		if err != nil {
			return 0, err
		}
		if state.Position != platform.NoEvent && event.ID != state.Position+1 {
			return 0, &platform.TargetError{Failure: platform.InvalidResponse, Cause: errors.New("event IDs are not consecutive")}
		}
		onEvent()
		if err := state.addEvent(event.ID, event.Data, slot.Version); err != nil {
			return 0, err
		}
	}
}

// confirmEnd fails if nothing but its connection tells the end of an item's text, unless the run before ended there too.
func (s *Service) confirmEnd(ctx context.Context, slot *scheduling.Slot, response *platform.TargetResponse, state *itemState, noEvents bool) error {
	sender := completion.Sender{Address: slot.Address, Instance: slot.Target, HealthPath: state.healthPath}
	if err := completion.Confirm(ctx, s.config.Targets, sender, response); err != nil || !response.EndsWithConnection {
		return err
	}
	if state.endUnconfirmed && noEvents {
		return nil
	}
	state.endUnconfirmed = true
	return errEndUnconfirmed
}
