package scheduling

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// Slot is the right to run one request on one target.
type Slot struct {
	// Target is the ID of the target, and Address where it accepts requests.
	Target, Address string
	// Preempted is closed when the slot has to be released.
	Preempted <-chan struct{}

	service     *Service
	sequence    uint64
	request     scheduler.Request
	preempted   chan struct{}
	releaseOnce sync.Once
}

// RefusedError means that a request got no slot. It has not run.
type RefusedError struct {
	Reason scheduler.Reason
	// RetryAfter is the delay after which the client should retry.
	RetryAfter time.Duration
	// Coordinator is the VM that refused, Ahead the number of requests ahead in its queue, and Slots the number of
	// slots that online requests can use.
	Coordinator  string
	Ahead, Slots int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no slot granted: %s (coordinator %s, %d requests ahead on %d slots); retry after %s", e.Reason, e.Coordinator, e.Ahead, e.Slots, e.RetryAfter)
}

// Acquire waits for a slot. It sets the request's ticket and availability zone. It returns a *RefusedError, or the
// error of ctx.
func (s *Service) Acquire(ctx context.Context, request scheduler.Request) (*Slot, error) {
	for {
		slot, err := s.acquire(ctx, request)
		if err != nil || s.config.Usable(slot.Target) {
			return slot, err
		}
		s.config.Log.Info().Str("target", slot.Target).Msg("granted target is draining or gone; releasing its slot and requesting another")
		slot.Release(scheduler.Draining, 0)
		request.Tried = append(slices.Clone(request.Tried), slot.Target)
	}
}

func (s *Service) acquire(ctx context.Context, request scheduler.Request) (*Slot, error) {
	p := &pending{responses: make(chan response, 4), class: request.Class}
	s.mu.Lock()
	s.next++
	sequence := s.next
	s.pending[sequence] = p
	s.mu.Unlock()
	request.Ticket = scheduler.Ticket{VM: s.config.Process, Sequence: sequence}
	request.AvailabilityZone = s.config.AvailabilityZone
	slot, err := s.await(ctx, p, request)
	s.mu.Lock()
	delete(s.pending, sequence)
	s.mu.Unlock()
	if err != nil && ctx.Err() != nil {
		s.release(request, scheduler.Abandoned, 0)
	}
	return slot, err
}

// await submits the request until a coordinator decides on it.
func (s *Service) await(ctx context.Context, p *pending, request scheduler.Request) (*Slot, error) {
	timer := time.NewTimer(submitInterval)
	defer timer.Stop()
	coordinator, unanswered := s.submit(request), 1
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case a := <-p.responses:
			if a.from == coordinator {
				unanswered = 0
			}
			if a.unknown {
				if a.from == coordinator {
					coordinator, unanswered = s.submit(request), 1
					timer.Reset(submitInterval)
				}
				continue
			}
			if a.refuse != nil && a.refuse.Reason == scheduler.NoRegistry && s.startBackoffUnlessSelf(a.from, "it has not read the registry of targets") {
				coordinator, unanswered = s.submit(request), 1
				timer.Reset(submitInterval)
				continue
			}
			if a.refuse != nil {
				return nil, &RefusedError{
					Reason:      a.refuse.Reason,
					RetryAfter:  a.refuse.RetryAfter,
					Coordinator: a.from,
					Ahead:       a.refuse.Ahead,
					Slots:       a.refuse.Slots,
				}
			}
			if a.grant != nil {
				return s.newSlot(request, a.grant), nil
			}
			timer.Reset(renewInterval)
		case <-timer.C:
			if s.isRenewedByReports(p, request) {
				timer.Reset(renewInterval)
				continue
			}
			if unanswered >= maxUnansweredSends {
				s.startBackoffUnlessSelf(coordinator, "it does not respond")
				unanswered = 0
			}
			previous := coordinator
			if coordinator = s.submit(request); coordinator != previous {
				unanswered = 0
			}
			unanswered++
			timer.Reset(submitInterval)
		}
	}
}

// isRenewedByReports reports whether the reports renew an item's wait at the current coordinator.
func (s *Service) isRenewedByReports(p *pending, request scheduler.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.class == scheduler.Item && p.queuedAt == s.coordinator(time.Now(), request.Service).VM
}

