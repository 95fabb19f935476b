// Package ratelimit keeps the requests to a target within the rate limit that the target states in its responses.
//
// A target states how many requests a second it accepts from all VMs together, and each response brings the statement to
// one VM only. Statements carries them between VMs, and a Limiter applies the newest one to the requests of all of them.
//
// The package is pure: the time is passed in, and nothing blocks. It is not safe for concurrent use.
package ratelimit

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Statement is what a target states about its rate limit at a moment.
type Statement struct {
	// PerSecond is the number of requests a second that the target accepts from all VMs together. Zero means no limit.
	PerSecond float64
	// At is when the VM that received the response got it.
	At time.Time
}

// overrides reports whether a statement replaces another one about the same target.
func (s Statement) overrides(other Statement) bool { return s.At.After(other.At) }

// statementMemory is how long a VM remembers a statement. A new coordinator of the target is told by the VMs that do; one
// that is out of date holds only until the target's next response.
const statementMemory = time.Minute

// Statements are the statements that one VM has received, by target. Targets that never stated a limit have none.
type Statements struct {
	byTarget map[string]Statement
}

// NewStatements returns an empty set.
func NewStatements() *Statements { return &Statements{byTarget: map[string]Statement{}} }

// Record records a statement, and reports whether the limit changed.
func (s *Statements) Record(target string, statement Statement) (changed bool) {
	previous, known := s.byTarget[target]
	if !known && statement.PerSecond == 0 || !statement.overrides(previous) {
		return false
	}
	s.byTarget[target] = statement
	return previous.PerSecond != statement.PerSecond
}

// Of returns the statement of a target, and whether there is one.
func (s *Statements) Of(target string) (Statement, bool) {
	statement, known := s.byTarget[target]
	return statement, known
}

// Forget drops the statements of a target, whose process has ended.
func (s *Statements) Forget(target string) { delete(s.byTarget, target) }

// Recent drops old statements, and returns the targets of the others, with the newest statement first.
func (s *Statements) Recent(now time.Time) []string {
	maps.DeleteFunc(s.byTarget, func(_ string, statement Statement) bool { return now.Sub(statement.At) > statementMemory })
	targets := slices.Collect(maps.Keys(s.byTarget))
	slices.SortFunc(targets, func(a, b string) int {
		if byTime := s.byTarget[b].At.Compare(s.byTarget[a].At); byTime != 0 {
			return byTime
		}
		return strings.Compare(a, b)
	})
	return targets
}
