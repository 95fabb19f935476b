package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// protocol is the simulated protocol: Machine, or a naive version of it.
type protocol interface {
	Handle(now time.Time, event Event) []Action
	Wake() time.Time
	Members() []Member
	Snapshot() []Member
	Digest() uint64
	Self() Member
}

// makeProtocol makes the protocol instance of a VM that starts.
type makeProtocol func(self Member, rng *rand.Rand, now time.Time) protocol

func makeMachine(self Member, rng *rand.Rand, now time.Time) protocol {
	return New(Config{}, self, rng, now)
}

// simVM is a simulated VM.
type simVM struct {
	protocol
	name, address, zone string
	running             bool
	left                bool
	paused              bool
	// inbox holds the deliveries that arrive during a pause.
	inbox []func()
	// generation counts starts and crashes, so that timers and responses of an earlier process are ignored.
	generation int
	// disturbedAt is when the VM was last started, crashed or resumed, or a partition last began or ended.
	disturbedAt time.Time
	// view is the result of the last compareViews. It is maintained while watched is true.
	view map[string]struct{}
	// timer is when the next tick is due.
	timer    time.Time
	revision uint64

	messages, bytes int
	// cpu is the time spent in Handle.
	cpu time.Duration
}

// sim is a deterministic simulation of many members on one virtual clock.
type sim struct {
	make  makeProtocol
	rng   *rand.Rand
	now   time.Time
	queue eventQueue
	// scheduled counts the functions ever put on the queue. It orders those of the same instant.
	scheduled int
	vms       []*simVM
	// loss is the probability that a datagram is lost.
	loss float64
	// partitionedZone is the availability zone that is partitioned from the others. Empty means none.
	partitionedZone string
	// brokenLink is a pair of VMs that cannot reach each other.
	brokenLink [2]*simVM
	// countBytes enables the encoding of messages, to count their bytes.
	countBytes bool
	// watched enables the calls of onDeath and onSuspicion.
	watched bool
	// onDeath is called when a VM disappears from the view of another.
	onDeath func(observer, subject *simVM)
	// onSuspicion is called for each suspect VM in a view, whenever the view changes.
	onSuspicion func(observer, subject *simVM)
}

// One-way delays and jitter of the simulated network.
const (
	zoneDelay   = 250 * time.Microsecond
	regionDelay = time.Millisecond
	jitter      = time.Millisecond
	// inboxLimit is the number of datagrams that a paused VM's socket buffer holds.
	inboxLimit = 200
)

var simStart = time.UnixMilli(1_700_000_000_000)

var simZones = []string{"az-a", "az-b", "az-c"}

func newSim(make makeProtocol, n int, seed uint64) *sim {
	s := &sim{make: make, rng: rand.New(rand.NewPCG(seed, uint64(n))), now: simStart}
	for i := range n {
		s.vms = append(s.vms, &simVM{
			name:    fmt.Sprintf("vm-%03d", i),
			address: fmt.Sprintf("10.0.%d.%d:8200", i/256, i%256),
			zone:    simZones[i%len(simZones)],
		})
	}
	for _, v := range s.vms {
		s.startVM(v, 0)
	}
	return s
}

// startVM starts a VM's process, whose wall clock is behind by skew.
func (s *sim) startVM(v *simVM, skew time.Duration) {
	self := Member{
		VM: v.name, Incarnation: StartIncarnation(s.now.Add(-skew).UnixMilli()), AvailabilityZone: v.zone, Region: "r1",
		Callers: fmt.Sprintf("%s/%d", v.address, v.generation), EntryPeers: v.address, BatchPeers: v.address, OperatorPeers: v.address,
	}
	v.protocol = s.make(self, rand.New(rand.NewPCG(s.rng.Uint64(), 1)), s.now)
	v.running, v.left, v.paused = true, false, false
	v.inbox = nil
	v.generation++
	v.disturbedAt = s.now
	v.view = map[string]struct{}{}
	v.timer = time.Time{}
	v.revision = 0
	var seeds []string
	for _, other := range s.vms {
		seeds = append(seeds, other.address)
	}
	s.feed(v, SeedsFound{Addresses: seeds})
}

