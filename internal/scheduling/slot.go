package scheduling

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/group"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// Slot is the right to run one request on one target.
type Slot struct {
	// Target is the ID of the target, and Address where it accepts requests.
	Target, Address string
	// Version is the version of the target's software.
	Version string
	// Preempted is closed when the slot has to be released.
	Preempted <-chan struct{}

	service   *Service
	sequence  uint64
	request   scheduler.Request
	preempted chan struct{}
	// coordinator is the VM that granted the slot, and granted is when its grant arrived.
	coordinator string
	granted     time.Time
	// targetStarted is the start time of the target that was registered then.
	targetStarted int64
	releaseOnce   sync.Once
}

// TargetLeaves reports whether the target of a slot is draining or gone by now, as far as this VM knows.
func (s *Slot) TargetLeaves() bool { return !s.service.config.Usable(s.Target) }

// RefusedError means that a request got no slot. It has not run.
type RefusedError struct {
	Reason scheduler.Reason
	// RetryAfter is the delay after which the client should retry.
	RetryAfter time.Duration
	// Coordinator is the VM that refused, Ahead the number of requests ahead in its queue, and Slots the number of
	// slots that online requests can use.
	Coordinator  string
	Ahead, Slots int
	// Limited is the number of targets whose rate limits leave slots unused.
	Limited int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no slot granted: %s (coordinator %s, %d requests ahead on %d slots, %d targets at their rate limit); retry after %s", e.Reason, e.Coordinator, e.Ahead, e.Slots, e.Limited, e.RetryAfter)
}

// Acquire waits for a slot. It sets the request's ticket and availability zone. It returns a *RefusedError, or the
// error of ctx.
func (s *Service) Acquire(ctx context.Context, request scheduler.Request) (*Slot, error) {
	for {
		slot, err := s.acquire(ctx, request)
		if err != nil {
			return nil, err
		}
		switch service := s.serviceOf(slot); {
		case service != request.Service || request.Version != "" && slot.Version != request.Version:
			mismatchedGrants.Inc()
			s.config.Log.Error().Str("target", slot.Target).Str("coordinator", slot.coordinator).Str("service", service).Str("version", slot.Version).
				Str("requested_service", request.Service).Str("requested_version", request.Version).
				Msg("granted target is of another service or version; releasing its slot and requesting another")
			slot.giveBack()
		case !s.config.Usable(slot.Target):
			s.config.Log.Info().Str("target", slot.Target).Msg("granted target is draining or gone; releasing its slot and requesting another")
			slot.Release(scheduler.Draining, 0)
		default:
			return slot, nil
		}
		request.Tried = append(slices.Clone(request.Tried), slot.Target)
	}
}

// serviceOf returns the service of a slot's target by this VM's copy of the registry, or else by that of the coordinator.
func (s *Service) serviceOf(slot *Slot) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return group.ServiceOf(s.groupOf(slot))
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
	a := &acquisition{service: s, pending: p, request: request, name: request.Service}
	slot, err := a.await(ctx)
	s.mu.Lock()
	delete(s.pending, sequence)
	p.releaseUnusedGrants(s)
	s.mu.Unlock()
	if err != nil && ctx.Err() != nil {
		s.release(a.request, scheduler.Abandoned, 0)
	}
	return slot, err
}

// releaseUnusedGrants releases the grants of coordinators that the request was sent to before the last one.
func (p *pending) releaseUnusedGrants(s *Service) {
	for {
		select {
		case r := <-p.responses:
			if r.grant != nil {
				s.onGrant(r.from, *r.grant)
			}
		default:
			return
		}
	}
}

// acquisition is a request that is submitted until a coordinator decides on it.
type acquisition struct {
	service *Service
	pending *pending
	// request is sent to the group request.Service of the service with this name.
	request scheduler.Request
	name    string
	// redirects counts the coordinators that have sent the request to another group.
	redirects int
	// coordinator is the VM that the request was last sent to, and unanswered the number of sends without a response.
	coordinator string
	unanswered  int
}

func (a *acquisition) await(ctx context.Context) (*Slot, error) {
	s := a.service
	timer := time.NewTimer(submitInterval)
	defer timer.Stop()
	a.sendTo(s.groupFor(a.name, a.request.Version, a.request.AvailabilityZone))
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case r := <-a.pending.responses:
			next, slot, err := a.handle(r)
			if slot != nil || err != nil {
				return slot, err
			}
			timer.Reset(next)
		case <-timer.C:
			timer.Reset(a.resubmit())
		}
	}
}

// sendTo sends the request to the coordinator of a group.
func (a *acquisition) sendTo(key string) {
	a.request.Service = key
	a.coordinator, a.unanswered = a.service.submit(a.request, a.redirects), 1
}

