package dispatch

import "slices"

// Healthy keeps targets that may take new work.
type Healthy struct{}

// Keep implements Filter.
func (Healthy) Keep(_ Query, candidate Candidate) bool { return candidate.Healthy }

// NotTried drops targets that the request was sent to before.
type NotTried struct{}

// Keep implements Filter.
func (NotTried) Keep(query Query, candidate Candidate) bool {
	return !slices.Contains(query.Tried, candidate.Name)
}

// HasCredit keeps targets on which this VM may start a request now.
type HasCredit struct{}

// Keep implements Filter.
func (HasCredit) Keep(_ Query, candidate Candidate) bool { return candidate.Free > 0 }
