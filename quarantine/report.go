package quarantine

import (
	"slices"
	"time"
)

// Report is what one VM tells the others about crashes of targets and what they are attributed to. Times are sent as ages,
// since the clocks of VMs differ.
type Report struct {
	Crashes []CrashReport `cbor:"1,keyasint,omitempty"`
	// Begun are suspected or blamed keys of requests whose answers have begun.
	Begun  []uint64      `cbor:"2,keyasint,omitempty"`
	Blames []BlameReport `cbor:"3,keyasint,omitempty"`
	// Answers is the number of answers that have begun at the VM of late, see AttributionConfig.RateWindow.
	Answers int `cbor:"4,keyasint,omitempty"`
}

// IsEmpty reports whether a report says nothing about crashes.
func (r Report) IsEmpty() bool { return len(r.Crashes)+len(r.Begun)+len(r.Blames) == 0 }

// CrashReport is a request that was interrupted by the crash of a target before its answer began.
type CrashReport struct {
	Target string `cbor:"1,keyasint"`
	AgeMs  int64  `cbor:"2,keyasint"`
	// Keys are the keys of the request, and Proven those whose requests the VM has seen answered before.
	Keys   []uint64 `cbor:"3,keyasint"`
	Proven []uint64 `cbor:"4,keyasint,omitempty"`
	// RanMs is the time from sending the request to the crash.
	RanMs int64 `cbor:"5,keyasint,omitempty"`
	at    time.Time
}

// BlameReport is a blamed group of keys.
type BlameReport struct {
	Keys []uint64 `cbor:"1,keyasint"`
	// Times is how often the group was blamed, and AgeMs the time since the last crash.
	Times int   `cbor:"2,keyasint"`
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// ID returns the same number for the same group.
func (b BlameReport) ID() uint64 { return groupHash(b.Keys) }

func (b *blame) report(now time.Time) BlameReport {
	return BlameReport{Keys: b.keys, Times: b.times, AgeMs: now.Sub(b.crashedAt).Milliseconds()}
}

// peerRate is what another VM reported of its answers.
type peerRate struct {
	begun int
	at    time.Time
}

// reportCrash queues a crash that this VM has seen.
func (a *attribution) reportCrash(sentAt, now time.Time, target string, keys []uint64) {
	if len(a.outbox.Crashes) >= a.config.MaxCrashes {
		return
	}
	crash := CrashReport{Target: target, Keys: keys, RanMs: now.Sub(sentAt).Milliseconds(), at: now}
	for _, key := range keys {
		if _, proven := a.begun.last(key); proven {
			crash.Proven = append(crash.Proven, key)
		}
	}
	a.outbox.Crashes = append(a.outbox.Crashes, crash)
}

// reportBlame queues a group that has been blamed or blamed again.
func (a *attribution) reportBlame(b *blame) {
	if id := groupHash(b.keys); !slices.Contains(a.changed, id) {
		a.changed = append(a.changed, id)
	}
}

// reportBegun queues the keys of an answer that has begun and that other VMs may hold crashes against. Proven keys need
// several moments to be blamed, so that one crash beside a common key is not worth a message from each VM.
func (a *attribution) reportBegun(keys []uint64) {
	for _, key := range keys {
		if a.isBlamed(key) || a.suspected[key] > 0 && a.needsClearing(key) {
			a.outbox.Begun = append(a.outbox.Begun, key)
		}
	}
}

func (a *attribution) isBlamed(key uint64) bool {
	for _, b := range a.blames {
		if slices.Contains(b.keys, key) {
			return true
		}
	}
	return false
}

func (a *attribution) needsClearing(key uint64) bool {
	var crashes []*crashRecord
	for _, c := range a.crashes {
		if c.holds(key) {
			crashes = append(crashes, c)
		}
	}
	e := a.evidenceAgainst(key, crashes)
	return e.moments > 1 || e.moments == 1 && !e.proven
}

// takeReport removes and returns what the other VMs have to learn, with at most maxCrashes crashes.
func (a *attribution) takeReport(now time.Time, maxCrashes int) Report {
	report := a.outbox
	a.outbox = Report{}
	if excess := len(report.Crashes) - maxCrashes; excess > 0 {
		a.outbox.Crashes = slices.Clone(report.Crashes[maxCrashes:])
		report.Crashes = report.Crashes[:maxCrashes]
	}
	for i := range report.Crashes {
		report.Crashes[i].AgeMs = now.Sub(report.Crashes[i].at).Milliseconds()
	}
	// Groups that were cleared or narrowed since are left out.
	report.Blames = nil
	for _, id := range a.changed {
		if b := a.blames[id]; b != nil {
			report.Blames = append(report.Blames, b.report(now))
		}
	}
	a.changed = nil
	report.Answers = a.rate.count(now)
	return report
}

// maxAge bounds the ages that are accepted from other VMs.
const maxAge = 7 * 24 * time.Hour

// timeOf returns the time that another VM reported as an age.
// maxBlames bounds how often a group counts as blamed: its term no longer grows long before.
const maxBlames = 1000

func timeOf(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(min(max(ageMs, 0), maxAge.Milliseconds())) * time.Millisecond)
}

// merge adds the report of another VM, and returns the blamed groups that it doesn't seem to know.
func (a *attribution) merge(now time.Time, from string, report Report) []BlameReport {
	if report.Answers > 0 {
		a.peerRates[from] = peerRate{report.Answers, now}
	}
	var unknown []BlameReport
	for _, crash := range report.Crashes {
		at := timeOf(now, crash.AgeMs)
		for _, key := range crash.Proven {
			if _, proven := a.begun.last(key); !proven {
				a.begun.set(key, at.Add(-time.Nanosecond))
			}
		}
		keys := sortedKeys(slices.Clone(crash.Keys))
		for _, b := range a.blames {
			if containsAll(keys, b.keys) {
				unknown = append(unknown, b.report(now))
			}
		}
		a.addCrash(timeOf(at, crash.RanMs), at, crash.Target, keys)
	}
	for _, b := range report.Blames {
		a.mergeBlame(now, b)
	}
	a.addBegun(now, report.Begun)
	return unknown
}

func (a *attribution) mergeBlame(now time.Time, report BlameReport) {
	keys := sortedKeys(slices.Clone(report.Keys))
	if len(keys) == 0 || report.Times <= 0 {
		return
	}
	report.Times = min(report.Times, maxBlames)
	crashedAt := timeOf(now, report.AgeMs)
	for _, key := range keys {
		if begun, known := a.begun.last(key); known && begun.After(crashedAt) {
			return
		}
	}
	hash := groupHash(keys)
	b := a.blames[hash]
	if b == nil {
		b = &blame{keys: keys}
		a.blames[hash] = b
		a.evictBlames()
	}
	if report.Times > b.times {
		a.extend(crashedAt, b, report.Times)
	}
	a.removeExplained(keys)
}

func (a *attribution) mergeStored(now time.Time, report BlameReport) {
	for _, key := range report.Keys {
		if _, proven := a.begun.last(key); proven {
			return
		}
	}
	if a.blames[report.ID()] == nil {
		a.mergeBlame(now, report)
	}
}

// allBlames returns all blamed groups, the least recently blamed first.
func (a *attribution) allBlames(now time.Time) []BlameReport {
	reports := make([]BlameReport, 0, len(a.blames))
	for _, b := range a.blames {
		reports = append(reports, b.report(now))
	}
	slices.SortFunc(reports, func(x, y BlameReport) int { return int(y.AgeMs - x.AgeMs) })
	return reports
}