func (s *sim) crash(v *simVM) {
	v.running, v.paused = false, false
	v.generation++
	v.disturbedAt = s.now
}

func (s *sim) leave(v *simVM) {
	s.feed(v, LeaveStarted{})
	s.feed(v, LeaveFinished{})
	s.crash(v)
	v.left = true
}

func (s *sim) pause(v *simVM) { v.paused = true }

func (s *sim) resume(v *simVM) {
	if !v.paused {
		return
	}
	v.paused = false
	v.disturbedAt = s.now
	inbox := v.inbox
	v.inbox = nil
	s.feed(v, Tick{})
	for _, f := range inbox {
		f()
	}
}

func (s *sim) setPartition(zone string) {
	if s.partitionedZone != zone {
		for _, v := range s.vms {
			v.disturbedAt = s.now
		}
	}
	s.partitionedZone = zone
}

// isDisturbed reports whether a VM may legitimately be considered dead.
func (s *sim) isDisturbed(v *simVM, within time.Duration) bool {
	return !v.running || v.paused || s.partitionedZone != "" || s.now.Sub(v.disturbedAt) <= within
}

func (s *sim) reachable(a, b *simVM) bool {
	if s.brokenLink == [2]*simVM{a, b} || s.brokenLink == [2]*simVM{b, a} {
		return false
	}
	return s.partitionedZone == "" || (a.zone == s.partitionedZone) == (b.zone == s.partitionedZone)
}

func (s *sim) delay(a, b *simVM) time.Duration {
	delay := time.Duration(s.rng.Int64N(int64(jitter)))
	if a.zone == b.zone {
		return delay + zoneDelay
	}
	return delay + regionDelay
}

// feed passes an event to a VM and carries out the resulting actions.
func (s *sim) feed(v *simVM, event Event) {
	started := time.Now()
	actions := v.Handle(s.now, event)
	v.cpu += time.Since(started)
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			s.send(v, a)
		case Sync:
			s.sync(v, a.To)
		case Changed:
			if s.watched {
				s.compareViews(v)
			}
		case RevisionLearned:
			v.revision = a.Revision
		}
	}
	s.schedule(v)
}

func (s *sim) schedule(v *simVM) {
	generation, wake := v.generation, v.Wake()
	if v.timer.After(s.now) && !wake.Before(v.timer) {
		return
	}
	v.timer = wake
	s.at(wake, func() {
		switch {
		case v.generation != generation || !v.running || v.paused || s.now != v.timer:
		case v.Wake().After(s.now):
			s.schedule(v)
		default:
			s.feed(v, Tick{})
		}
	})
}

func (s *sim) send(from *simVM, a Send) {
	from.messages++
	if s.countBytes {
		encoded, err := cbor.Marshal(a.Message)
		if err != nil {
			panic(err)
		}
		from.bytes += len(encoded)
	}
	to := s.byAddress(a.To)
	if to == nil || s.rng.Float64() < s.loss {
		return
	}
	s.deliver(from, to, func() {
		s.feed(to, Received{From: from.name, Address: from.address, Message: a.Message})
	})
}

// deliver calls f when a message from one VM reaches another, unless it is lost on the way.
func (s *sim) deliver(from, to *simVM, f func()) {
	s.at(s.now.Add(s.delay(from, to)), func() {
		switch {
		case !to.running || !s.reachable(from, to):
		case to.paused && len(to.inbox) < inboxLimit:
			to.inbox = append(to.inbox, func() {
				if to.running {
					f()
				}
			})
		case !to.paused:
			f()
		}
	})
}

// sync compares and exchanges the states of two VMs like membership.Service.
func (s *sim) sync(from *simVM, address string) {
	to := s.byAddress(address)
	if to == nil {
		return
	}
	digest := from.Digest()
	generation := from.generation
	s.deliver(from, to, func() {
		if to.Digest() == digest {
			return
		}
		theirs, members := to.Digest(), to.Snapshot()
		s.countState(to, members)
		s.deliver(to, from, func() {
			if from.generation != generation {
				return
			}
			s.feed(from, Synced{From: to.name, Members: members})
			if from.Digest() == theirs {
				return
			}
			ours := from.Snapshot()
			s.countState(from, ours)
			s.deliver(from, to, func() { s.feed(to, Synced{From: from.name, Members: ours}) })
		})
	})
}

