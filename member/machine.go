package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Machine is the membership protocol of one VM. It has no clock, goroutine or socket: it is fed
// events and returns actions. It is not safe for concurrent use.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with round-robin probes, suspicion,
// incarnations and piggybacked updates, and the three extensions of Lifeguard (Dadgar, Phillips,
// Currey 2017): a local health score, suspicion times that fall with confirmations, and telling a suspect first.
type Machine struct {
	cfg  Config
	rng  *rand.Rand
	self Member
	// left is true once this VM has announced its own death.
	left bool

	members map[string]*entry
	// live is the number of members that are not dead, without this VM.
	live  int
	queue queue
	probe probe
	// order is the round-robin order of probes; next is the position in it.
	order []string
	next  int
	// sequence numbers probes.
	sequence uint64
	relays   map[uint64]relay
	seeds    []string
	// score is the local health score: 0 is healthy.
	score    int
	revision uint64
	// revisionIsNews is true until the revision has been gossiped.
	revisionIsNews bool

	// wake is when the last returned actions asked for a tick.
	wake       time.Time
	nextGossip time.Time
	nextSync   time.Time
	nextRejoin time.Time
	// joinUntil is the end of the time after the start in which others are looked for more often.
	joinUntil time.Time
	// nextMeet is when the next unknown or dead sender may cause a comparison of states.
	nextMeet time.Time
	// resumed is when this VM was last found to have been paused.
	resumed time.Time
	// quiet is true while claims are merged that need not be spread further.
	quiet   bool
	actions []Action
}

// entry is what this VM knows of another.
type entry struct {
	Member
	suspicion *suspicion
	// diedAt is when the member became dead.
	diedAt time.Time
	// hasLeft is true when the member was leaving before it became dead.
	hasLeft bool
	// accused is an incarnation in which others hold the member for dead, while this VM does not.
	accused uint64
}

// New returns the machine of a VM that starts at now. Self's incarnation comes from StartIncarnation.
func New(cfg Config, self Member, rng *rand.Rand, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	self.State = Alive
	m := &Machine{
		cfg:     cfg,
		rng:     rng,
		self:    self,
		members: map[string]*entry{},
		queue:   queue{items: map[string]*queued{}},
		relays:  map[uint64]relay{},
	}
	// Spreading first probes over a period keeps VMs that start together out of step.
	m.probe.end = now.Add(time.Duration(rng.Int64N(int64(cfg.Period))))
	m.nextGossip = now
	m.nextSync = now.Add(cfg.SyncPeriod/2 + time.Duration(rng.Int64N(int64(cfg.SyncPeriod))))
	m.nextRejoin = now
	m.joinUntil = now.Add(cfg.JoinTime)
	m.wake = m.nextWake()
	return m
}

// Handle takes one event and returns what to do.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	m.actions = nil
	m.notePause(now)
	switch e := event.(type) {
	case Tick:
	case Received:
		m.received(now, e)
	case Synced:
		m.synced(now, e)
	case SeedsFound:
		m.seedsFound(now, e.Addresses)
	case RevisionKnown:
		m.learnRevision(e.Revision)
	case LeaveStarted:
		m.startLeave()
	case LeaveFinished:
		m.finishLeave()
	}
	if !m.left {
		m.runTimers(now)
	}
	m.wake = m.nextWake()
	return m.actions
}

// Wake returns when the machine needs its next Tick.
func (m *Machine) Wake() time.Time { return m.wake }

// Self returns this VM's own entry.
func (m *Machine) Self() Member { return m.self }

// Members returns the members that are not dead, this VM included, ordered by VM name.
func (m *Machine) Members() []Member {
	members := make([]Member, 0, m.live+1)
	members = append(members, m.self)
	for _, e := range m.members {
		if e.State != Dead {
			members = append(members, e.Member)
		}
	}
	slices.SortFunc(members, byVM)
	return members
}

// Snapshot returns all members including the dead that are remembered, ordered by VM name.
func (m *Machine) Snapshot() []Member {
	members := make([]Member, 0, len(m.members)+1)
	members = append(members, m.self)
	for _, e := range m.members {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, byVM)
	return members
}

func byVM(a, b Member) int { return strings.Compare(a.VM, b.VM) }

// Score returns the local health score. Zero is healthy.
func (m *Machine) Score() int { return m.score }

// size is the number of members that are not dead, this VM included.
func (m *Machine) size() int { return m.live + 1 }

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) runTimers(now time.Time) {
	m.expireSuspicions(now)
	m.expireRelays(now)
	m.runProbe(now)
	m.runGossip(now)
	m.runSync(now)
	m.runRejoin(now)
}

func (m *Machine) nextWake() time.Time {
	if m.left {
		return m.wake.Add(m.cfg.RememberDead)
	}
	wake := m.probe.nextDeadline()
	earliest := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	earliest(m.nextSync)
	earliest(m.nextRejoin)
	if m.hasNews() {
		earliest(m.nextGossip)
	}
	for _, r := range m.relays {
		earliest(r.deadline)
	}
	for _, e := range m.members {
		if e.suspicion != nil {
			earliest(e.suspicion.deadline)
		}
	}
	return wake
}

// notePause detects that this VM was paused since its last event: its timers are then late for a
// reason that says nothing of other members, so they start again.
func (m *Machine) notePause(now time.Time) {
	if now.Sub(m.wake) < m.cfg.Period/2 {
		return
	}
	m.degrade(m.cfg.MaxHealthScore)
	for _, e := range m.members {
		if e.suspicion != nil {
			e.suspicion.restart(now)
		}
	}
	clear(m.relays)
	m.probe.abandon(now)
	m.resumed = now
	m.nextSync = now
}

// degrade worsens the local health score.
func (m *Machine) degrade(by int) { m.score = min(m.score+by, m.cfg.MaxHealthScore) }

// recover improves the local health score by one.
func (m *Machine) recover() { m.score = max(m.score-1, 0) }

// scaled lengthens a time of this VM's own failure detector by its local health.
func (m *Machine) scaled(d time.Duration) time.Duration { return d * time.Duration(m.score+1) }
