package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Machine is the membership state machine of one VM. It has no clock, goroutine or socket: it takes
// events and returns actions. It is not safe for concurrent use.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with round-robin probes, suspicion,
// incarnations and piggybacked updates, and the three extensions of Lifeguard (Dadgar, Phillips,
// Currey 2017): a local health score, suspicion timeouts that shorten with confirmations, and telling
// the suspect first (buddy system).
type Machine struct {
	cfg  Config
	rng  *rand.Rand
	self Member
	// left is true once this VM has announced its own death.
	left bool

	members map[string]*entry
	// live is the number of members that are not dead, excluding this VM.
	live  int
	queue queue
	probe probe
	// order is the round-robin order of probes; next is the position in it.
	order []string
	next  int
	// sequence numbers probes. It starts at the VM's incarnation, so that an ack to a former process matches no probe.
	sequence uint64
	relays   map[uint64]relay
	seeds    []string
	// score is the local health score: 0 is healthy.
	score    int
	revision uint64
	// revisionUnsent is true until the revision has been gossiped.
	revisionUnsent bool

	// wake is when the next tick is due, as of the last event.
	wake       time.Time
	nextGossip time.Time
	nextSync   time.Time
	nextRejoin time.Time
	// joinUntil is the end of the period after the start in which JoinPeriod applies.
	joinUntil time.Time
	// nextUnknownSync is the earliest time at which a message from an unknown or dead sender may trigger a state sync.
	nextUnknownSync time.Time
	// resumedAt is when a pause of this VM was last detected.
	resumedAt time.Time
	// suppressDissemination is true while merging updates that need not be disseminated further.
	suppressDissemination bool
	actions               []Action
}

// entry is this VM's record of another member.
type entry struct {
	Member
	suspicion *suspicion
	// diedAt is when the member was marked dead.
	diedAt time.Time
	// hasLeft is true when the member was leaving before it was marked dead, or announced its death itself.
	hasLeft bool
	// reportedDead is an incarnation that others report as dead while this VM does not consider the member dead.
	reportedDead uint64
}

// New returns the state machine of a VM that starts at now. Self's incarnation comes from StartIncarnation.
func New(cfg Config, self Member, rng *rand.Rand, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	self.State = Alive
	m := &Machine{
		cfg:      cfg,
		rng:      rng,
		self:     self,
		sequence: self.Incarnation,
		members:  map[string]*entry{},
		queue:    queue{items: map[string]*queued{}},
		relays:   map[uint64]relay{},
	}
	// A random offset of the first probe keeps VMs that start together from probing in lockstep.
	m.probe.end = now.Add(time.Duration(rng.Int64N(int64(cfg.Period))))
	m.nextGossip = now
	m.nextSync = now.Add(cfg.SyncPeriod/2 + time.Duration(rng.Int64N(int64(cfg.SyncPeriod))))
	m.nextRejoin = now
	m.joinUntil = now.Add(cfg.JoinTime)
	m.wake = m.nextWake()
	return m
}

// Handle processes one event and returns the actions to carry out.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	m.actions = nil
	m.detectPause(now)
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

// Self returns this VM as a member.
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

// Snapshot returns all members, including retained dead ones, ordered by VM name.
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

// size returns the number of members that are not dead, this VM included.
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
		return m.wake.Add(m.cfg.DeadRetention)
	}
	wake := m.probe.nextDeadline()
	earliest := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	earliest(m.nextSync)
	earliest(m.nextRejoin)
	if m.hasUnsent() {
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

// detectPause detects that this VM was paused since its last event. Its timers then expired late
// because of the pause and not because of other members, so they are restarted.
func (m *Machine) detectPause(now time.Time) {
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
	m.resumedAt = now
	m.nextSync = now
}

// degrade worsens the local health score.
func (m *Machine) degrade(by int) { m.score = min(m.score+by, m.cfg.MaxHealthScore) }

// recover improves the local health score by one.
func (m *Machine) recover() { m.score = max(m.score-1, 0) }

// scaled lengthens a timeout of this VM's failure detector by its local health score.
func (m *Machine) scaled(d time.Duration) time.Duration { return d * time.Duration(m.score+1) }
