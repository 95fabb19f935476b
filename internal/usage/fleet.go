package usage

import (
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/usage"
)

const (
	// maxUnanswered is the number of successive questions without an answer after which a VM is not asked any more: one
	// may be lost.
	maxUnanswered = 2
	// firstProbe is the time until a VM that does not answer is probed; it doubles up to maxProbe. Until it answers, other
	// VMs are asked in its place.
	firstProbe = 500 * time.Millisecond
	maxProbe   = 8 * time.Second
	// maxFirstAnswerProbe is maxProbe for VMs that never answered: they are of an older build, and are probed at once when
	// they start again.
	maxFirstAnswerProbe = time.Minute
	// probesPerTick bounds the probes: 2 each 50 ms are 40 messages per second, and only while some are due.
	probesPerTick = 2
	// departureTime is how long a VM that disappeared is counted among the known ones: partitions last minutes.
	departureTime = 10 * time.Minute
	// maxDepartures bounds the departures in memory: several times the planned number of VMs.
	maxDepartures = 2048
	// settleTime is how long after its start a VM relies on the number of VMs in its settings. VMs that start together
	// know each other after a second.
	settleTime = 3 * time.Second
	// reachQuestions are kept to estimate the reach, one each reachInterval. A VM is cut off when cutOffQuestions of them had
	// no answer within reachTimeout: after about a second. More frequent questions cost more processor time than all other
	// messages of a VM, and a VM that is cut off counts only what its own clients send. If 16 in 100 VMs do not answer, it
	// happens by chance once in 2,000 questions.
	reachInterval   = 200 * time.Millisecond
	reachQuestions  = 6
	cutOffQuestions = 5
	reachTimeout    = 50 * time.Millisecond
	reachMaxAge     = 2 * time.Second
)

// fleet is what the service knows of the other VMs.
type fleet struct {
	self      member.Member
	members   []member.Member
	addresses map[string]netip.AddrPort
	peers     map[string]*peerState
	// departures are the last times at which VMs ceased to be alive or to answer.
	departures map[string]departure
	reach      reach
	// The counts are derived from the fields above by recount.
	countReached, countCounting, countKnown int
}

type departure struct {
	usage.Departure
	// gone means that the VM disappeared without leaving.
	gone bool
}

// peerState is how another VM answers.
type peerState struct {
	// counts means that the VM has answered, so its build knows the messages.
	counts     bool
	unanswered int
	silent     bool
	// probing means that a probe was sent and not answered.
	probing   bool
	nextProbe time.Time
	interval  time.Duration
}

func newFleet() fleet {
	return fleet{addresses: map[string]netip.AddrPort{}, peers: map[string]*peerState{}, departures: map[string]departure{}}
}

// update replaces the members.
func (f *fleet) update(now time.Time, self member.Member, members []member.Member) {
	before := f.members
	f.self, f.members = self, []member.Member{self}
	present := map[string]member.Member{}
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.EntryPeers)
		if m.VM == self.VM || err != nil {
			continue
		}
		present[m.VM] = m
		f.members = append(f.members, m)
		f.addresses[m.VM] = address
		if f.peers[m.VM] == nil {
			f.peers[m.VM] = &peerState{nextProbe: now, interval: firstProbe}
		}
	}
	for _, m := range before {
		if m.VM == self.VM {
			continue
		}
		after, still := present[m.VM]
		if m.State == member.Alive && after.State != member.Alive {
			f.depart(now, m)
		}
		if d, departed := f.departures[m.VM]; departed && !still {
			d.gone = m.State != member.Leaving
			f.departures[m.VM] = d
		}
		if !still {
			delete(f.peers, m.VM)
			delete(f.addresses, m.VM)
		} else if after.Incarnation != m.Incarnation || after.State == member.Alive && m.State != member.Alive {
			// The VM may have started again, with another build, or a partition has ended.
			f.peers[m.VM].nextProbe = now
		}
	}
	for vm, d := range f.departures {
		if _, ok := present[vm]; ok && d.gone {
			d.gone = false
			f.departures[vm] = d
		}
	}
	f.recount()
}

func (f *fleet) depart(now time.Time, m member.Member) {
	if len(f.departures) >= maxDepartures {
		for vm := range f.departures {
			delete(f.departures, vm)
			break
		}
	}
	f.departures[m.VM] = departure{Departure: usage.Departure{Member: m, At: now}}
}

// expire forgets old departures, and reports whether there were any.
func (f *fleet) expire(now time.Time) bool {
	expired := false
	for vm, d := range f.departures {
		if now.Sub(d.At) > departureTime {
			delete(f.departures, vm)
			expired = true
		}
	}
	if expired {
		f.recount()
	}
	return expired
}

func (f *fleet) departed() []usage.Departure {
	list := make([]usage.Departure, 0, len(f.departures))
	for _, d := range f.departures {
		list = append(list, d.Departure)
	}
	return list
}

func (f *fleet) isSilent(vm string) (silent, counts bool) {
	p := f.peers[vm]
	return p != nil && p.silent, p != nil && p.counts
}

