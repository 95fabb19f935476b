package scheduler

import "time"

// Ticket names one request for a slot.
type Ticket struct {
	// VM is the VM that asks, in one start of its process.
	VM string `cbor:"1,keyasint"`
	// Sequence is unique within the VM's process.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Class says which requests go first.
type Class uint8

// Classes.
const (
	// Online requests have a client that waits.
	Online Class = iota
	// Item requests belong to batch jobs.
	Item
)

// Request asks for a slot.
type Request struct {
	Ticket           Ticket
	Class            Class
	Service          string
	AvailabilityZone string
	// Tried are IDs of targets that the request must not be sent to again.
	Tried []string
	// StartBy is when an online request has to start, and when the job of an item is due.
	StartBy time.Time
	// Expires is when an online request is not worth starting any more.
	Expires time.Time
	// Expected is how long an item is expected to hold its slot. Zero means unknown.
	Expected time.Duration
	// Returned says that an online request was refused before and came back.
	Returned bool
	// ReturnWithin is the longest time after which the client of an online request comes back. Zero means unknown.
	ReturnWithin time.Duration
}

// Slack is the time that an item may wait for a slot without missing its due time.
func (r Request) Slack(now time.Time) time.Duration { return r.StartBy.Sub(now) - r.Expected }

// Misses reports whether an item misses its due time even if it gets a slot now.
func (r Request) Misses(now time.Time) bool { return r.Slack(now) < 0 }

// Run is a run in progress, as the VM that carries it reports.
type Run struct {
	Sequence uint64        `cbor:"1,keyasint"`
	Class    Class         `cbor:"2,keyasint,omitempty"`
	Target   string        `cbor:"3,keyasint"`
	DueIn    time.Duration `cbor:"4,keyasint,omitempty"`
	Expected time.Duration `cbor:"5,keyasint,omitempty"`
}

// Outcome says how a run ended.
type Outcome uint8

// Outcomes.
const (
	// Finished runs ended with a whole answer.
	Finished Outcome = iota
	// Abandoned runs were given up by the client or yielded; they say nothing about the target.
	Abandoned
	// Unreachable targets took no connection.
	Unreachable
	// Refused runs were turned away by the target.
	Refused
	// Interrupted runs ended before their answer was whole.
	Interrupted
	// TimedOut targets sent nothing for too long.
	TimedOut
	// Replaced targets were found to be another process than the registered one.
	Replaced
	// Draining targets are known by the VM of the run to take no more work, and did not get it.
	Draining
)

// Action is an output of the scheduler.
type Action interface{ action() }

// Grant gives a slot to a request.
type Grant struct {
	Ticket  Ticket
	Target  string
	Address string
}

// Refuse turns a request away.
type Refuse struct {
	Ticket     Ticket
	RetryAfter time.Duration
	Reason     Reason
	// Ahead is the number of requests before it, and Slots what online requests could have.
	Ahead, Slots int
}

// Preempt takes a slot back from an item.
type Preempt struct{ Ticket Ticket }

func (Grant) action()   {}
func (Refuse) action()  {}
func (Preempt) action() {}

// Reason says why a request was refused.
type Reason string

// Reasons.
const (
	// NoTarget means that no target of the service can take requests.
	NoTarget Reason = "no_target_available"
	// NoRegistry means that the coordinator has not read the registry of targets yet, so that it cannot tell.
	NoRegistry Reason = "targets_not_read"
	// Overloaded means that the request could not have started in time.
	Overloaded Reason = "overloaded"
	// Late means that the request waited for longer than foreseen.
	Late Reason = "start_deadline_exceeded"
)