// handle processes a response. It returns the time until the request is submitted again if there is none.
func (a *acquisition) handle(r response) (next time.Duration, slot *Slot, err error) {
	s := a.service
	if r.from == a.coordinator {
		a.unanswered = 0
	}
	switch {
	case r.from != a.coordinator && (r.unknown || r.refuse != nil && r.refuse.Reason == scheduler.Redirected):
		// The request has been sent elsewhere since.
	case r.unknown:
		a.sendTo(a.request.Service)
		return submitInterval, nil, nil
	case r.refuse != nil && r.refuse.Reason == scheduler.Redirected:
		a.redirects++
		a.sendTo(r.refuse.Group)
		return submitInterval, nil, nil
	case r.refuse != nil && r.refuse.Reason == scheduler.NoRegistry && s.startBackoffUnlessSelf(r.from, "it has not read the registry of targets", true):
		a.sendTo(a.request.Service)
		return submitInterval, nil, nil
	case r.refuse != nil:
		return 0, nil, &RefusedError{
			Reason:      r.refuse.Reason,
			RetryAfter:  r.refuse.RetryAfter,
			Coordinator: r.from,
			Ahead:       r.refuse.Ahead,
			Slots:       r.refuse.Slots,
			Limited:     r.refuse.Limited,
		}
	case r.grant != nil:
		return 0, s.newSlot(a.request, r.from, r.grant), nil
	}
	return renewInterval, nil, nil
}

// resubmit renews the wait, or sends the request again if there was no response. It returns the time until the next call.
func (a *acquisition) resubmit() time.Duration {
	s := a.service
	if s.isRenewedByReports(a.pending, a.request) {
		return renewInterval
	}
	if a.unanswered >= maxUnansweredSends {
		if key := s.leaveCoordinator(a); key != a.request.Service {
			// The coordinator may only be late, and must not grant a slot that is not used.
			s.release(a.request, scheduler.Abandoned, 0)
			a.sendTo(key)
			return submitInterval
		}
		a.unanswered = 0
	}
	unanswered, previous := a.unanswered, a.coordinator
	a.sendTo(a.request.Service)
	if a.coordinator == previous {
		a.unanswered = unanswered + 1
	}
	return submitInterval
}

// groupFor returns the group that a new request is sent to.
func (s *Service) groupFor(service, version, zone string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooseGroup(time.Now(), service, version, zone)
}

// leaveCoordinator starts the backoff of a coordinator that does not respond, and returns the group to try next: another
// one, or the same if its coordinator is replaced or no other coordinator responds either.
func (s *Service) leaveCoordinator(a *acquisition) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if a.coordinator != s.vm {
		s.startBackoff(now, a.coordinator, "it does not respond", len(s.division.Groups(a.name)) <= 1)
	}
	if !s.avoids(now, a.request.Service) {
		return a.request.Service
	}
	key := s.chooseGroup(now, a.name, a.request.Version, a.request.AvailabilityZone)
	if s.avoids(now, key) {
		s.backoffs[s.coordinator(now, a.request.Service).VM].replaced = true
		clear(s.coordinators)
		return a.request.Service
	}
	return key
}

// isRenewedByReports reports whether the reports renew an item's wait at the current coordinator.
func (s *Service) isRenewedByReports(p *pending, request scheduler.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return p.class == scheduler.Item && p.queuedAt == s.coordinator(now, request.Service).VM && !s.avoids(now, request.Service)
}