// startBackoffUnlessSelf starts the backoff of a coordinator. It reports false if the coordinator is this VM.
func (s *Service) startBackoffUnlessSelf(vm, reason string) bool {
	if vm == s.config.Members.Self().VM {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startBackoff(time.Now(), vm, reason)
	return true
}

func (s *Service) newSlot(request scheduler.Request, grant *grantMessage) *Slot {
	preempted := make(chan struct{})
	slot := &Slot{
		Target:    grant.Target,
		Address:   grant.Address,
		Preempted: preempted,
		preempted: preempted,
		service:   s,
		sequence:  grant.Sequence,
		request:   request,
	}
	s.mu.Lock()
	s.runs[grant.Sequence] = slot
	s.mu.Unlock()
	return slot
}

// Release releases the slot. firstEvent is the time from sending the request to its first event, zero if there was
// none. Calls after the first one have no effect.
func (s *Slot) Release(outcome scheduler.Outcome, firstEvent time.Duration) {
	s.releaseOnce.Do(func() {
		s.service.mu.Lock()
		delete(s.service.runs, s.sequence)
		s.service.mu.Unlock()
		s.service.release(s.request, outcome, firstEvent)
	})
}

func (s *Service) release(request scheduler.Request, outcome scheduler.Outcome, firstEvent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := s.coordinator(now, request.Service)
	if c.VM == s.config.Members.Self().VM {
		s.execute(s.scheduler.Release(now, request.Ticket, outcome, firstEvent))
		return
	}
	s.send(c.address, methodRelease, releaseMessage{Ticket: request.Ticket, Outcome: outcome, FirstEvent: firstEvent})
}

// submit sends the request to the current coordinator, and returns its name.
func (s *Service) submit(request scheduler.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := s.coordinator(now, request.Service)
	if c.VM == s.config.Members.Self().VM {
		actions := s.scheduler.Submit(now, request)
		if !decides(actions, request.Ticket) {
			s.deliverResponse(request.Ticket.Sequence, response{from: c.VM})
		}
		s.execute(actions)
		return c.VM
	}
	s.send(c.address, methodSubmit, submitMessage{
		Ticket:           request.Ticket,
		Class:            request.Class,
		Service:          request.Service,
		AvailabilityZone: request.AvailabilityZone,
		Tried:            request.Tried,
		StartIn:          request.StartBy.Sub(now),
		ExpiresIn:        request.Expires.Sub(now),
		Expected:         request.Expected,
		Retry:            request.Retry,
		RetryWithin:      request.RetryWithin,
	})
	return c.VM
}

// deliverResponse passes a response to its request, and reports whether the request still waits.
func (s *Service) deliverResponse(sequence uint64, a response) bool {
	p := s.pending[sequence]
	if p == nil {
		return false
	}
	switch {
	case a.grant == nil && a.refuse == nil && !a.unknown:
		p.queuedAt = a.from
	case p.queuedAt == a.from:
		p.queuedAt = ""
	}
	select {
	case p.responses <- a:
	default:
		// A full channel holds responses that have not been read yet; the next submission repeats this one.
	}
	return true
}

func (s *Service) onGrant(from string, m grantMessage) {
	if s.deliverResponse(m.Sequence, response{from: from, grant: &m}) || s.runs[m.Sequence] != nil {
		return
	}
	// The request was abandoned, so its slot is released. If the release is lost, the next report, which lacks the
	// run, frees the slot.
	ticket := scheduler.Ticket{VM: s.config.Process, Sequence: m.Sequence}
	for _, mem := range s.config.Members.Members() {
		if mem.VM != from || mem.VM == s.config.Members.Self().VM {
			continue
		}
		if address, ok := peerAddress(mem); ok {
			s.send(address, methodRelease, releaseMessage{Ticket: ticket, Outcome: scheduler.Abandoned})
		}
	}
}

// onUnknown submits items again that a coordinator does not know, because it restarted or missed the reports for a
// while.
func (s *Service) onUnknown(from string, sequences []uint64) {
	for _, sequence := range sequences {
		s.deliverResponse(sequence, response{from: from, unknown: true})
	}
}

func (s *Service) onRefuse(from string, m refuseMessage) {
	s.deliverResponse(m.Sequence, response{from: from, refuse: &m})
}

func (s *Service) onPreempt(sequence uint64) {
	slot := s.runs[sequence]
	if slot == nil {
		return
	}
	select {
	case <-slot.preempted:
	default:
		close(slot.preempted)
	}
}
