// Package quarantine identifies requests that crash the targets that run them, by what they consist of.
//
// Requests that share a part which crashes targets are found by what the interrupted ones have in common, see attribution.
// One request that is sent again and again is found sooner: a request that a target fails to complete, usually because the target crashed and its connections broke,
// becomes a suspect. A suspect that completes elsewhere is cleared. A request that was interrupted
// CrashThreshold times is quarantined and not sent to any target again. Evidence from all VMs is merged.
//
// The types perform no I/O and take the current time as an argument. They are not safe for concurrent use.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Fingerprint returns the identity of a request's content: client, model and body.
func Fingerprint(client, model string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(client)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// Status is the state of a fingerprint.
type Status uint8

// Statuses.
const (
	// Clear requests run anywhere.
	Clear Status = iota
	// Suspect requests were interrupted by the crash of a target. They run isolated from each other.
	Suspect
	// Quarantined requests are not run.
	Quarantined
)

// String returns the name of the status in logs.
func (s Status) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "clear"
	}
}

// Config configures a Tracker.
type Config struct {
	// CrashThreshold is the number of interruptions after which a request is quarantined. Default 2.
	CrashThreshold int
	// MaxSuspects limits the suspects in memory; the oldest is evicted first. Default 4096.
	MaxSuspects int
	// MaxQuarantined limits the quarantined fingerprints in memory; the oldest is evicted first. Default 4096.
	MaxQuarantined int
	// SuspectFor is how long a suspect that never completes is kept. Default 10m.
	SuspectFor time.Duration
	// QuarantineFor is how long a fingerprint stays quarantined. Default 24h.
	QuarantineFor time.Duration
	// MassFailureTargets is the number of different targets that must interrupt requests within
	// MassFailureWindow for the cause to be attributed to the network or a zone and not to a request. Default 3.
	MassFailureTargets int
	// MassFailureWindow is the time within which crashes of several targets count as one mass failure, and
	// repeated crashes of one target as one crash. Default 2s.
	MassFailureWindow time.Duration
	// PublishRate is the maximum number of fingerprints published per second. Default 20.
	PublishRate float64
	// PublishBurst is the maximum number of fingerprints published at once. Default 200.
	PublishBurst int
	// Attribution configures how crashes are attributed to parts of prompts.
	Attribution AttributionConfig
}

func (c Config) withDefaults() Config {
	c.CrashThreshold = cmp.Or(c.CrashThreshold, 2)
	c.MaxSuspects = cmp.Or(c.MaxSuspects, 4096)
	c.MaxQuarantined = cmp.Or(c.MaxQuarantined, 4096)
	c.SuspectFor = cmp.Or(c.SuspectFor, 10*time.Minute)
	c.QuarantineFor = cmp.Or(c.QuarantineFor, 24*time.Hour)
	c.MassFailureTargets = cmp.Or(c.MassFailureTargets, 3)
	c.MassFailureWindow = cmp.Or(c.MassFailureWindow, 2*time.Second)
	c.PublishRate = cmp.Or(c.PublishRate, 20)
	c.PublishBurst = cmp.Or(c.PublishBurst, 200)
	return c
}

// Evidence is what one VM reports to the others about a fingerprint.
type Evidence struct {
	// Fingerprint identifies the request's content.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Targets names the target of each crash that interrupted the request, in any order.
	Targets []string `cbor:"2,keyasint"`
	// Cleared reports that the request is no longer a suspect: it completed on a target, or its only crash was
	// part of a mass failure.
	Cleared bool `cbor:"3,keyasint,omitempty"`
	// Blame is a blamed group, in stored evidence. Fingerprint is its ID then.
	Blame *BlameReport `cbor:"4,keyasint,omitempty"`
}

// Tracker collects evidence about fingerprints.
type Tracker struct {
	config      Config
	suspects    map[uint64]*record
	quarantined map[uint64]*record
	crashes     []crash
	outbox      []Evidence
	limiter     *rate.Limiter
	attribution *attribution
}

type record struct {
	// targets names the target of each crash.
	targets   []string
	createdAt time.Time
	// lastCrash is the time at which this VM last observed a crash or learned of one.
	lastCrash time.Time
}

func (r *record) count(target string) int {
	n := 0
	for _, name := range r.targets {
		if name == target {
			n++
		}
	}
	return n
}

type crash struct {
	target string
	at     time.Time
}

// NewTracker returns a tracker without evidence.
func NewTracker(config Config) *Tracker {
	config = config.withDefaults()
	return &Tracker{
		config:      config,
		suspects:    make(map[uint64]*record),
		quarantined: make(map[uint64]*record),
		limiter:     rate.NewLimiter(rate.Limit(config.PublishRate), config.PublishBurst),
		attribution: newAttribution(config.Attribution),
	}
}