// startBackoffUnlessSelf starts the backoff of a coordinator. It reports false if the coordinator is this VM.
func (s *Service) startBackoffUnlessSelf(vm, reason string, replace bool) bool {
	if vm == s.vm {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startBackoff(time.Now(), vm, reason, replace)
	return true
}

func (s *Service) newSlot(request scheduler.Request, coordinator string, grant *grantMessage) *Slot {
	if grant.Group != "" {
		request.Service = grant.Group
	}
	preempted := make(chan struct{})
	slot := &Slot{
		Target:    grant.Target,
		Address:   grant.Address,
		Version:   grant.Version,
		Preempted: preempted,
		preempted: preempted,
		service:   s,
		sequence:  grant.Sequence,
		request:   request,

		coordinator: coordinator,
		granted:     time.Now(),
	}
	s.mu.Lock()
	slot.targetStarted = s.starts[slot.Target]
	s.runs[grant.Sequence] = slot
	if grant.RateLimit != nil {
		now := time.Now()
		s.limits.Record(slot.Target, grant.RateLimit.statement(now))
		s.applyRateLimit(now, coordinator, *grant.RateLimit)
	}
	s.logLimited(slot)
	s.mu.Unlock()
	return slot
}

// Release releases the slot. firstEvent is the time from sending the request to its first event, zero if there was
// none. Calls after the first one have no effect.
func (s *Slot) Release(outcome scheduler.Outcome, firstEvent time.Duration) {
	s.releaseOnce.Do(func() {
		s.service.mu.Lock()
		delete(s.service.runs, s.sequence)
		s.request.Service = s.service.groupOf(s)
		s.service.mu.Unlock()
		s.service.release(s.request, outcome, firstEvent)
	})
}

// giveBack releases an unused slot at the coordinator that granted it.
func (s *Slot) giveBack() {
	s.releaseOnce.Do(func() {
		s.service.mu.Lock()
		defer s.service.mu.Unlock()
		delete(s.service.runs, s.sequence)
		s.service.releaseAt(s.coordinator, s.request.Ticket)
	})
}

// ReportSilent reports that the target has sent nothing for too long. The slot is kept.
func (s *Slot) ReportSilent() {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	now := time.Now()
	c := s.service.coordinator(now, s.service.groupOf(s))
	if c.VM == s.service.vm {
		s.service.execute(s.service.scheduler.ReportSilent(now, s.request.Ticket))
		return
	}
	s.service.send(c.address, methodSilent, silentMessage{Ticket: s.request.Ticket})
}

func (s *Service) release(request scheduler.Request, outcome scheduler.Outcome, firstEvent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if outcome == scheduler.Abandoned {
		s.abandoned[request.Service] = now
	}
	c := s.coordinator(now, request.Service)
	if c.VM == s.vm {
		s.execute(s.scheduler.Release(now, request.Ticket, outcome, firstEvent))
		return
	}
	s.send(c.address, methodRelease, releaseMessage{Ticket: request.Ticket, Outcome: outcome, FirstEvent: firstEvent})
}

// submit sends the request to the current coordinator of its group, and returns its name.
func (s *Service) submit(request scheduler.Request, redirects int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if p := s.pending[request.Ticket.Sequence]; p != nil {
		p.group = request.Service
	}
	c := s.coordinator(now, request.Service)
	if c.VM == s.vm {
		s.submitHere(now, request, redirects)
		return c.VM
	}
	message := newSubmitMessage(now, request, redirects)
	message.RateLimits = s.rateLimitsOf(now, request.Service)
	s.send(c.address, methodSubmit, message)
	return c.VM
}

// submitHere submits a request of this VM to its own scheduler.
func (s *Service) submitHere(now time.Time, request scheduler.Request, redirects int) {
	if key, redirected := s.redirect(now, request, redirects); redirected {
		s.onRefuse(s.vm, newRedirectMessage(request.Ticket, key))
		return
	}
	actions := s.scheduler.Submit(now, request)
	if !decides(actions, request.Ticket) {
		s.deliverResponse(request.Ticket.Sequence, response{from: s.vm})
	}
	s.execute(actions)
}

// deliverResponse passes a response to its request, and reports whether the request still waits.
func (s *Service) deliverResponse(sequence uint64, r response) bool {
	p := s.pending[sequence]
	if p == nil {
		return false
	}
	switch {
	case r.grant == nil && r.refuse == nil && !r.unknown:
		p.queuedAt = r.from
	case p.queuedAt == r.from:
		p.queuedAt = ""
	}
	select {
	case p.responses <- r:
	default:
		// A full channel holds responses that have not been read yet; the next submission repeats this one.
	}
	return true
}

func (s *Service) onGrant(from string, m grantMessage) {
	if s.deliverResponse(m.Sequence, response{from: from, grant: &m}) {
		return
	}
	if run := s.runs[m.Sequence]; run != nil && run.Target == m.Target {
		return
	}
	// The request was abandoned or runs elsewhere, so the slot is released. If the release is lost, the next report,
	// which lacks the run, frees the slot.
	if m.Group != "" {
		s.abandoned[m.Group] = time.Now()
	}
	s.releaseAt(from, scheduler.Ticket{VM: s.config.Process, Sequence: m.Sequence})
}

// releaseAt releases a slot at the coordinator that granted it. s.mu must be held.
func (s *Service) releaseAt(coordinator string, ticket scheduler.Ticket) {
	if coordinator == s.vm {
		s.execute(s.scheduler.Release(time.Now(), ticket, scheduler.Abandoned, 0))
		return
	}
	for _, mem := range s.config.Members.Members() {
		if mem.VM != coordinator {
			continue
		}
		if address, ok := peerAddress(mem); ok {
			s.send(address, methodRelease, releaseMessage{Ticket: ticket, Outcome: scheduler.Abandoned})
		}
	}
}

// onUnknown makes items submit their requests again that a coordinator does not know, because it restarted or missed
// the reports for a while.
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
