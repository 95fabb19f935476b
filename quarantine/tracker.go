// Package quarantine finds requests that crash the targets that run them.
//
// When a target breaks a connection, the requests that it was running become suspects. A suspect
// that finishes elsewhere is cleared. A request that was cut off twice is quarantined: it is not sent
// to any target again. Fleet-wide, evidence is merged from all VMs.
//
// The package is pure and not safe for concurrent use.
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

// Status is what is known of a fingerprint.
type Status uint8

// Statuses.
const (
	// Clear requests run anywhere.
	Clear Status = iota
	// Suspect requests were cut off on one target. They run apart from each other.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// Config configures a Tracker.
type Config struct {
	// CrashThreshold is the number of times that a request is cut off before it is quarantined. Default 2.
	CrashThreshold int
	// MaxSuspects bounds the suspects in memory; the oldest is forgotten first. Default 4096.
	MaxSuspects int
	// MaxQuarantined bounds the quarantined fingerprints in memory; the oldest is forgotten first. Default 4096.
	MaxQuarantined int
	// SuspectFor is how long a suspect that never finishes is remembered. Default 10m.
	SuspectFor time.Duration
	// QuarantineFor is how long a fingerprint stays quarantined. Default 24h.
	QuarantineFor time.Duration
	// MassFailureTargets is the number of different targets that cut requests off within MassWindow from which
	// the cause is taken to be the network or a zone, and not a request. Default 3.
	MassFailureTargets int
	// MassFailureWindow is the time within which crashes count as one event, and so do those of one target. Default 2s.
	MassFailureWindow time.Duration
	// PublishRate is the number of fingerprints published per second. Default 20.
	PublishRate float64
	// PublishBurst is the number of fingerprints published at once. Default 200.
	PublishBurst int
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

// Evidence is what one VM tells the others of a fingerprint.
type Evidence struct {
	// Fingerprint identifies the request's content.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Targets names the target of each crash in which it was cut off, in any order.
	Targets []string `cbor:"2,keyasint"`
	// Cleared says that it has finished on a target, so that no suspicion is left.
	Cleared bool `cbor:"3,keyasint,omitempty"`
}

// Tracker collects evidence about fingerprints.
type Tracker struct {
	config      Config
	suspects    map[uint64]*record
	quarantined map[uint64]*record
	crashes     []crash
	outbox      []Evidence
	limit       *rate.Limiter
}

type record struct {
	// targets names the target of each crash.
	targets []string
	since   time.Time
	// last is when the last crash was seen on this VM.
	last time.Time
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
		limit:       rate.NewLimiter(rate.Limit(config.PublishRate), config.PublishBurst),
	}
}

// Status returns what is known of a fingerprint. Zero is the fingerprint of nothing and always clear.
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

// Targets returns the names of the targets on which the fingerprint was cut off.
func (t *Tracker) Targets(fingerprint uint64) []string {
	if r := t.quarantined[fingerprint]; r != nil {
		return slices.Clone(r.targets)
	}
	if r := t.suspects[fingerprint]; r != nil {
		return slices.Clone(r.targets)
	}
	return nil
}

// RecordCrash records that a target broke the connection of a running request, and returns its new status.
func (t *Tracker) RecordCrash(now time.Time, fingerprint uint64, target string) Status {
	if fingerprint == 0 {
		return Clear
	}
	t.noteCrash(now, target)
	if t.isMass() {
		t.absolve(now)
		if t.suspects[fingerprint] == nil {
			return t.Status(fingerprint)
		}
	}
	if t.addOwn(now, fingerprint, target) {
		t.publish(Evidence{Fingerprint: fingerprint, Targets: t.Targets(fingerprint)})
	}
	return t.Status(fingerprint)
}

func (t *Tracker) noteCrash(now time.Time, target string) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool {
		return now.Sub(c.at) >= t.config.MassFailureWindow
	})
	if !slices.ContainsFunc(t.crashes, func(c crash) bool { return c.target == target }) {
		t.crashes = append(t.crashes, crash{target, now})
	}
}

func (t *Tracker) isMass() bool { return len(t.crashes) >= t.config.MassFailureTargets }

