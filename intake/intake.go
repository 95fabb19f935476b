// Package intake decides which clients a VM serves when they ask for more of its memory or its connections than there is.
//
// The package does no I/O. A client is one connection. What it costs the VM is the time for which it holds memory: a client that holds
// much and moves little costs the most, and is ended first. A client whose request is complete is never ended, because the request may
// have run. A client that asks for something gets it if clients that cost more than itself hold enough, and is refused otherwise.
package intake

import (
	"cmp"
	"slices"
	"time"
)

// ClientMemory returns how much of a VM's memory clients may hold, in the unit of its memory.
func ClientMemory(vm int64) int64 { return max(int64(clientShare*float64(vm)), 1) }

// LargestRequest returns how much one request may hold beside others, given the memory of all clients.
func LargestRequest(memory int64) int64 { return memory - int64(smallShare*float64(memory)) }

const (
	// MaxResponseBytes limits a target's response that is read as a whole, and MaxTextBytes the text of an item.
	MaxResponseBytes = 16 << 20
	MaxTextBytes     = 4 << 20
)

// ResponseMemory returns how much of a VM's memory the responses of targets may hold that are read as a whole, EventMemory how much
// the events of streams, and TextMemory how much the texts of items.
func ResponseMemory(vm int64) int64 { return int64(responseShare * float64(vm)) }

// EventMemory is described at ResponseMemory.
func EventMemory(vm int64) int64 { return int64(eventShare * float64(vm)) }

// TextMemory is described at ResponseMemory.
func TextMemory(vm int64) int64 { return int64(textShare * float64(vm)) }

// Phase is what a client does.
type Phase uint8

// Phases of a connection.
const (
	// Idle means that no request has begun.
	Idle Phase = iota
	// Head means that the head of a request arrives.
	Head
	// Body means that the body of a request arrives.
	Body
	// Running means that the request is complete.
	Running
	// Tunnel means that the connection carries one to a target.
	Tunnel
)

// String returns the phase for logs and metrics.
func (p Phase) String() string {
	return [...]string{"idle", "head", "body", "running", "tunnel"}[p]
}

const (
	// smallRequest is what an ordinary client holds at most. Clients that hold more leave smallShare of the memory to others.
	smallRequest = 128 << 10
	smallShare   = 0.25
	// newClientTime is how long a new client counts as one that receives newClientRate bytes per second at least.
	newClientTime = time.Second
	newClientRate = 64 << 10
	// leastRate is the least rate that counts, in bytes per second.
	leastRate = 1 << 10
	// clientShare is the share of a VM's memory that clients may hold.
	clientShare = 0.4
	// responseShare, eventShare and textShare are those for responses of targets, events of streams and texts of items.
	responseShare = 0.15
	eventShare    = 0.35
	textShare     = 0.05
	// SubmissionCopies is how many times its size a job takes while it is parsed and stored.
	SubmissionCopies = 5
	// retryAfter is when a refused client may come back: a client that stops is ended within this time.
	retryAfter = 500 * time.Millisecond
)

// Client is what one connection holds.
type Client struct {
	ID    uint64
	Phase Phase
	// Held is the memory that the client holds, in bytes.
	Held int64
	// Rate is the number of bytes per second that it has sent and accepted lately.
	Rate float64
	// Age is the time since the connection was opened or its request began.
	Age time.Duration
}

// Cost is how many seconds the client takes for what it holds, at its rate.
func (c Client) Cost() float64 {
	rate := max(c.Rate, leastRate)
	if c.Age < newClientTime {
		rate = max(rate, newClientRate)
	}
	return float64(c.Held) / rate
}

// Room is what all clients may hold together, and what they hold.
type Room struct {
	Memory, Held               int64
	Connections, ConnectionsIn int
}

// Demand is a client that asks for more memory, or for a connection.
type Demand struct {
	Client Client
	Bytes  int64
	// Connection means that the client is new.
	Connection bool
}

// Decision is the answer to a demand.
type Decision struct {
	Admit bool
	// End are the clients that are ended for it.
	End []uint64
	// RetryAfter is when a refused client may come back.
	RetryAfter time.Duration
}

// Fits reports whether there is room for a demand without ending a client.
func (r Room) Fits(d Demand) bool { return r.shortBytes(d) <= 0 && !r.shortOfConnections(d) }

// shortBytes returns how many bytes are missing. Whatever a client asks for, it may have once half of the memory is free.
func (r Room) shortBytes(d Demand) int64 {
	limit := r.Memory
	if d.Client.Held+d.Bytes > smallRequest {
		limit = LargestRequest(r.Memory)
	}
	return r.Held + min(d.Bytes, limit/2) - limit
}

func (r Room) shortOfConnections(d Demand) bool {
	return d.Connection && r.ConnectionsIn >= r.Connections
}

// Decide answers a demand, given all clients.
func Decide(room Room, clients []Client, d Demand) Decision {
	if room.Fits(d) {
		return Decision{Admit: true}
	}
	asking := d.Client
	asking.Held += d.Bytes
	cost := asking.Cost()
	candidates := slices.DeleteFunc(slices.Clone(clients), func(c Client) bool {
		return c.ID == d.Client.ID || c.Phase == Running || c.Cost() <= cost
	})
	slices.SortFunc(candidates, func(a, b Client) int {
		return cmp.Or(cmp.Compare(b.Cost(), a.Cost()), cmp.Compare(a.ID, b.ID))
	})
	missing, connection := room.shortBytes(d), room.shortOfConnections(d)
	decision := Decision{Admit: true}
	for _, c := range candidates {
		if missing <= 0 && !connection {
			break
		}
		decision.End = append(decision.End, c.ID)
		missing -= c.Held
		connection = false
	}
	if missing > 0 || connection {
		return Decision{RetryAfter: retryAfter}
	}
	return decision
}
