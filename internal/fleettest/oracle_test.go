package fleettest

import "fmt"

// outcome is the outcome of a job.
type outcome struct {
	// completed and failed hold the results by custom_id.
	completed, failed map[string][]result
	// runs returns how often targets started a request with this prompt.
	runs func(prompt string) int
}

// violations is the oracle. It returns the violations of these rules: every item has exactly one result; an
// idempotent item completes, with the full completion of its own prompt; an item that is not idempotent runs at most
// once and may fail.
func (o outcome) violations(items int) []string {
	var found []string
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for i := range items {
		name := customID(i)
		if n := len(o.completed[name]) + len(o.failed[name]); n != 1 {
			report("%s has %d results", name, n)
		}
		if idempotent(i) && len(o.failed[name]) > 0 {
			report("%s is idempotent and failed", name)
		}
		if n := o.runs(prompt(i)); !idempotent(i) && n > 1 {
			report("%s is not idempotent and ran %d times", name, n)
		}
		for _, r := range o.completed[name] {
			if got := r.text(); got != expectedCompletion(prompt(i)) {
				report("%s has the text %q", name, got)
			}
		}
	}
	if n := len(o.completed) + len(o.failed); n > items {
		report("there are results of %d items", n)
	}
	return found
}

// text returns the completion, or "" if there is none.
func (r result) text() string {
	if choices := r.Response.Body.Choices; len(choices) == 1 {
		return choices[0].Message.Content
	}
	return ""
}