// Status returns the status of a fingerprint. Zero means that there is no fingerprint; it is always clear.
func (t *Tracker) Status(fingerprint uint64) Status {
	switch {
	case t.quarantined[fingerprint] != nil:
		return Quarantined
	case t.suspects[fingerprint] != nil:
		return Suspect
	default:
		return Clear
	}
}

// Check returns the status of a request, and how long it remains quarantined if that is known.
func (t *Tracker) Check(now time.Time, content Content) (Status, time.Duration) {
	t.attribution.assess(now)
	if until, blocked := t.attribution.blocked(now, content.keys()); blocked {
		return Quarantined, until.Sub(now)
	}
	return t.Status(content.Fingerprint), 0
}

// RecordUnanswered records that a target broke off a request, which was sent to it at sentAt, before it began to answer. The
// crash is attributed to what the request has in common with others. RecordCrash attributes it to the request itself.
func (t *Tracker) RecordUnanswered(now, sentAt time.Time, content Content, target string) {
	keys := content.keys()
	t.attribution.addCrash(sentAt, now, target, keys)
	t.attribution.reportCrash(sentAt, now, target, keys)
}

// RecordBegun records that a target has begun to answer a request, so that nothing that the request holds crashes targets.
func (t *Tracker) RecordBegun(now time.Time, content Content) {
	a := t.attribution
	a.rate.add(now)
	keys := content.partKeys()
	// Each request is new as a whole, so that only those that a target broke off before are worth remembering.
	if whole := content.wholeKey(); a.suspected[whole] > 0 || a.isBlamed(whole) {
		keys = append(keys, whole)
	}
	a.reportBegun(keys)
	a.cleared = append(a.cleared, a.addBegun(now, keys)...)
}

// TakeReport removes and returns what the other VMs have to learn of crashes and of what they are attributed to.
func (t *Tracker) TakeReport(now time.Time) Report {
	t.attribution.assess(now)
	return t.attribution.takeReport(now, t.config.PublishBurst)
}

// MergeReport adds the report of another VM, and returns the blamed groups that the VM doesn't seem to know.
func (t *Tracker) MergeReport(now time.Time, from string, report Report) []BlameReport {
	return t.attribution.merge(now, from, report)
}

// MergeStored adds a blamed group that some VM stored at an unknown time, unless this VM knows more about it.
func (t *Tracker) MergeStored(now time.Time, report BlameReport) {
	t.attribution.mergeStored(now, report)
}

// Blames returns all blamed groups.
func (t *Tracker) Blames(now time.Time) []BlameReport { return t.attribution.allBlames(now) }

// BlockedGroups returns the blamed groups whose requests are not run now.
func (t *Tracker) BlockedGroups(now time.Time) [][]uint64 { return t.attribution.blockedGroups(now) }

// TakeCleared removes and returns the IDs of the blamed groups that answers seen by this VM have cleared.
func (t *Tracker) TakeCleared() []uint64 {
	cleared := t.attribution.cleared
	t.attribution.cleared = nil
	return cleared
}

// Targets returns the targets whose crashes interrupted the request, one name per crash.
func (t *Tracker) Targets(fingerprint uint64) []string {
	if r := t.quarantined[fingerprint]; r != nil {
		return slices.Clone(r.targets)
	}
	if r := t.suspects[fingerprint]; r != nil {
		return slices.Clone(r.targets)
	}
	return nil
}

// RecordCrash records that a target failed while it was running the request, usually by breaking the connection,
// and returns the request's new status.
func (t *Tracker) RecordCrash(now time.Time, fingerprint uint64, target string) Status {
	if fingerprint == 0 {
		return Clear
	}
	t.recordTargetCrash(now, target)
	if t.isMassFailure() {
		t.clearMassFailureSuspects(now)
		if t.suspects[fingerprint] == nil {
			return t.Status(fingerprint)
		}
	}
	if t.addLocal(now, fingerprint, target) {
		t.publish(Evidence{Fingerprint: fingerprint, Targets: t.Targets(fingerprint)})
	}
	return t.Status(fingerprint)
}

func (t *Tracker) recordTargetCrash(now time.Time, target string) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool {
		return now.Sub(c.at) >= t.config.MassFailureWindow
	})
	if !slices.ContainsFunc(t.crashes, func(c crash) bool { return c.target == target }) {
		t.crashes = append(t.crashes, crash{target, now})
	}
}

func (t *Tracker) isMassFailure() bool { return len(t.crashes) >= t.config.MassFailureTargets }

// clearMassFailureSuspects clears the suspects whose only evidence is part of the current mass failure.
func (t *Tracker) clearMassFailureSuspects(now time.Time) {
	for fingerprint, r := range t.suspects {
		if len(r.targets) == 1 && now.Sub(r.createdAt) < t.config.MassFailureWindow {
			delete(t.suspects, fingerprint)
			t.publish(Evidence{Fingerprint: fingerprint, Cleared: true})
		}
	}
}

