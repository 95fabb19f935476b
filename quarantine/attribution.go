package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"
)

// attribution finds what the requests under which targets crash have in common, although no two of them are alike.
//
// A key, which is a part of prompts or the whole content of a request, is blamed when targets have crashed under requests
// that hold it, again and again, before any of them began to answer, and no answer to a request that holds it has begun at
// any VM since. How often that has to happen depends on how often other requests are interrupted at the same time. The key
// with the most crashes explains them, and what stands beside it in the same requests isn't blamed. Keys that the crashes
// can't tell apart are blamed as a group. Requests that hold only some of a group still run, and an answer to one of them
// narrows it.
type attribution struct {
	config AttributionConfig
	// crashes holds the crashes that no single blamed key explains, in the order of their arrival.
	crashes []*crashRecord
	// suspected counts the crashes that a key occurs in.
	suspected map[uint64]int
	// begun holds when the last answer to a request with the key began.
	begun  *recentKeys
	blames map[uint64]*blame
	// rate counts the answers that have begun at this VM, and peerRates at the others.
	rate      rateCounter
	peerRates map[string]peerRate
	// assessAt is when the next crash has settled, zero for none.
	assessAt time.Time
	outbox   Report
	// changed holds the IDs of the groups that the other VMs have to learn of.
	changed []uint64
	// cleared holds the IDs of the groups that answers at this VM have cleared.
	cleared []uint64
}

// AttributionConfig configures how crashes are attributed to parts of prompts. Zero fields take their defaults.
type AttributionConfig struct {
	// MinCrashes is the number of crashes that blame a key at the least. Crashes within Moment after another one count half,
	// since one cause may take down several targets at once, and crashes at a single moment blame no key. Default 3.
	MinCrashes int
	// FalseBlame is the accepted probability that a key is blamed for crashes that are independent of it. Default 1e-5.
	FalseBlame float64
	// Moment is the time within which crashes are taken for one event. Default 100ms.
	Moment time.Duration
	// ProvenMinCrashes and ProvenMoment apply instead to keys whose requests have been answered before, and only the first
	// crash of a moment counts for them. Defaults 5 and 2s.
	ProvenMinCrashes int
	ProvenMoment     time.Duration
	// Settle is how old a crash has to be before it counts, so that what other VMs know of it has arrived. Default 200ms.
	Settle time.Duration
	// Window is how long a crash counts. Default 10m.
	Window time.Duration
	// RateWindow is the time over which interruptions of other requests are counted. Default 3s.
	RateWindow time.Duration
	// MaxCrashes limits the crashes in memory; the oldest is evicted first. Default 128.
	MaxCrashes int
	// MaxRequests limits the requests of a crash. Default 32.
	MaxRequests int
	// MaxBegun limits the keys whose answers are known to have begun. Default 8192.
	MaxBegun int
	// MaxBlames limits the blamed groups; the oldest is evicted first. Default 256.
	MaxBlames int
	// FirstTerm is how long requests that hold a blamed group are not run. After that a further crash blames the group
	// again, for twice the time, up to MaxTerm. Each VM adds a random time of up to the same length, so that few VMs try
	// it at a time. Defaults 30s and 24h.
	FirstTerm, MaxTerm time.Duration
	// Random returns a number in [0, 1). Default 0.
	Random func() float64
}

