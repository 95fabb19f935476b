package scheduling

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/ratelimit"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// Messages between a VM that needs slots and the coordinator that grants them. Times are sent as durations
// relative to the time of sending, because the clocks of VMs differ.
//
// The coordinator's messages name the process of the request, because a process that starts again gets what was sent to its
// predecessor. Earlier builds name the request by its sequence number only.
const (
	methodSubmit    peer.Method = "slots.submit"
	methodRelease   peer.Method = "slots.release"
	methodReport    peer.Method = "slots.report"
	methodReportAck peer.Method = "slots.alive"
	methodQueued    peer.Method = "slots.queued"
	methodGrant     peer.Method = "slots.grant"
	methodRefuse    peer.Method = "slots.refuse"
	methodPreempt   peer.Method = "slots.yield"
	methodSilent    peer.Method = "slots.silent"
	methodLeaving   peer.Method = "slots.leaving"
	methodLoad      peer.Method = "slots.load"
	methodRateLimit peer.Method = "slots.ratelimit"
)

// submitMessage requests a slot, and is repeated until the coordinator responds.
type submitMessage struct {
	Ticket scheduler.Ticket `cbor:"1,keyasint"`
	Class  scheduler.Class  `cbor:"2,keyasint,omitempty"`
	// Service is the key of a group.
	Service          string        `cbor:"3,keyasint"`
	AvailabilityZone string        `cbor:"4,keyasint"`
	Tried            []string      `cbor:"5,keyasint,omitempty"`
	StartIn          time.Duration `cbor:"6,keyasint"`
	ExpiresIn        time.Duration `cbor:"7,keyasint"`
	Expected         time.Duration `cbor:"8,keyasint,omitempty"`
	Retry            bool          `cbor:"9,keyasint,omitempty"`
	RetryWithin      time.Duration `cbor:"10,keyasint,omitempty"`
	// Redirects is the number of coordinators that have sent the request to another group.
	Redirects int `cbor:"11,keyasint,omitempty"`
	// Version is the only version of targets' software that may run the request. Empty means any.
	Version string `cbor:"12,keyasint,omitempty"`
	// Resuming means that a refusal does not reach a client.
	Resuming bool `cbor:"13,keyasint,omitempty"`
	// RateLimits are the statements of the group's targets that the VM has received, which a new coordinator does not know.
	RateLimits []rateLimitMessage `cbor:"14,keyasint,omitempty"`
	// Account and Weight order the queue by client account, Priority ranks requests of one class.
	Account  string  `cbor:"15,keyasint,omitempty"`
	Weight   float64 `cbor:"16,keyasint,omitempty"`
	Priority int     `cbor:"17,keyasint,omitempty"`
	// Route, PromptTokens, OutputTokens and Prefix are what the cost of the request is estimated from.
	Route        string `cbor:"18,keyasint,omitempty"`
	PromptTokens int    `cbor:"19,keyasint,omitempty"`
	OutputTokens int    `cbor:"20,keyasint,omitempty"`
	Prefix       uint64 `cbor:"21,keyasint,omitempty"`
	// Interrupted means that the client has a part of the response.
	Interrupted bool `cbor:"22,keyasint,omitempty"`
	// AnswerIn is the time until the client's deadline. Zero means unknown.
	AnswerIn time.Duration `cbor:"23,keyasint,omitempty"`
}

func newSubmitMessage(now time.Time, r scheduler.Request, redirects int) submitMessage {
	answerIn := time.Duration(0)
	if !r.AnswerBy.IsZero() {
		answerIn = r.AnswerBy.Sub(now)
	}
	return submitMessage{
		Ticket:           r.Ticket,
		Class:            r.Class,
		Service:          r.Service,
		AvailabilityZone: r.AvailabilityZone,
		Tried:            r.Tried,
		StartIn:          r.StartBy.Sub(now),
		ExpiresIn:        r.Expires.Sub(now),
		Expected:         r.Expected,
		Retry:            r.Retry,
		RetryWithin:      r.RetryWithin,
		Redirects:        redirects,
		Version:          r.Version,
		Resuming:         r.Resuming,
		Interrupted:      r.Interrupted,
		AnswerIn:         answerIn,
		Account:          r.Account,
		Weight:           r.Weight,
		Priority:         r.Priority,
		Route:            r.Route,
		PromptTokens:     r.PromptTokens,
		OutputTokens:     r.OutputTokens,
		Prefix:           r.Prefix,
	}
}

func (m *submitMessage) request(now time.Time) scheduler.Request {
	var answerBy time.Time
	if m.AnswerIn != 0 {
		answerBy = now.Add(m.AnswerIn)
	}
	return scheduler.Request{
		Ticket:           m.Ticket,
		Class:            m.Class,
		Service:          m.Service,
		AvailabilityZone: m.AvailabilityZone,
		Tried:            m.Tried,
		StartBy:          now.Add(m.StartIn),
		Expires:          now.Add(m.ExpiresIn),
		Expected:         m.Expected,
		Retry:            m.Retry,
		RetryWithin:      m.RetryWithin,
		Version:          m.Version,
		Resuming:         m.Resuming,
		Interrupted:      m.Interrupted,
		AnswerBy:         answerBy,
		Account:          m.Account,
		Weight:           m.Weight,
		Priority:         m.Priority,
		Route:            m.Route,
		PromptTokens:     m.PromptTokens,
		OutputTokens:     m.OutputTokens,
		Prefix:           m.Prefix,
	}
}

