// Package reach decides by which path a VM connects to a target, and whether a failed connection says something about the
// target or only about the VM's own path.
//
// A VM that is partitioned from targets may still reach other VMs, which can connect in its place. From inside such a VM a
// broken link looks like a dead target, so its own failures are evidence about its path until a VM whose links work finds the
// same.
//
// The package is pure: the time and the random source are passed in, and nothing blocks. It is not safe for concurrent use.
package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Direct is the path without another VM.
const Direct = ""

// Config configures Paths. Zero fields take their defaults.
type Config struct {
	// HedgeDelay is the time after which the next path is tried while the ones before have not connected: many round trips
	// between availability zones. Default 40 ms.
	HedgeDelay time.Duration
	// RecheckInterval is the time after which a path that failed is tried again. Default 500 ms.
	RecheckInterval time.Duration
	// MaxRelays is the number of other VMs that are tried for one connection. Default 4.
	MaxRelays int
}

// Attempt is one way to connect to a target. Later attempts are not needed once an earlier one has connected, and start at
// once when all earlier ones have failed.
type Attempt struct {
	// Via is the VM by way of which the target is reached, or Direct.
	Via   string
	After time.Duration
}

// Paths is what a VM knows of its paths to targets, which are named by their addresses.
type Paths struct {
	config Config
	random *rand.Rand
	// links are the direct paths that failed and have not worked since.
	links map[string]*link
	// relays are the other VMs that were tried lately.
	relays map[string]relay
	// connected is when a direct path last worked.
	connected time.Time
	// recheckAt is when the next direct path that did not fail itself is tried while the VM is cut off.
	recheckAt time.Time
}

type link struct {
	failedAt, recheckAt time.Time
}

type relay struct {
	at     time.Time
	worked bool
}

// New returns paths without any known failure.
func New(config Config, random *rand.Rand) *Paths {
	config.HedgeDelay = cmp.Or(config.HedgeDelay, 40*time.Millisecond)
	config.RecheckInterval = cmp.Or(config.RecheckInterval, 500*time.Millisecond)
	config.MaxRelays = cmp.Or(config.MaxRelays, 4)
	return &Paths{config: config, random: random, links: map[string]*link{}, relays: map[string]relay{}}
}

// Plan returns the attempts to connect to a target, of which the first one that succeeds is used. vms are the other live VMs.
func (p *Paths) Plan(now time.Time, target string, vms []string) []Attempt {
	order := p.rank(now, vms)
	var plan []Attempt
	switch {
	case len(vms) == 0 || !p.Broken(target):
		order = slices.Insert(order, 0, Direct)
	case p.takeRecheck(now, target):
		// Nothing waits for the recheck.
		plan = append(plan, Attempt{Via: Direct})
	}
	for i, via := range order {
		plan = append(plan, Attempt{Via: via, After: time.Duration(i) * p.config.HedgeDelay})
	}
	return plan
}

// SkipsDirect reports whether a direct connection in place of another VM is not worth trying now.
func (p *Paths) SkipsDirect(now time.Time, target string) bool {
	return p.Broken(target) && !p.takeRecheck(now, target)
}

// rank returns the VMs to try as relays: those that worked lately, then those that were not tried lately, then the others.
func (p *Paths) rank(now time.Time, vms []string) []string {
	class := func(vm string) int {
		r, known := p.relays[vm]
		switch {
		case !known || now.Sub(r.at) > p.config.RecheckInterval && !r.worked:
			return 1
		case r.worked:
			return 0
		default:
			return 2
		}
	}
	ranked := slices.Clone(vms)
	p.random.Shuffle(len(ranked), func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(class(a), class(b)) })
	return ranked[:min(len(ranked), p.config.MaxRelays)]
}

// takeRecheck reports whether the direct path to a target, which is believed to be broken, is to be tried again now.
func (p *Paths) takeRecheck(now time.Time, target string) bool {
	at := &p.recheckAt
	if l := p.links[target]; l != nil {
		at = &l.recheckAt
	}
	if now.Before(*at) {
		return false
	}
	*at = now.Add(p.config.RecheckInterval)
	return true
}

// Broken reports whether the direct path to a target is believed to be broken.
func (p *Paths) Broken(target string) bool {
	return p.links[target] != nil || p.CutOff()
}

// CutOff reports whether the VM has lost its direct paths to targets in general: two or more failed, and none worked since.
func (p *Paths) CutOff() bool { return p.failedSinceConnected("") >= 2 }

// failedSinceConnected returns the number of targets other than one whose direct paths have failed since any worked.
func (p *Paths) failedSinceConnected(except string) int {
	n := 0
	for target, l := range p.links {
		if target != except && l.failedAt.After(p.connected) {
			n++
		}
	}
	return n
}

// RecordConnected records that a direct path works.
func (p *Paths) RecordConnected(now time.Time, target string) {
	p.connected = now
	delete(p.links, target)
}

// RecordFailed records that a direct path failed, or was slower than a later attempt.
func (p *Paths) RecordFailed(now time.Time, target string) {
	p.links[target] = &link{failedAt: now, recheckAt: now.Add(p.config.RecheckInterval)}
}

// RelayResult is how another VM's attempt to connect in place of this one ended.
type RelayResult uint8

// Results of relays.
const (
	// RelayFailed means that the VM did not respond, or that its own paths are broken.
	RelayFailed RelayResult = iota
	// RelayConnected means that it connected.
	RelayConnected
	// RelayWitnessed means that it did not connect although its own paths work, which says nothing against the VM.
	RelayWitnessed
)

// RecordRelay records the result of a VM's attempt to connect in place of this one.
func (p *Paths) RecordRelay(now time.Time, vm string, result RelayResult) {
	if result != RelayWitnessed {
		p.relays[vm] = relay{at: now, worked: result == RelayConnected}
	}
}

// IsWitness reports whether what this VM sees of a target is evidence about the target: its paths to others have not failed.
func (p *Paths) IsWitness(target string) bool { return p.failedSinceConnected(target) == 0 }

// JudgeUnreachable decides what it means that no attempt connected to a target, given how many other VMs failed to connect that
// are witnesses, and how many others there are. It reports whether the target is to blame rather than the path.
func (p *Paths) JudgeUnreachable(target string, witnesses, vms int) bool {
	blamed := p.IsWitness(target) && (witnesses > 0 || vms == 0)
	if blamed {
		delete(p.links, target)
	}
	return blamed
}

// Retain forgets the targets and VMs that are gone.
func (p *Paths) Retain(targets, vms func(name string) bool) {
	for target := range p.links {
		if !targets(target) {
			delete(p.links, target)
		}
	}
	for vm := range p.relays {
		if !vms(vm) {
			delete(p.relays, vm)
		}
	}
}

// PathError means that a connection failed because of the VM's own path, or of the VM that relayed it. It says nothing about
// the target.
type PathError struct{ Cause error }

// Error implements error.
func (e *PathError) Error() string { return "path to the target is broken: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PathError) Unwrap() error { return e.Cause }
