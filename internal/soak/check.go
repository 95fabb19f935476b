package soak

import (
	"fmt"
	"net/http"
	"strings"
)

// Promise names a promise to clients.
type Promise string

// Promises that are checked.
const (
	// Order: the events of a stream or an item are complete, in order, and from runs that continue each other.
	Order Promise = "order"
	// Mixed: a response belongs to its request and has no bytes that are no part of it.
	Mixed Promise = "mixed"
	// Twice: a request that may run once only runs once, and a result is listed once.
	Twice Promise = "twice"
	// NotRun: a request that is rejected as not run has not run.
	NotRun Promise = "not_run"
	// Lost: an accepted job ends with a result for each item.
	Lost Promise = "lost"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	Message string
}

func (v Violation) String() string { return string(v.Promise) + ": " + v.Message }

type checker struct {
	events     int
	runs       map[string]Run
	byRequest  map[string][]Run
	violations []Violation
}

// Check returns the promises that a history breaks.
func Check(h History) []Violation {
	c := &checker{events: h.Events, runs: map[string]Run{}, byRequest: map[string][]Run{}}
	for _, r := range h.Runs {
		c.runs[runKey(r.Target, r.Run)] = r
		c.byRequest[r.Request] = append(c.byRequest[r.Request], r)
	}
	for _, s := range h.Streams {
		c.checkStream(s)
	}
	for _, j := range h.Jobs {
		c.checkJob(j)
	}
	return c.violations
}

func runKey(target string, run int) string { return fmt.Sprintf("%s/%d", target, run) }

func (c *checker) report(p Promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: p, Message: fmt.Sprintf(format, args...)})
}

func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (c *checker) checkStream(s Stream) {
	var text []Event
	for _, a := range s.Attempts {
		runs := c.byRequest[a.ID]
		if s.Route != Resumable && len(runs) > 1 {
			c.report(Twice, "request %s on %s ran %d times: %v", a.ID, s.Route, len(runs), runs)
		}
		if s.Route != Resumable && isRefusal(a.Status) && len(runs) > 0 {
			c.report(NotRun, "request %s was rejected with status %d and ran: %v", a.ID, a.Status, runs)
		}
		if a.Extra != "" {
			c.report(Mixed, "%.80q follows the response to %s", a.Extra, a.ID)
		}
		if a.Status != http.StatusOK {
			continue
		}
		for i, e := range a.Events {
			if e.Request != a.ID {
				c.report(Mixed, "event %d of %s belongs to request %s", e.ID, a.ID, e.Request)
			}
			if want := a.After + 1 + i; e.ID != want || e.Index != want {
				c.report(Order, "request %s after %d: event %d (%d in its data) where %d is due", a.ID, a.After, e.ID, e.Index, want)
			}
		}
		c.checkRuns(a.ID, a.Events)
		text = append(text, a.Events...)
		if a.Rest != "" && (a.Complete || !isPrefixOfEvent(a.Rest)) {
			c.report(Order, "request %s: %.80q is no event (complete: %t)", a.ID, a.Rest, a.Complete)
		}
		if last := a.After + len(a.Events); a.Complete && last != c.events-1 {
			c.report(Order, "request %s at %s after %d ended as complete after event %d of %d (half-closed: %t)", a.ID, a.VM, a.After, last, c.events, a.HalfClosed)
		}
	}
	if len(s.Attempts) > 0 {
		c.checkVersions(s.Attempts[0].ID, text)
	}
}

// isPrefixOfEvent reports whether a truncated event may begin like this.
func isPrefixOfEvent(rest string) bool {
	const begin = "id: "
	return strings.HasPrefix(rest, begin[:min(len(begin), len(rest))])
}

// checkRuns checks that each run whose events the text has was asked to continue where the text was.
func (c *checker) checkRuns(id string, events []Event) {
	previous := ""
	for _, e := range events {
		key := runKey(e.Target, e.Run)
		if key == previous {
			continue
		}
		previous = key
		if run, known := c.runs[key]; !known || run.Request != e.Request || run.After != e.ID-1 {
			c.report(Order, "request %s: event %d comes from run %s, which was sent %q after %d (known: %t)", id, e.ID, key, run.Request, run.After, known)
		}
	}
}

func (c *checker) checkVersions(id string, events []Event) {
	for i, e := range events {
		if e.Version != events[0].Version {
			c.report(Order, "stream %s: event %d is of version %s, event %d of version %s", id, events[i-1].ID, events[i-1].Version, e.ID, e.Version)
			return
		}
	}
}

func (c *checker) checkJob(j Job) {
	accepted, refused := false, len(j.Statuses) > 0
	for _, status := range j.Statuses {
		accepted = accepted || status == http.StatusAccepted
		refused = refused && isRefusal(status)
	}
	items := map[string]bool{}
	for i := range j.Items {
		id := fmt.Sprintf("%s-%d", j.ID, i)
		items[id] = true
		if runs := c.byRequest[id]; refused && len(runs) > 0 {
			c.report(NotRun, "item %s ran although its job was rejected: %v", id, runs)
		}
	}
	listed, positions := map[int]Result{}, map[string]int{}
	for _, r := range j.Reads {
		if r.Total != j.Items {
			c.report(Mixed, "job %s: total %d at %s, of %d items", j.ID, r.Total, r.VM, j.Items)
		}
		for i, result := range r.Results {
			position := r.After + i
			earlier, known := listed[position]
			listed[position] = result
			if known && earlier != result {
				c.report(Twice, "job %s: position %d was %.40v and is %.40v at %s", j.ID, position, earlier, result, r.VM)
			}
			if known {
				continue
			}
			if at, twice := positions[result.ID]; twice {
				c.report(Twice, "item %s is listed at positions %d and %d", result.ID, at, position)
			}
			positions[result.ID] = position
			if !items[result.ID] {
				c.report(Mixed, "job %s lists item %q of another job", j.ID, result.ID)
				continue
			}
			c.checkResult(result)
		}
	}
	if accepted && len(listed) != j.Items {
		c.report(Lost, "job %s was accepted and lists %d of %d items at its last read", j.ID, len(listed), j.Items)
	}
}

func (c *checker) checkResult(r Result) {
	if r.State != "completed" {
		c.report(Mixed, "item %s is listed as %s", r.ID, r.State)
		return
	}
	var events []Event
	for i, line := range strings.Split(r.Text, "\n") {
		e, err := parseData(line)
		if err != nil {
			c.report(Order, "item %s: %v", r.ID, err)
			return
		}
		if e.Request != r.ID {
			c.report(Mixed, "item %s has an event of %s", r.ID, e.Request)
		}
		if e.ID = e.Index; e.Index != i {
			c.report(Order, "item %s: event %d where %d is due", r.ID, e.Index, i)
		}
		events = append(events, e)
	}
	if len(events) != c.events {
		c.report(Order, "item %s is listed as completed with %d of %d events", r.ID, len(events), c.events)
	}
	c.checkRuns(r.ID, events)
	c.checkVersions(r.ID, events)
}