// addLocal adds a crash that this VM observed and reports whether it was new. Copies of one request that
// were interrupted together count as one crash.
func (t *Tracker) addLocal(now time.Time, fingerprint uint64, target string) bool {
	if t.quarantined[fingerprint] != nil {
		return false
	}
	r := t.suspectRecord(now, fingerprint)
	if r.count(target) > 0 && now.Sub(r.lastCrash) < t.config.MassFailureWindow {
		return false
	}
	r.lastCrash = now
	t.addCrash(now, fingerprint, r, target)
	return true
}

func (t *Tracker) suspectRecord(now time.Time, fingerprint uint64) *record {
	r := t.suspects[fingerprint]
	if r == nil {
		r = &record{createdAt: now}
		t.suspects[fingerprint] = r
		evictOldest(t.suspects, t.config.MaxSuspects)
	}
	return r
}

// addCrash adds a crash to a record and quarantines the fingerprint if the threshold is reached.
func (t *Tracker) addCrash(now time.Time, fingerprint uint64, r *record, target string) {
	r.targets = append(r.targets, target)
	if len(r.targets) >= t.config.CrashThreshold {
		delete(t.suspects, fingerprint)
		t.quarantined[fingerprint] = &record{targets: r.targets, createdAt: now}
		evictOldest(t.quarantined, t.config.MaxQuarantined)
	}
}

func evictOldest(records map[uint64]*record, limit int) {
	if len(records) <= limit {
		return
	}
	var oldest uint64
	var since time.Time
	for fingerprint, r := range records {
		if since.IsZero() || r.createdAt.Before(since) {
			oldest, since = fingerprint, r.createdAt
		}
	}
	delete(records, oldest)
}

// RecordCompletion records that a request completed, which clears it if it was a suspect.
func (t *Tracker) RecordCompletion(fingerprint uint64) {
	if t.suspects[fingerprint] == nil {
		return
	}
	delete(t.suspects, fingerprint)
	t.publish(Evidence{Fingerprint: fingerprint, Cleared: true})
}

// Merge adds the evidence of another VM and returns the fingerprint's status. Merged evidence is not republished.
func (t *Tracker) Merge(now time.Time, evidence Evidence) Status {
	if evidence.Cleared {
		delete(t.suspects, evidence.Fingerprint)
		return t.Status(evidence.Fingerprint)
	}
	if t.quarantined[evidence.Fingerprint] != nil || len(evidence.Targets) == 0 {
		return t.Status(evidence.Fingerprint)
	}
	r := t.suspectRecord(now, evidence.Fingerprint)
	received := record{targets: evidence.Targets}
	for _, target := range evidence.Targets {
		// A crash that two VMs observed and a message that was received twice count once.
		if r.count(target) < received.count(target) {
			// This VM may observe the same crash a moment later.
			r.lastCrash = now
			t.addCrash(now, evidence.Fingerprint, r, target)
		}
	}
	return t.Status(evidence.Fingerprint)
}

// Sweep removes records that have exceeded their retention time.
func (t *Tracker) Sweep(now time.Time) {
	deleteBefore(t.suspects, now.Add(-t.config.SuspectFor))
	deleteBefore(t.quarantined, now.Add(-t.config.QuarantineFor))
	t.attribution.sweep(now)
}

func deleteBefore(records map[uint64]*record, limit time.Time) {
	for fingerprint, r := range records {
		if r.createdAt.Before(limit) {
			delete(records, fingerprint)
		}
	}
}

// publish queues evidence. It replaces older evidence for the same fingerprint, which bounds the queue.
func (t *Tracker) publish(evidence Evidence) {
	t.outbox = slices.DeleteFunc(t.outbox, func(e Evidence) bool { return e.Fingerprint == evidence.Fingerprint })
	t.outbox = append(t.outbox, evidence)
	if excess := len(t.outbox) - t.config.MaxSuspects; excess > 0 {
		t.outbox = slices.Delete(t.outbox, 0, excess)
	}
}

// TakeEvidence removes and returns the evidence that may be sent to the other VMs now within the rate
// limit, the fingerprints with the most crashes first.
func (t *Tracker) TakeEvidence(now time.Time) []Evidence {
	slices.SortStableFunc(t.outbox, func(a, b Evidence) int { return cmp.Compare(len(b.Targets), len(a.Targets)) })
	count := 0
	for count < len(t.outbox) && t.limiter.AllowN(now, 1) {
		count++
	}
	due := slices.Clone(t.outbox[:count])
	t.outbox = slices.Delete(t.outbox, 0, count)
	return due
}

// Fingerprints returns the quarantined fingerprints in ascending order.
func (t *Tracker) Fingerprints() []uint64 {
	list := make([]uint64, 0, len(t.quarantined))
	for fingerprint := range t.quarantined {
		list = append(list, fingerprint)
	}
	slices.Sort(list)
	return list
}
