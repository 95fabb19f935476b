package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// The users' service-level objectives.
const (
	// MaxFirstTokenRatio is the maximum 99th percentile of the time to the first token, relative to OnlineOnly.
	MaxFirstTokenRatio = 1.05
	// MinIdleShare is the minimum share of the capacity left idle by online requests that batch work must use.
	MinIdleShare = 0.90
)

// Comparison holds the results of all policies for one profile and one seed.
type Comparison struct {
	Profile string   `json:"profile"`
	Seed    uint64   `json:"seed"`
	Faults  bool     `json:"faults"`
	Results []Result `json:"results"`
}

// result returns the result of a policy, or the zero Result if the policy was not run.
func (c Comparison) result(p Policy) Result {
	for _, r := range c.Results {
		if r.Policy == p {
			return r
		}
	}
	return Result{}
}

// FirstTokenRatio returns the policy's 99th percentile of the time to the first token, relative to OnlineOnly.
func (c Comparison) FirstTokenRatio(p Policy) float64 {
	return c.result(p).FirstToken.P99 / c.result(OnlineOnly).FirstToken.P99
}

// BatchShare returns the policy's batch tokens per second, relative to BatchOnly.
func (c Comparison) BatchShare(p Policy) float64 {
	return c.result(p).BatchTokensPerSecond / c.result(BatchOnly).BatchTokensPerSecond
}

// IdleShare returns the policy's batch tokens per second, relative to what the slots left idle by online
// requests would yield.
func (c Comparison) IdleShare(p Policy) float64 {
	return c.BatchShare(p) / (1 - c.result(OnlineOnly).OnlineShare)
}

// Report holds comparisons of several profiles.
type Report struct {
	Comparisons []Comparison `json:"comparisons"`
}

// WriteFile writes the report as JSON.
func (r Report) WriteFile(path string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(content, '\n'), 0o644)
}

// ReadFile reads a report written by WriteFile.
func ReadFile(path string) (Report, error) {
	var r Report
	content, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(content, &r)
}

// WriteTable writes the report as a text table with one row per policy.
func (r Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, c := range r.Comparisons {
		fmt.Fprintf(w, "%s, seed %d, faults %t\n", c.Profile, c.Seed, c.Faults)
		fmt.Fprintln(w, "policy\tfirst token p50\tp99\tp99.9\tp99 / alone\tgap p95\tbatch items/s\tshare of batch alone\tshare of idle\tpreempted\trefused\trefused after p99\tlate\tfailed")
		for _, p := range c.Results {
			fmt.Fprintf(w, "%s\t%.0f ms\t%.0f ms\t%.0f ms\t%.2f\t%.1f ms\t%.1f\t%.2f\t%.2f\t%d\t%d\t%.0f ms\t%d\t%d\n",
				p.Policy, p.FirstToken.P50, p.FirstToken.P99, p.FirstToken.P999, c.FirstTokenRatio(p.Policy), p.TokenGap.P95,
				p.BatchItemsPerSecond, c.BatchShare(p.Policy), c.IdleShare(p.Policy), p.Batch.Preemptions,
				p.Refused, p.RefusedAfter.P99, p.Late, p.Failed)
		}
	}
	return w.Flush()
}