// absolve forgets the suspects whose only evidence belongs to the present mass failure.
func (t *Tracker) absolve(now time.Time) {
	for fingerprint, r := range t.suspects {
		if len(r.targets) == 1 && now.Sub(r.since) < t.config.MassFailureWindow {
			delete(t.suspects, fingerprint)
			t.publish(Evidence{Fingerprint: fingerprint, Cleared: true})
		}
	}
}

// addOwn adds a crash that this VM saw and reports whether it was news. Copies of one request that
// were cut off together are one crash.
func (t *Tracker) addOwn(now time.Time, fingerprint uint64, target string) bool {
	if t.quarantined[fingerprint] != nil {
		return false
	}
	r := t.suspect(now, fingerprint)
	if r.count(target) > 0 && now.Sub(r.last) < t.config.MassFailureWindow {
		return false
	}
	r.last = now
	t.add(now, fingerprint, r, target)
	return true
}

func (t *Tracker) suspect(now time.Time, fingerprint uint64) *record {
	r := t.suspects[fingerprint]
	if r == nil {
		r = &record{since: now}
		t.suspects[fingerprint] = r
		evictOldest(t.suspects, t.config.MaxSuspects)
	}
	return r
}

// add adds a crash to a record and quarantines its fingerprint when that is enough.
func (t *Tracker) add(now time.Time, fingerprint uint64, r *record, target string) {
	r.targets = append(r.targets, target)
	if len(r.targets) >= t.config.CrashThreshold {
		delete(t.suspects, fingerprint)
		t.quarantined[fingerprint] = &record{targets: r.targets, since: now}
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
		if since.IsZero() || r.since.Before(since) {
			oldest, since = fingerprint, r.since
		}
	}
	delete(records, oldest)
}

// RecordCompletion records that a request ran to its end, which clears it of suspicion.
func (t *Tracker) RecordCompletion(fingerprint uint64) {
	if t.suspects[fingerprint] == nil {
		return
	}
	delete(t.suspects, fingerprint)
	t.publish(Evidence{Fingerprint: fingerprint, Cleared: true})
}

// Merge adds the evidence of another VM and returns the fingerprint's status. Merged evidence is not published again.
func (t *Tracker) Merge(now time.Time, evidence Evidence) Status {
	if evidence.Cleared {
		delete(t.suspects, evidence.Fingerprint)
		return t.Status(evidence.Fingerprint)
	}
	if t.quarantined[evidence.Fingerprint] != nil || len(evidence.Targets) == 0 {
		return t.Status(evidence.Fingerprint)
	}
	r := t.suspect(now, evidence.Fingerprint)
	theirs := record{targets: evidence.Targets}
	for _, target := range evidence.Targets {
		// The same crash seen by two VMs, and a message that came twice, count once.
		if r.count(target) < theirs.count(target) {
			t.add(now, evidence.Fingerprint, r, target)
		}
	}
	return t.Status(evidence.Fingerprint)
}

// Sweep forgets what is older than its time.
func (t *Tracker) Sweep(now time.Time) {
	forgetBefore(t.suspects, now.Add(-t.config.SuspectFor))
	forgetBefore(t.quarantined, now.Add(-t.config.QuarantineFor))
}

func forgetBefore(records map[uint64]*record, limit time.Time) {
	for fingerprint, r := range records {
		if r.since.Before(limit) {
			delete(records, fingerprint)
		}
	}
}

// publish queues evidence. Newer evidence replaces older of the same fingerprint, which bounds the queue.
func (t *Tracker) publish(evidence Evidence) {
	t.outbox = slices.DeleteFunc(t.outbox, func(e Evidence) bool { return e.Fingerprint == evidence.Fingerprint })
	t.outbox = append(t.outbox, evidence)
	if excess := len(t.outbox) - t.config.MaxSuspects; excess > 0 {
		t.outbox = slices.Delete(t.outbox, 0, excess)
	}
}

// TakeEvidence removes and returns the evidence to send to the other VMs now, within the rate
// limit. Quarantined fingerprints go first.
func (t *Tracker) TakeEvidence(now time.Time) []Evidence {
	slices.SortStableFunc(t.outbox, func(a, b Evidence) int { return cmp.Compare(len(b.Targets), len(a.Targets)) })
	count := 0
	for count < len(t.outbox) && t.limit.AllowN(now, 1) {
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