func (s *sim) countState(v *simVM, members []Member) {
	if !s.countBytes {
		return
	}
	encoded, err := cbor.Marshal(members)
	if err != nil {
		panic(err)
	}
	v.bytes += len(encoded)
}

// watch sets the functions that are called on deaths and suspicions from now on.
func (s *sim) watch(onDeath, onSuspicion func(observer, subject *simVM)) {
	s.watched, s.onDeath, s.onSuspicion = true, onDeath, onSuspicion
	for _, v := range s.vms {
		v.view = viewOf(v)
	}
}

func viewOf(v *simVM) map[string]struct{} {
	view := map[string]struct{}{}
	for _, m := range v.Members() {
		view[m.VM] = struct{}{}
	}
	return view
}

func (s *sim) compareViews(v *simVM) {
	before := v.view
	v.view = viewOf(v)
	for vm := range before {
		if _, ok := v.view[vm]; !ok && s.onDeath != nil {
			s.onDeath(v, s.byName(vm))
		}
	}
	if s.onSuspicion == nil {
		return
	}
	for _, m := range v.Members() {
		if m.State == Suspect {
			s.onSuspicion(v, s.byName(m.VM))
		}
	}
}

func (s *sim) byAddress(address string) *simVM {
	i := slices.IndexFunc(s.vms, func(v *simVM) bool { return v.address == address })
	if i < 0 {
		return nil
	}
	return s.vms[i]
}

func (s *sim) byName(name string) *simVM {
	return s.vms[slices.IndexFunc(s.vms, func(v *simVM) bool { return v.name == name })]
}

// run advances the clock.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(scheduled)
		s.now = e.at
		e.f()
	}
	s.now = end
}

// runUntil advances the clock until done holds, and fails after the bound.
func (s *sim) runUntil(bound time.Duration, done func() error) (time.Duration, error) {
	const step = 500 * time.Millisecond
	started := s.now
	for {
		err := done()
		if err == nil || s.now.Sub(started) >= bound {
			return s.now.Sub(started), err
		}
		s.run(step)
	}
}

// converged checks that every running VM sees exactly the running VMs, alive and in their own incarnations.
func (s *sim) converged() error {
	want := map[string]Member{}
	for _, v := range s.vms {
		if v.running {
			want[v.name] = v.Self()
		}
	}
	for _, v := range s.vms {
		if !v.running {
			continue
		}
		members := v.Members()
		for _, m := range members {
			w, ok := want[m.VM]
			if !ok {
				return fmt.Errorf("%s sees %s as %v, which is not running", v.name, m.VM, m.State)
			}
			if m != w {
				return fmt.Errorf("%s sees %+v, want %+v", v.name, m, w)
			}
		}
		if len(members) != len(want) {
			return fmt.Errorf("%s sees %d members, %d are running", v.name, len(members), len(want))
		}
	}
	return nil
}

// removedEverywhere checks that no running VM has the subject as a member.
func (s *sim) removedEverywhere(subject *simVM) error {
	for _, v := range s.vms {
		if v.running && slices.ContainsFunc(v.Members(), func(m Member) bool { return m.VM == subject.name }) {
			return fmt.Errorf("%s still sees %s", v.name, subject.name)
		}
	}
	return nil
}

// scheduled is a function with the time at which it runs.
type scheduled struct {
	at  time.Time
	seq int
	f   func()
}

// eventQueue is a heap of scheduled functions, first in first out within one instant.
type eventQueue []scheduled

func (s *sim) at(at time.Time, f func()) {
	s.scheduled++
	heap.Push(&s.queue, scheduled{at, s.scheduled, f})
}

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduled)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// randSource is the random source of a VM.
type randSource = rand.Rand

func newRandom(seed uint64) *randSource { return rand.New(rand.NewPCG(seed, 1)) }
