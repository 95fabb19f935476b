package scheduler

import (
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/ratelimit"
)

// Ticket identifies a request for a slot.
type Ticket struct {
	// VM identifies the process of the VM that requests the slot. A restarted process has another name.
	VM string `cbor:"1,keyasint"`
	// Sequence is unique within the VM's process.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Class is the priority class of a request.
type Class uint8

// Classes.
const (
	// Online requests have a client that waits for the response.
	Online Class = iota
	// Item requests are items of batch jobs.
	Item
)

// Request is a request for a slot.
type Request struct {
	Ticket           Ticket
	Class            Class
	Service          string
	AvailabilityZone string
	// Tried are the IDs of targets that the request must not be sent to again.
	Tried []string
	// Version is the only version of targets' software that the request may be sent to, because that began its stream.
	// Empty means any.
	Version string
	// StartBy is the start deadline of an online request, and the due time of an item's job.
	StartBy time.Time
	// Expires is when an online request is no longer worth starting.
	Expires time.Time
	// AnswerBy is the deadline of the client of an online request. A client that was refused before is rather answered late than
	// never, and may wait longer than until Expires. Zero means unknown.
	AnswerBy time.Time
	// Expected is the expected slot time of an item. Zero means unknown.
	Expected time.Duration
	// Retry marks an online request that was refused before.
	Retry bool
	// Resuming marks an online request that a target has begun to run. A refusal does not reach its client, so that no retry
	// of the client is expected.
	Resuming bool
	// Interrupted marks an online request whose client has a part of the response, from this attempt or an earlier one.
	Interrupted bool
	// RetryWithin is the longest delay after which the client of an online request still retries. Zero means unknown.
	RetryWithin time.Duration
	// Account is the name of the client account, or empty, and Weight its share of contended slots. Zero means 1.
	Account string
	Weight  float64
	// Priority ranks requests of one class. Zero is the highest.
	Priority int
	// Route is the name of the route.
	Route string
	// PromptTokens is the length of the prompt and OutputTokens the maximum length of the output. Zero means unknown.
	PromptTokens, OutputTokens int
	// Prefix identifies the part of the prompt that other requests share. Zero means that there is none.
	Prefix uint64
}

// mayUse reports whether the request may be sent to a target, whatever the target's state.
func (r Request) mayUse(t *targetState) bool {
	return t.runsVersion(r.Version) && !slices.Contains(r.Tried, t.ID)
}

// Slack returns how long an item may wait for a slot without missing its due time.
func (r Request) Slack(now time.Time) time.Duration { return r.StartBy.Sub(now) - r.Expected }

// MissesDueTime reports whether an item misses its due time even if it gets a slot now.
func (r Request) MissesDueTime(now time.Time) bool { return r.Slack(now) < 0 }

// Run is a run in progress, as reported by its VM.
type Run struct {
	Sequence uint64        `cbor:"1,keyasint"`
	Class    Class         `cbor:"2,keyasint,omitempty"`
	Target   string        `cbor:"3,keyasint"`
	DueIn    time.Duration `cbor:"4,keyasint,omitempty"`
	Expected time.Duration `cbor:"5,keyasint,omitempty"`
	// Age is the time since the grant, and the other fields are those of the request. They are stated where targets are chosen by
	// cost; without them a run counts as begun when it is first reported, and as one of unknown size.
	Age          time.Duration `cbor:"6,keyasint,omitempty"`
	PromptTokens int           `cbor:"7,keyasint,omitempty"`
	OutputTokens int           `cbor:"8,keyasint,omitempty"`
	Route        string        `cbor:"9,keyasint,omitempty"`
	Prefix       uint64        `cbor:"10,keyasint,omitempty"`
	Account      string        `cbor:"11,keyasint,omitempty"`
}

// Outcome is how a run ended.
type Outcome uint8

// Outcomes.
const (
	// Finished runs ended with a complete response.
	Finished Outcome = iota
	// Abandoned runs were cancelled by the client or preempted; they say nothing about the target.
	Abandoned
	// Unreachable targets accepted no connection.
	Unreachable
	// Refused runs were rejected by the target.
	Refused
	// Interrupted runs ended before their response was complete.
	Interrupted
	// TimedOut runs were cancelled because the target sent nothing for too long.
	TimedOut
	// Replaced targets turned out to be another process than the registered one.
	Replaced
	// Draining targets are known to the VM of the run to take no new requests, and were not sent this one.
	Draining
)

// Action is an output of the scheduler.
type Action interface{ action() }

// Grant gives a slot to a request.
type Grant struct {
	Ticket  Ticket
	Target  string
	Address string
	// Version is the version of the target's software.
	Version string
	// RateLimit is the last known statement of the target's rate limit.
	RateLimit ratelimit.Statement
}

// Refuse rejects a request.
type Refuse struct {
	Ticket     Ticket
	RetryAfter time.Duration
	Reason     Reason
	// Ahead is the number of requests ahead in the queue, and Slots the number of slots that online requests can use.
	Ahead, Slots int
	// Limited is the number of targets whose rate limits leave slots unused.
	Limited int
}

// Preempt tells an item to release its slot.
type Preempt struct{ Ticket Ticket }

// Ejection reports that the health of a target changed by what a VM saw of it, so that it takes no new requests until a probe
// succeeds.
type Ejection struct {
	Target, VM, Reason string
	// Usable is the number of targets of its group that still take requests.
	Usable int
}

func (Ejection) action() {}
func (Grant) action()    {}
func (Refuse) action()   {}
func (Preempt) action()  {}

// Reason is why a request was refused.
type Reason string

// Reasons.
const (
	// NoTarget means that no target of the service can take requests.
	NoTarget Reason = "no_target_available"
	// NoRegistry means that the coordinator has not read the registry of targets yet and cannot decide.
	NoRegistry Reason = "targets_not_read"
	// VersionGone means that no target of the request's version takes new runs any more.
	VersionGone Reason = "version_gone"
	// Redirected means that another coordinator has free slots; the request is sent there.
	Redirected Reason = "redirected"
	// Overloaded means that the request could not have started in time.
	Overloaded Reason = "overloaded"
	// StartDeadlineExceeded means that the request waited longer than estimated.
	StartDeadlineExceeded Reason = "start_deadline_exceeded"
)
