// Package connreuse decides which idle connections to targets are kept, used and closed.
//
// It addresses the load of a deployment where opening a connection is expensive and where targets and paths are faulty: idle
// connections are closed by the target, go silent without a reset, or bring bytes that nobody asked for. A request that is
// lost with its connection can't be sent again unless it may run twice.
//
// The package is pure: the time is passed in, and nothing blocks. The time must go on while the VM is frozen, since the idle
// timeouts of targets do. Connections are opaque. It is not safe for concurrent use.
package connreuse

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxIdle is how long a connection is kept without use, whatever the target states. Connection tracking on network
	// paths commonly forgets connections from a minute on.
	maxIdle = 30 * time.Second
	// unstatedIdle is the assumed idle timeout of a target that states none: the shortest common default of HTTP servers.
	unstatedIdle = 5 * time.Second
	// onceIdle is the longest time without use after which a connection still gets a request that may run only once. It
	// bounds what such requests lose when open connections go silent, and is far below usual idle timeouts.
	onceIdle = time.Second
	// marginShare and minMargin are subtracted from an idle timeout. The target counts from when it sent the end of the
	// response, and the next request has to arrive before it closes the connection.
	marginShare = 4
	minMargin   = 500 * time.Millisecond
	// maxUses is the number of requests after which a connection is closed. It bounds the memory for the IDs of the requests
	// that it served.
	maxUses = 128
)

// Cause is why a connection is closed instead of kept.
type Cause string

// Causes.
const (
	// Expired connections have been idle for too long, or served the maximum number of requests.
	Expired Cause = "expired"
	// Surplus connections exceed the VM's share.
	Surplus Cause = "over_share"
	// Gone connections led to a target that has left, was removed, or started again.
	Gone Cause = "target_gone"
	// Asked means that the target sent Connection: close, or a response that ends with its connection.
	Asked Cause = "target_asked"
	// Status means that the target responded with a failure or not as the intended target.
	Status Cause = "failure_status"
	// Failed means that the request failed, was cancelled, or that its response was not read to the end.
	Failed Cause = "failed"
	// Silent means that a request got no response in time, so that the target's idle connections may be dead too.
	Silent Cause = "silent"
	// ExtraBytes means that the target sent bytes that are not part of a response.
	ExtraBytes Cause = "extra_bytes"
	// LateResponse means that the target sent another response to an earlier request.
	LateResponse Cause = "late_response"
	// ClosedByTarget means that the target closed or reset the idle connection.
	ClosedByTarget Cause = "closed_by_target"
	// Relayed connections lead by way of another VM.
	Relayed Cause = "relayed"
	// Shutdown means that the process stops.
	Shutdown Cause = "shutdown"
)

// Causes lists all causes.
var Causes = []Cause{Expired, Surplus, Gone, Asked, Status, Failed, Silent, ExtraBytes, LateResponse, ClosedByTarget, Relayed, Shutdown}

// Target is one start of a target.
type Target struct {
	ID               string
	Address          string
	StartedUnixMilli int64
	Service          string
	// Leaving targets keep no connections.
	Leaving bool
}

// Share returns how many connections to a target one VM may have.
func Share(maxConns, liveVMs int) int {
	if maxConns <= 0 {
		return 0
	}
	return max(maxConns/max(liveVMs, 1), 1)
}

// IdleTimeout returns for how long a connection may be used after a response with this header. Zero means not at all.
func IdleTimeout(header http.Header) time.Duration {
	timeout, stated := unstatedIdle, false
	for _, line := range header.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(parameter, "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 32)
			if err != nil {
				return 0
			}
			if d := time.Duration(seconds) * time.Second; !stated || d < timeout {
				timeout, stated = d, true
			}
		}
	}
	return min(max(timeout-max(timeout/marginShare, minMargin), 0), maxIdle)
}

// Request is what matters about a request for the choice of its connection.
type Request struct {
	Target, Address, ID string
	// Once means that the request can't be sent again if it is lost with its connection.
	Once bool
	// Share is how many connections the VM may have to the target. Zero means that none is kept.
	Share int
}

// Conn is a connection to a target, in use or idle.
type Conn[C any] struct {
	Handle    C
	host      *host[C]
	served    []string
	idleSince time.Time
	expires   time.Time
}

// Served reports whether the connection carried a request with this ID.
func (c *Conn[C]) Served(id string) bool { return slices.Contains(c.served, id) }

// Closed is a connection that has to be closed.
type Closed[C any] struct {
	Handle C
	Cause  Cause
}

// host is one start of a target. Connections to an earlier start point to another host and are not kept.
type host[C any] struct {
	target Target
	// gone means that no connection is kept any more.
	gone  bool
	inUse int
	// idle is ordered by the time of the last use.
	idle []*Conn[C]
}

// Pool holds the idle connections of one VM to all targets.
type Pool[C any] struct {
	hosts map[string]*host[C]
	idle  int
	shut  bool
}

// New returns a pool without targets.
func New[C any]() *Pool[C] { return &Pool[C]{hosts: map[string]*host[C]{}} }

// Idle returns the number of idle connections.
func (p *Pool[C]) Idle() int { return p.idle }

