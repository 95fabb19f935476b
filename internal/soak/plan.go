package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a kind of fault.
type Kind string

// Kinds of faults.
const (
	// Kill sends SIGKILL to a VM or target and starts it again after the fault's duration.
	Kill Kind = "kill"
	// KillAll kills all VMs at once.
	KillAll Kind = "kill_all"
	// Term stops a VM with SIGTERM. A target is marked as leaving, or removed from the registry, and exits some time later.
	Term Kind = "term"
	// Pause sends SIGSTOP, and SIGCONT after the duration.
	Pause Kind = "pause"
	// Replace restarts half of the targets at the other version.
	Replace Kind = "replace"
	// Release replaces targets by those of the other version, and kills some of these, while a VM is paused or cut off from the
	// store.
	Release Kind = "release"
	// Reset resets all connections of a link.
	Reset Kind = "reset"
	// Finish ends all connections of a link in one direction, as the kernel does for a killed process.
	Finish Kind = "finish"
	// Silence forwards nothing on a link, also on new connections. OneWay does so in one direction only.
	Silence Kind = "silence"
	OneWay  Kind = "one_way"
	// Delay delays what a link forwards.
	Delay Kind = "delay"
	// Slow, Down, Cut and LoseReplies are the faults of the same names of the platform's stand-in.
	Slow        Kind = "slow"
	Down        Kind = "down"
	Cut         Kind = "cut"
	LoseReplies Kind = "lose_replies"
)

// Subject names what a fault hits.
type Subject string

// Subjects. A link is that of the clients to a VM, of the VMs to a target, or of a VM to the store.
const (
	VM         Subject = "vm"
	Target     Subject = "target"
	ClientLink Subject = "client_link"
	TargetLink Subject = "target_link"
	StoreLink  Subject = "store_link"
	Store      Subject = "store"
)

var faults = map[Subject][]Kind{
	VM:         {Kill, Kill, Term, Term, Pause, KillAll},
	Target:     {Kill, Kill, Term, Pause, Replace},
	ClientLink: {Reset, Finish, Silence, OneWay, Delay},
	TargetLink: {Reset, Finish, Silence, OneWay, Delay},
	StoreLink:  {Reset, Finish, Silence, OneWay, Delay},
	Store:      {Slow, Down, Cut, LoseReplies, Pause},
}

// subjects lists the subjects by the frequency of their faults.
var subjects = []Subject{VM, VM, VM, Target, Target, Target, Target, ClientLink, ClientLink, TargetLink, TargetLink, StoreLink, Store}

// Fault is one fault of a plan.
type Fault struct {
	At, Duration time.Duration
	Subject      Subject
	Kind         Kind
	// Index is the number of the VM or target, and Direction that of a one-way fault: 0 is towards the server.
	Index, Direction int
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %s %d direction %d at %s for %s", f.Kind, f.Subject, f.Index, f.Direction, f.At, f.Duration)
}

const (
	// meanFaultGap and maxFaultTime make about three faults overlap.
	meanFaultGap = 450 * time.Millisecond
	maxFaultTime = 2 * time.Second
	// longFactor makes some faults outlast leases and the detection of lost VMs.
	longFactor = 4
	// seriesLength is the largest number of faults of one kind that follow each other at once.
	seriesLength = 4
)

// Plan returns the faults of a seed, in the order of their times.
func Plan(seed uint64, duration time.Duration, vms, targets int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(r.Int64N(int64(2 * meanFaultGap)))
		if at >= duration {
			break
		}
		subject := subjects[r.IntN(len(subjects))]
		kinds := faults[subject]
		f := Fault{At: at, Subject: subject, Kind: kinds[r.IntN(len(kinds))], Direction: r.IntN(2)}
		count := 1
		if r.IntN(4) == 0 {
			count += r.IntN(seriesLength)
		}
		for range count {
			f.Duration = 50*time.Millisecond + time.Duration(r.Int64N(int64(maxFaultTime)))
			if r.IntN(6) == 0 {
				f.Duration *= longFactor
			}
			f.Index = r.IntN(targets)
			if subject == VM || subject == ClientLink || subject == StoreLink {
				f.Index = r.IntN(vms)
			}
			plan = append(plan, f)
			f.At += time.Duration(r.Int64N(int64(300 * time.Millisecond)))
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// ReleasePlan returns a restart of all VMs, after which they know that a single version has served, and releases with a VM out of
// step, beside which others are killed.
func ReleasePlan(seed uint64, duration time.Duration, vms int) []Fault {
	const restart, first = 500 * time.Millisecond, 2 * time.Second
	r := rand.New(rand.NewPCG(seed, 1))
	plan := []Fault{{At: restart, Subject: VM, Kind: KillAll, Duration: 50 * time.Millisecond}}
	for at := first; at < duration-maxFaultTime; at += maxFaultTime + time.Duration(r.Int64N(int64(2*maxFaultTime))) {
		f := Fault{At: at, Subject: VM, Kind: Release, Index: r.IntN(vms), Direction: r.IntN(2), Duration: maxFaultTime/2 + time.Duration(r.Int64N(int64(maxFaultTime)))}
		killed := Fault{At: at + f.Duration/4 + time.Duration(r.Int64N(int64(f.Duration/2))), Subject: VM, Kind: Kill, Index: (f.Index + 1 + r.IntN(vms-1)) % vms, Duration: 50 * time.Millisecond}
		plan = append(plan, f, killed)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}
