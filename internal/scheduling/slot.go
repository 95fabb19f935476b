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
	// Target is the ID of the target, and Address where it takes requests.
	Target, Address string
	// Preempted is closed when the slot has to be given back.
	Preempted <-chan struct{}

	service  *Service
	sequence uint64
	request  scheduler.Request
	yielded  chan struct{}
	once     sync.Once
}

// RefusedError says that a request got no slot. It has not run.
type RefusedError struct {
	Reason scheduler.Reason
	// RetryAfter is when the client should come back.
	RetryAfter time.Duration
	// Coordinator is the VM that refused, Ahead the number of requests before this one, and Slots what online
	// requests could have.
	Coordinator  string
	Ahead, Slots int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no slot: %s by %s, %d requests ahead on %d slots, retry after %s", e.Reason, e.Coordinator, e.Ahead, e.Slots, e.RetryAfter)
}

// Acquire waits for a slot. The request's ticket and availability zone are set here. It fails with
// *RefusedError, or with the error of ctx.
func (s *Service) Acquire(ctx context.Context, request scheduler.Request) (*Slot, error) {
	for {
		slot, err := s.acquire(ctx, request)
		if err != nil || s.config.Usable(slot.Target) {
			return slot, err
		}
		s.config.Log.Info().Str("target", slot.Target).Msg("slot of a leaving target is given back")
		slot.Release(scheduler.Draining, 0)
		request.Tried = append(slices.Clone(request.Tried), slot.Target)
	}
}

func (s *Service) acquire(ctx context.Context, request scheduler.Request) (*Slot, error) {
	p := &pending{answers: make(chan answer, 4), class: request.Class}
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

// await submits the request until a coordinator decides.
func (s *Service) await(ctx context.Context, p *pending, request scheduler.Request) (*Slot, error) {
	timer := time.NewTimer(submitInterval)
	defer timer.Stop()
	asked, unanswered := s.submit(request), 1
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case a := <-p.answers:
			if a.from == asked {
				unanswered = 0
			}
			if a.unknown {
				if a.from == asked {
					asked, unanswered = s.submit(request), 1
					timer.Reset(submitInterval)
				}
				continue
			}
			if a.refuse != nil && a.refuse.Reason == scheduler.NoRegistry && s.passOverOther(a.from, "it has not read the registry of targets") {
				asked, unanswered = s.submit(request), 1
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
				return s.slot(request, a.grant), nil
			}
			timer.Reset(renewInterval)
		case <-timer.C:
			if s.isReported(p, request) {
				timer.Reset(renewInterval)
				continue
			}
			if unanswered >= silentSends {
				s.passOverOther(asked, "it does not answer")
				unanswered = 0
			}
			previous := asked
			if asked = s.submit(request); asked != previous {
				unanswered = 0
			}
			unanswered++
			timer.Reset(submitInterval)
		}
	}
}

// isReported reports whether the reports renew an item's wait at the present coordinator.
func (s *Service) isReported(p *pending, request scheduler.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.class == scheduler.Item && p.queuedAt == s.coordinator(time.Now(), request.Service).VM
}

// passOverOther makes the next VM in rank the coordinator for a while. It reports false if the present one is this VM.
func (s *Service) passOverOther(vm, reason string) bool {
	if vm == s.config.Members.Self().VM {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passOver(time.Now(), vm, reason)
	return true
}

func (s *Service) slot(request scheduler.Request, grant *grantMessage) *Slot {
	yielded := make(chan struct{})
	slot := &Slot{
		Target:    grant.Target,
		Address:   grant.Address,
		Preempted: yielded,
		yielded:   yielded,
		service:   s,
		sequence:  grant.Sequence,
		request:   request,
	}
	s.mu.Lock()
	s.runs[grant.Sequence] = slot
	s.mu.Unlock()
	return slot
}

// Release gives the slot back. FirstEvent is the time from the send to the first event, zero when none came.
// Only the first call counts.
func (s *Slot) Release(outcome scheduler.Outcome, firstEvent time.Duration) {
	s.once.Do(func() {
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
		s.carryOut(s.scheduler.Release(now, request.Ticket, outcome, firstEvent))
		return
	}
	s.send(c.address, methodRelease, releaseMessage{Ticket: request.Ticket, Outcome: outcome, FirstEvent: firstEvent})
}

// submit asks the present coordinator, and returns its name.
func (s *Service) submit(request scheduler.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := s.coordinator(now, request.Service)
	if c.VM == s.config.Members.Self().VM {
		actions := s.scheduler.Submit(now, request)
		if !concerns(actions, request.Ticket) {
			s.answer(request.Ticket.Sequence, answer{from: c.VM})
		}
		s.carryOut(actions)
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
		Returned:         request.Returned,
		ReturnWithin:     request.ReturnWithin,
	})
	return c.VM
}

// answer passes an answer on, and reports whether its request still waits.
func (s *Service) answer(sequence uint64, a answer) bool {
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
	case p.answers <- a:
	default:
		// A full channel holds answers that are not read yet; this one is repeated by the next submit.
	}
	return true
}

func (s *Service) granted(from string, m grantMessage) {
	if s.answer(m.Sequence, answer{from: from, grant: &m}) || s.runs[m.Sequence] != nil {
		return
	}
	// The request was given up: its slot goes back. The report in which it is missing frees it if this is lost.
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

// unknown submits items again that a coordinator has lost: it started again, or did not get the reports for a while.
func (s *Service) unknown(from string, sequences []uint64) {
	for _, sequence := range sequences {
		s.answer(sequence, answer{from: from, unknown: true})
	}
}

func (s *Service) refused(from string, m refuseMessage) {
	s.answer(m.Sequence, answer{from: from, refuse: &m})
}

func (s *Service) yield(sequence uint64) {
	slot := s.runs[sequence]
	if slot == nil {
		return
	}
	select {
	case <-slot.yielded:
	default:
		close(slot.yielded)
	}
}