// SetTargets sets the registered targets, and returns the connections to those that are gone. If several targets are registered
// at an address, the one that started last has it.
func (p *Pool[C]) SetTargets(targets []Target) []Closed[C] {
	owners := make(map[string]Target, len(targets))
	for _, t := range targets {
		if owner, taken := owners[t.Address]; !taken || t.StartedUnixMilli > owner.StartedUnixMilli {
			owners[t.Address] = t
		}
	}
	fresh := make(map[string]*host[C], len(targets))
	for _, t := range owners {
		old := p.hosts[t.ID]
		if old == nil || old.target.Address != t.Address || old.target.StartedUnixMilli != t.StartedUnixMilli {
			fresh[t.ID] = &host[C]{target: t, gone: t.Leaving || p.shut}
			continue
		}
		old.target = t
		old.gone = old.gone || t.Leaving
		fresh[t.ID] = old
	}
	var closed []Closed[C]
	for id, h := range p.hosts {
		h.gone = h.gone || fresh[id] != h
		if h.gone {
			closed = p.drop(closed, h, len(h.idle), Gone)
		}
	}
	p.hosts = fresh
	return closed
}

// Leave records that a target is leaving. It holds until the target starts again.
func (p *Pool[C]) Leave(id string) []Closed[C] {
	h := p.hosts[id]
	if h == nil {
		return nil
	}
	h.gone = true
	return p.drop(nil, h, len(h.idle), Gone)
}

// CloseIdle returns the idle connections to the target with an ID or address.
func (p *Pool[C]) CloseIdle(idOrAddress string, cause Cause) (closed []Closed[C]) {
	if h := p.hosts[idOrAddress]; h != nil {
		return p.drop(nil, h, len(h.idle), cause)
	}
	for _, h := range p.hosts {
		if h.target.Address == idOrAddress {
			closed = p.drop(closed, h, len(h.idle), cause)
		}
	}
	return closed
}

// Shutdown returns all idle connections. None is kept any more.
func (p *Pool[C]) Shutdown() (closed []Closed[C]) {
	p.shut = true
	for _, h := range p.hosts {
		h.gone = true
		closed = p.drop(closed, h, len(h.idle), Shutdown)
	}
	return closed
}

// drop takes the longest idle connections of a host out of the pool.
func (p *Pool[C]) drop(closed []Closed[C], h *host[C], n int, cause Cause) []Closed[C] {
	n = min(max(n, 0), len(h.idle))
	for _, c := range h.idle[:n] {
		closed = append(closed, Closed[C]{c.Handle, cause})
	}
	h.idle = slices.Delete(h.idle, 0, n)
	p.idle -= n
	return closed
}

// Take begins a request. It returns an idle connection to use, whose state the caller has to check, or a Conn without a handle
// for which the caller opens a connection, with fresh set. Either has to be released with End. It returns nil if no connection
// to the target is kept, so that this package does not apply to the request.
func (p *Pool[C]) Take(now time.Time, r Request) (conn *Conn[C], fresh bool, closed []Closed[C]) {
	h := p.hosts[r.Target]
	if h == nil || h.target.Address != r.Address {
		return nil, false, nil
	}
	if h.gone || r.Share <= 0 {
		return nil, false, p.drop(nil, h, len(h.idle), Surplus)
	}
	closed = p.expire(now, h, closed)
	closed = p.drop(closed, h, len(h.idle)+h.inUse-r.Share, Surplus)
	h.inUse++
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		// A late second response can't be told from the response to a request with the same ID.
		if c.Served(r.ID) || r.Once && now.Sub(c.idleSince) > onceIdle {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		p.idle--
		c.served = append(c.served, r.ID)
		return c, false, closed
	}
	closed = p.drop(closed, h, len(h.idle)+h.inUse-r.Share, Surplus)
	return &Conn[C]{host: h, served: []string{r.ID}}, true, closed
}

func (p *Pool[C]) expire(now time.Time, h *host[C], closed []Closed[C]) []Closed[C] {
	h.idle = slices.DeleteFunc(h.idle, func(c *Conn[C]) bool {
		// A clock that went back says nothing about how long the connection was idle.
		expired := !now.Before(c.expires) || now.Before(c.idleSince)
		if expired {
			closed = append(closed, Closed[C]{c.Handle, Expired})
			p.idle--
		}
		return expired
	})
	return closed
}

// End is how a request on a connection ended.
type End struct {
	// Cause is why the connection may not be kept, or empty.
	Cause Cause
	// IdleTimeout is for how long the target keeps the connection open (function IdleTimeout).
	IdleTimeout time.Duration
	Share       int
}

// End ends a request and keeps its connection or returns why it has to be closed, along with others that exceed the share.
func (p *Pool[C]) End(now time.Time, c *Conn[C], end End) (cause Cause, closed []Closed[C]) {
	h := c.host
	h.inUse--
	switch {
	case end.Cause != "":
		return end.Cause, nil
	case p.shut:
		return Shutdown, nil
	case h.gone:
		return Gone, nil
	case end.IdleTimeout <= 0 || len(c.served) >= maxUses:
		return Expired, nil
	case h.inUse >= end.Share:
		return Surplus, nil
	}
	closed = p.drop(nil, h, len(h.idle)+h.inUse+1-end.Share, Surplus)
	c.idleSince, c.expires = now, now.Add(end.IdleTimeout)
	h.idle = append(h.idle, c)
	p.idle++
	return "", closed
}

// Sweep returns the idle connections that have expired, exceed the share of a service, or are found closed by the check, which
// returns a cause for these.
func (p *Pool[C]) Sweep(now time.Time, share func(service string) int, check func(C) Cause) (closed []Closed[C]) {
	for _, h := range p.hosts {
		if len(h.idle) == 0 {
			continue
		}
		closed = p.expire(now, h, closed)
		h.idle = slices.DeleteFunc(h.idle, func(c *Conn[C]) bool {
			cause := check(c.Handle)
			if cause != "" {
				closed = append(closed, Closed[C]{c.Handle, cause})
				p.idle--
			}
			return cause != ""
		})
		closed = p.drop(closed, h, len(h.idle)+h.inUse-share(h.target.Service), Surplus)
	}
	return closed
}