func (c AttributionConfig) withDefaults() AttributionConfig {
	setDefault(&c.MinCrashes, 3)
	setDefault(&c.FalseBlame, 1e-5)
	setDefault(&c.Moment, 100*time.Millisecond)
	setDefault(&c.ProvenMinCrashes, 5)
	setDefault(&c.ProvenMoment, 2*time.Second)
	setDefault(&c.Settle, 200*time.Millisecond)
	setDefault(&c.Window, 10*time.Minute)
	setDefault(&c.RateWindow, 3*time.Second)
	setDefault(&c.MaxCrashes, 128)
	setDefault(&c.MaxRequests, 32)
	setDefault(&c.MaxBegun, 8192)
	setDefault(&c.MaxBlames, 256)
	setDefault(&c.FirstTerm, 30*time.Second)
	setDefault(&c.MaxTerm, 24*time.Hour)
	if c.Random == nil {
		c.Random = func() float64 { return 0 }
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// crashRecord is a crash of a target.
type crashRecord struct {
	target string
	at     time.Time
	// requests holds the sorted keys of each request whose answer had not begun.
	requests [][]uint64
}

func (c *crashRecord) holds(key uint64) bool {
	return slices.ContainsFunc(c.requests, func(keys []uint64) bool { return slices.Contains(keys, key) })
}

// isExplainedBy reports whether a request that was interrupted by the crash holds the whole group.
func (c *crashRecord) isExplainedBy(group []uint64) bool {
	return slices.ContainsFunc(c.requests, func(keys []uint64) bool { return containsAll(keys, group) })
}

const (
	// sameCrashWindow is the time within which interruptions at one target belong to the same crash.
	sameCrashWindow = 500 * time.Millisecond
	// restartMargin is how long after a crash a request has to be sent to prove that the target was back. It covers the
	// delay of reports.
	restartMargin = 50 * time.Millisecond
)

// interrupts reports whether the crash interrupted a request at a target.
func (c *crashRecord) interrupts(target string, sentAt, at time.Time) bool {
	return c.target == target && at.Sub(c.at).Abs() < sameCrashWindow && sentAt.Before(c.at.Add(restartMargin))
}

func newAttribution(config AttributionConfig) *attribution {
	config = config.withDefaults()
	return &attribution{
		config:    config,
		suspected: make(map[uint64]int),
		begun:     newRecentKeys(config.MaxBegun),
		blames:    make(map[uint64]*blame),
		rate:      newRateCounter(config.RateWindow),
		peerRates: make(map[string]peerRate),
	}
}

// addCrash adds a request that was sent to a target and interrupted by its crash before the answer began.
func (a *attribution) addCrash(sentAt, at time.Time, target string, keys []uint64) {
	if len(keys) == 0 || a.renewBlame(at, keys) {
		return
	}
	i := slices.IndexFunc(a.crashes, func(c *crashRecord) bool { return c.interrupts(target, sentAt, at) })
	if i < 0 {
		a.crashes = append(a.crashes, &crashRecord{target: target, at: at})
		i = len(a.crashes) - 1
	}
	c := a.crashes[i]
	if len(c.requests) >= a.config.MaxRequests || slices.ContainsFunc(c.requests, func(r []uint64) bool { return slices.Equal(r, keys) }) {
		return
	}
	c.requests = append(c.requests, keys)
	if at.Before(c.at) {
		c.at = at
	}
	if a.assessAt.IsZero() {
		a.assessAt = c.at.Add(a.config.Settle)
	}
	for _, key := range keys {
		a.suspected[key]++
	}
	if len(a.crashes) > a.config.MaxCrashes {
		oldest := a.crashes[0]
		a.removeCrashes(func(c *crashRecord) bool { return c == oldest })
	}
}

func (a *attribution) removeCrashes(remove func(*crashRecord) bool) {
	a.crashes = slices.DeleteFunc(a.crashes, func(c *crashRecord) bool {
		if !remove(c) {
			return false
		}
		for _, keys := range c.requests {
			for _, key := range keys {
				if a.suspected[key]--; a.suspected[key] <= 0 {
					delete(a.suspected, key)
				}
			}
		}
		return true
	})
}

// addBegun records that the answer to a request with these keys has begun somewhere, which clears them. It returns the IDs of
// the blamed groups that end.
func (a *attribution) addBegun(now time.Time, keys []uint64) []uint64 {
	var cleared []uint64
	for _, key := range keys {
		a.begun.set(key, now)
		cleared = append(cleared, a.clearBlame(key)...)
	}
	return cleared
}

// assessInterval is the least time between two assessments, each of which reads all crashes.
const assessInterval = 50 * time.Millisecond

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// assess blames the keys that explain the crashes known so far.
func (a *attribution) assess(now time.Time) {
	if a.assessAt.IsZero() || now.Before(a.assessAt) {
		return
	}
	a.removeCrashes(func(c *crashRecord) bool { return now.Sub(c.at) >= a.config.Window })
	a.assessAt = time.Time{}
	var settled []*crashRecord
	for _, c := range a.crashes {
		if due := c.at.Add(a.config.Settle); due.After(now) {
			if due = latest(due, now.Add(assessInterval)); a.assessAt.IsZero() || due.Before(a.assessAt) {
				a.assessAt = due
			}
			continue
		}
		settled = append(settled, c)
	}
	for {
		group := a.findGroup(now, settled)
		if group == nil {
			return
		}
		if a.blames[groupHash(group)] == nil {
			a.addBlame(lastExplained(settled, group), group)
		}
		settled = slices.DeleteFunc(settled, func(c *crashRecord) bool { return c.isExplainedBy(group) })
		a.removeExplained(group)
	}
}

// lastExplained returns the time of the last crash that a group explains.
func lastExplained(crashes []*crashRecord, group []uint64) time.Time {
	var last time.Time
	for _, c := range crashes {
		if c.isExplainedBy(group) && c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// removeExplained removes the crashes that a blamed key explains. Those of a larger group are kept, since further crashes may
// tell its keys apart.
func (a *attribution) removeExplained(group []uint64) {
	if len(group) == 1 {
		a.removeCrashes(func(c *crashRecord) bool { return c.isExplainedBy(group) })
	}
}

// evidence is what speaks against a key.
type evidence struct {
	key uint64
	// proven means that requests with the key have been answered before.
	proven bool
	// moments is the number of moments at which targets crashed since the last answer began, and crashes are these crashes.
	moments int
	crashes []*crashRecord
}

// weight is the number of independent crashes that the evidence counts for.
func (e evidence) weight() float64 {
	if e.proven {
		return float64(e.moments)
	}
	return float64(e.moments+len(e.crashes)) / 2
}

// findGroup returns the key with the most crashes, if these are too many to be independent of it, with those that the crashes
// can't tell apart from it. It returns nil if there is none.
func (a *attribution) findGroup(now time.Time, crashes []*crashRecord) []uint64 {
	var best evidence
	keys, byKey := crashesByKey(crashes)
	for _, key := range keys {
		if len(byKey[key]) <= 1 {
			continue
		}
		if e := a.evidenceAgainst(key, byKey[key]); a.isSignificant(now, e) && e.weight() > best.weight() {
			best = e
		}
	}
	if best.crashes == nil {
		return nil
	}
	group := []uint64{best.key}
	for _, key := range keys {
		if len(byKey[key])+minDistinct <= len(best.crashes) {
			continue
		}
		if larger := sortedKeys(append(slices.Clone(group), key)); len(larger) > len(group) && !best.tellsApart(larger, isWhole(key)) {
			group = larger
		}
	}
	return group
}

// minDistinct is the number of crashes without one of two keys from which on the keys are told apart.
const minDistinct = 2

// tellsApart reports whether enough crashes happened without a request that holds the whole group. The whole content of a
// request is told apart at once, since only the same request has it again.
func (e evidence) tellsApart(group []uint64, whole bool) bool {
	distinct := 0
	for _, c := range e.crashes {
		if !c.isExplainedBy(group) {
			distinct++
		}
	}
	return distinct >= minDistinct || distinct > 0 && whole
}

// crashesByKey returns the keys of the crashes in ascending order, and the crashes that each of them occurs in.
func crashesByKey(crashes []*crashRecord) ([]uint64, map[uint64][]*crashRecord) {
	byKey := make(map[uint64][]*crashRecord)
	for _, c := range crashes {
		for _, request := range c.requests {
			for _, key := range request {
				if list := byKey[key]; len(list) == 0 || list[len(list)-1] != c {
					byKey[key] = append(list, c)
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(byKey)), byKey
}

// evidenceAgainst weighs the crashes that a key occurs in.
func (a *attribution) evidenceAgainst(key uint64, crashes []*crashRecord) evidence {
	begun, proven := a.begun.last(key)
	moment := a.config.Moment
	if proven {
		moment = a.config.ProvenMoment
	}
	e := evidence{key: key, proven: proven}
	for _, c := range crashes {
		if c.at.After(begun) {
			e.crashes = append(e.crashes, c)
		}
	}
	slices.SortStableFunc(e.crashes, func(x, y *crashRecord) int { return x.at.Compare(y.at) })
	var last time.Time
	for _, c := range e.crashes {
		if last.IsZero() || c.at.Sub(last) >= moment {
			e.moments++
			last = c.at
		}
	}
	return e
}

// isSignificant reports whether so many crashes in a row are unlikely for a request that is interrupted as often as
// others.
func (a *attribution) isSignificant(now time.Time, e evidence) bool {
	least := a.config.MinCrashes
	if e.proven {
		least = a.config.ProvenMinCrashes
	}
	if e.moments < 2 || e.weight() < float64(least) {
		return false
	}
	return e.weight()*math.Log(a.interruptionRate(now, e.key)) <= math.Log(a.config.FalseBlame)
}

const (
	// priorInterruptions and priorRequests are the interruptions and requests assumed before any are known.
	priorInterruptions = 0.5
	priorRequests      = 25
)

// interruptionRate estimates how likely a request is interrupted before its answer begins by a crash that the key has no part
// in.
func (a *attribution) interruptionRate(now time.Time, key uint64) float64 {
	interrupted := priorInterruptions
	for _, c := range a.crashes {
		if now.Sub(c.at) < a.config.RateWindow && !c.holds(key) {
			interrupted += float64(len(c.requests))
		}
	}
	begun := a.rate.count(now)
	for _, peer := range a.peerRates {
		if now.Sub(peer.at) < a.config.RateWindow {
			begun += peer.begun
		}
	}
	return interrupted / (interrupted + float64(begun) + priorRequests)
}