// releaseMessage ends a run or withdraws a waiting request. If it is lost, the next report corrects the coordinator's
// state.
type releaseMessage struct {
	Ticket     scheduler.Ticket  `cbor:"1,keyasint"`
	Outcome    scheduler.Outcome `cbor:"2,keyasint,omitempty"`
	FirstEvent time.Duration     `cbor:"3,keyasint,omitempty"`
}

// silentMessage tells a coordinator that the target of a run has sent nothing for too long. If it is lost, the target keeps
// its health until the next run there.
type silentMessage struct {
	Ticket scheduler.Ticket `cbor:"1,keyasint"`
}

// reportMessage tells a coordinator the runs of a VM, and which of its items still wait there. The response is a
// reportAckMessage.
type reportMessage struct {
	VM    string          `cbor:"1,keyasint"`
	Runs  []scheduler.Run `cbor:"2,keyasint,omitempty"`
	Waits []uint64        `cbor:"3,keyasint,omitempty"`
	// RateLimits are the recent statements of the coordinator's targets that the VM has received.
	RateLimits []rateLimitMessage `cbor:"4,keyasint,omitempty"`
}

type reportAckMessage struct {
	// Unknown are the waits that the coordinator does not have.
	Unknown []uint64 `cbor:"1,keyasint,omitempty"`
	Process string   `cbor:"2,keyasint,omitempty"`
}

// ticketMessage is the payload of methodQueued and methodPreempt.
type ticketMessage struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Process  string `cbor:"2,keyasint,omitempty"`
}

func newTicketMessage(t scheduler.Ticket) ticketMessage {
	return ticketMessage{Sequence: t.Sequence, Process: t.VM}
}

// leavingMessage tells a coordinator that a target is leaving. If it is lost, the next grant of the target to the same VM
// is released with the outcome Draining.
type leavingMessage struct {
	Target           string `cbor:"1,keyasint"`
	StartedUnixMilli int64  `cbor:"2,keyasint,omitempty"`
}

// rateLimitMessage tells a coordinator how many requests a second a target states that it accepts. Zero means no limit. If it
// is lost, the next report has it.
type rateLimitMessage struct {
	Target    string        `cbor:"1,keyasint"`
	PerSecond float64       `cbor:"2,keyasint,omitempty"`
	Age       time.Duration `cbor:"3,keyasint,omitempty"`
}

func newRateLimitMessage(now time.Time, target string, s ratelimit.Statement) rateLimitMessage {
	return rateLimitMessage{Target: target, PerSecond: s.PerSecond, Age: now.Sub(s.At)}
}

func (m *rateLimitMessage) statement(now time.Time) ratelimit.Statement {
	return ratelimit.Statement{PerSecond: m.PerSecond, At: now.Add(-m.Age)}
}

type grantMessage struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Target   string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	// Group is the group of the target, which may differ from the one that the request was last sent to.
	Group string `cbor:"4,keyasint,omitempty"`
	// Version is the version of the target's software, as far as the coordinator knows.
	Version string `cbor:"5,keyasint,omitempty"`
	// RateLimit is what the coordinator knows of the target's rate limit, or nil if the target has none.
	RateLimit *rateLimitMessage `cbor:"6,keyasint,omitempty"`
	Process   string            `cbor:"7,keyasint,omitempty"`
}

type refuseMessage struct {
	Sequence   uint64           `cbor:"1,keyasint"`
	RetryAfter time.Duration    `cbor:"2,keyasint"`
	Reason     scheduler.Reason `cbor:"3,keyasint"`
	Ahead      int              `cbor:"4,keyasint,omitempty"`
	Slots      int              `cbor:"5,keyasint,omitempty"`
	// Group is the group that a redirected request is to be sent to.
	Group string `cbor:"6,keyasint,omitempty"`
	// Limited is the number of targets whose rate limits leave slots unused.
	Limited int    `cbor:"7,keyasint,omitempty"`
	Process string `cbor:"8,keyasint,omitempty"`
}

func newRedirectMessage(t scheduler.Ticket, key string) refuseMessage {
	return refuseMessage{Sequence: t.Sequence, Process: t.VM, Reason: scheduler.Redirected, Group: key}
}

// loadMessage tells the coordinators of a service's other groups the load of a group. A lost one is replaced by the next.
type loadMessage struct {
	Group   string `cbor:"1,keyasint"`
	Slots   int    `cbor:"2,keyasint"`
	Open    int    `cbor:"3,keyasint,omitempty"`
	Spare   int    `cbor:"4,keyasint,omitempty"`
	Waiting int    `cbor:"5,keyasint,omitempty"`
	Free    int    `cbor:"6,keyasint,omitempty"`
}