// recount counts the VMs: those that this VM reaches, those that may count, and those that it knows.
func (f *fleet) recount() {
	reached, counting, known := 0, 0, 0
	for _, m := range f.members {
		silent, counts := f.isSilent(m.VM)
		self := m.VM == f.self.VM
		// A live VM that never answered is of a build that does not count.
		older := silent && !counts && m.State == member.Alive
		if !older {
			known++
		}
		if !silent && (m.State == member.Alive || self) {
			reached++
		}
		if self || counts || m.State != member.Alive {
			counting++
		}
	}
	for _, d := range f.departures {
		if d.gone {
			known++
			counting++
		}
	}
	f.countReached, f.countCounting, f.countKnown = reached, counting, known
}

func (f *fleet) reached() int { return max(f.countReached, 1) }

// counting returns the number of VMs that may count at the same time if none reaches another.
func (f *fleet) counting(age time.Duration, expected int) int {
	return f.countCounting + f.missing(age, expected)
}

// known returns the number of VMs of the fleet as far as this VM knows.
func (f *fleet) known(age time.Duration, expected int) int {
	return f.countKnown + f.missing(age, expected)
}

// missing is the number of VMs that the settings name and that are not members yet, soon after the start.
func (f *fleet) missing(age time.Duration, expected int) int {
	if age >= settleTime {
		return 0
	}
	return max(expected-len(f.members), 0)
}

func (s *Service) recordUnanswered(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered(vm)
}

// unanswered records a question that a VM did not answer.
func (s *Service) unanswered(vm string) {
	unansweredTotal.Inc()
	p := s.fleet.peers[vm]
	if p == nil {
		return
	}
	if p.unanswered++; p.silent || p.unanswered < maxUnanswered {
		return
	}
	now := time.Now()
	p.silent, p.interval, p.nextProbe = true, firstProbe, now.Add(firstProbe)
	for _, m := range s.fleet.members {
		if m.VM == vm && p.counts && m.State == member.Alive {
			s.fleet.depart(now, m)
		}
	}
	s.fleet.recount()
	clear(s.orders)
	s.config.Log.Info().Str("vm", vm).Bool("answered_before", p.counts).
		Msg("VM does not answer questions about usage; the next VM in rank counts until it answers a probe")
}

// recordAnswer records that a VM answers.
func (s *Service) recordAnswer(vm string) {
	p := s.fleet.peers[vm]
	if p == nil {
		return
	}
	changed := p.silent || !p.counts
	if p.silent {
		s.config.Log.Info().Str("vm", vm).Msg("VM answers questions about usage again")
	}
	p.counts, p.unanswered, p.silent, p.probing = true, 0, false, false
	if changed {
		s.fleet.recount()
		clear(s.orders)
	}
}

// reach estimates which part of the other VMs answers this one. The members alone do not say it soon: a VM that is cut off
// from many finds one more of them suspect each second.
type reach struct {
	questions [reachQuestions]struct {
		sequence uint64
		at       time.Time
		answered bool
	}
	next int
	// last is when the last question was asked.
	last time.Time
}

func (r *reach) asked(sequence uint64, now time.Time) {
	q := &r.questions[r.next]
	q.sequence, q.at, q.answered = sequence, now, false
	r.next = (r.next + 1) % reachQuestions
}

func (r *reach) answered(sequence uint64) {
	for i := range r.questions {
		if r.questions[i].sequence == sequence {
			r.questions[i].answered = true
		}
	}
}

// lastAnswered reports whether the latest question that had time for an answer got one. There is none without other VMs.
func (r *reach) lastAnswered(now time.Time) bool {
	for i := range r.questions {
		q := r.questions[(r.next+reachQuestions-1-i)%reachQuestions]
		if q.at.IsZero() || now.Sub(q.at) > reachMaxAge {
			break
		}
		if q.answered {
			return true
		}
		if now.Sub(q.at) > reachTimeout {
			return false
		}
	}
	return true
}

// isCutOff reports whether hardly any VM answers.
func (r *reach) isCutOff(now time.Time) bool {
	unanswered := 0
	for _, q := range r.questions {
		if age := now.Sub(q.at); !q.answered && age > reachTimeout && age < reachMaxAge {
			unanswered++
		}
	}
	return unanswered >= cutOffQuestions
}

// estimateReach asks one of the other VMs for an answer while this VM counts.
func (s *Service) estimateReach(now time.Time) {
	if s.buckets.Len() == 0 || now.Sub(s.fleet.reach.last) < reachInterval {
		return
	}
	s.fleet.reach.last = now
	for vm, p := range s.fleet.peers {
		if p.counts && !p.silent {
			id := s.nextID()
			s.fleet.reach.asked(id.Sequence, now)
			s.send(s.fleet.addresses[vm], methodAsk, askMessage{ID: id})
			return
		}
	}
}

// probe asks VMs for an answer that have not given any yet or do not answer.
func (s *Service) probe(now time.Time) {
	s.estimateReach(now)
	sent := 0
	for vm, p := range s.fleet.peers {
		if p.counts && !p.silent || now.Before(p.nextProbe) {
			continue
		}
		if sent++; sent > probesPerTick {
			return
		}
		if p.probing && !p.silent {
			s.unanswered(vm)
		}
		p.probing = true
		p.nextProbe = now.Add(p.interval)
		if p.counts {
			p.interval = min(2*p.interval, maxProbe)
		} else {
			p.interval = min(2*p.interval, maxFirstAnswerProbe)
		}
		s.send(s.fleet.addresses[vm], methodAsk, askMessage{ID: s.nextID()})
	}
}
