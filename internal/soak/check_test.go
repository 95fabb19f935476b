package soak_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/soak"
)

// events returns events that a target sends for a request.
func events(request string, from, to int, version, target string, run int) []soak.Event {
	var list []soak.Event
	for i := from; i < to; i++ {
		list = append(list, soak.Event{ID: i, Request: request, Index: i, Version: version, Target: target, Run: run})
	}
	return list
}

func text(list []soak.Event) string {
	var lines []string
	for _, e := range list {
		lines = append(lines, fmt.Sprintf("%s-%d %s %s %d", e.Request, e.Index, e.Version, e.Target, e.Run))
	}
	return strings.Join(lines, "\n")
}

// trueHistory returns a stream that its client resumed, a request that may run once only, and a job of two items. The second run
// of the second item continues the first.
func trueHistory() soak.History {
	first := append(events("j-1", 0, 2, "v1", "t1", 4), events("j-1", 2, 4, "v1", "t2", 2)...)
	results := []soak.Result{{"j-0", "completed", text(events("j-0", 0, 4, "v2", "t3", 1))}, {"j-1", "completed", text(first)}}
	return soak.History{
		Events: 4,
		Streams: []soak.Stream{
			{Route: soak.Resumable, Attempts: []soak.Attempt{
				{ID: "a", After: -1, Status: 200, Events: events("a", 0, 2, "v1", "t1", 1), Rest: "id: 2\nda", Error: "unexpected EOF"},
				{ID: "b", After: 1, Status: 503},
				{ID: "c", After: 1, Status: 200, Events: events("c", 2, 4, "v1", "t2", 1), Complete: true},
			}},
			{Route: soak.NonIdempotent, Attempts: []soak.Attempt{
				{ID: "d", After: -1, Status: 503},
				{ID: "e", After: -1, Status: 200, Events: events("e", 0, 4, "v1", "t1", 2), Complete: true},
			}},
		},
		Jobs: []soak.Job{{ID: "j", Items: 2, Statuses: []int{503, 202}, Reads: []soak.Read{
			{Total: 2, Results: results[:1]}, {Total: 2, Results: results}, {After: 1, Total: 2, Results: results[1:]},
		}}},
		Runs: []soak.Run{
			{"t1", 1, "a", -1}, {"t2", 1, "c", 1}, {"t1", 2, "e", -1},
			{"t3", 1, "j-0", -1}, {"t1", 4, "j-1", -1}, {"t2", 2, "j-1", 1},
		},
	}
}

func TestTrueHistoryIsAccepted(t *testing.T) {
	qt.Assert(t, soak.Check(trueHistory()), qt.HasLen, 0)
}

func TestFalseHistoriesAreRejected(t *testing.T) {
	result := func(h *soak.History) *soak.Result { return &h.Jobs[0].Reads[1].Results[1] }
	for _, test := range []struct {
		name    string
		promise soak.Promise
		falsify func(h *soak.History, stream []soak.Attempt)
	}{
		{"an event is missing", soak.Order, func(_ *soak.History, s []soak.Attempt) { s[2].Events = s[2].Events[1:] }},
		{"an event comes twice", soak.Order, func(_ *soak.History, s []soak.Attempt) {
			s[0].Events = append(s[0].Events, s[0].Events[1])
		}},
		{"a stream ends as complete too early", soak.Order, func(_ *soak.History, s []soak.Attempt) { s[2].Events = s[2].Events[:1] }},
		{"a stream ends as complete within an event", soak.Order, func(_ *soak.History, s []soak.Attempt) { s[0].Complete = true }},
		{"an error's text follows events", soak.Order, func(_ *soak.History, s []soak.Attempt) { s[0].Rest = "HTTP/1.1 500" }},
		{"a stream goes on at another version", soak.Order, func(_ *soak.History, s []soak.Attempt) {
			s[2].Events = events("c", 2, 4, "v2", "t2", 1)
		}},
		{"a run goes on that began elsewhere", soak.Order, func(h *soak.History, _ []soak.Attempt) { h.Runs[1].After = 0 }},
		{"events of an unknown run", soak.Order, func(h *soak.History, _ []soak.Attempt) { h.Runs = h.Runs[1:] }},
		{"events of another request", soak.Mixed, func(_ *soak.History, s []soak.Attempt) { s[2].Events[0].Request = "z" }},
		{"bytes after a response", soak.Mixed, func(_ *soak.History, s []soak.Attempt) { s[2].Extra = "HTTP" }},
		{"a request runs twice", soak.Twice, func(h *soak.History, _ []soak.Attempt) {
			h.Runs = append(h.Runs, soak.Run{"t9", 1, "e", -1})
		}},
		{"a rejected request ran", soak.NotRun, func(h *soak.History, _ []soak.Attempt) {
			h.Runs = append(h.Runs, soak.Run{"t9", 1, "d", -1})
		}},
		{"an item of a rejected job ran", soak.NotRun, func(h *soak.History, _ []soak.Attempt) {
			h.Jobs[0].Statuses = []int{503, 503}
		}},
		{"an item's text is truncated", soak.Order, func(h *soak.History, _ []soak.Attempt) {
			result(h).Text = text(events("j-1", 0, 2, "v1", "t1", 4))
		}},
		{"an item's text goes on with a new run", soak.Order, func(h *soak.History, _ []soak.Attempt) { h.Runs[5].After = -1 }},
		{"an item's text joins two versions", soak.Order, func(h *soak.History, _ []soak.Attempt) {
			result(h).Text = strings.Replace(result(h).Text, "v1 t2", "v2 t2", 2)
		}},
		{"an item has the text of another one", soak.Mixed, func(h *soak.History, _ []soak.Attempt) {
			result(h).Text = strings.ReplaceAll(result(h).Text, "j-1", "j-0")
		}},
		{"a position holds another result than before", soak.Twice, func(h *soak.History, _ []soak.Attempt) {
			h.Jobs[0].Reads[2].Results = []soak.Result{{"j-1", "dead_letter", ""}}
		}},
		{"an item stands at two positions", soak.Twice, func(h *soak.History, _ []soak.Attempt) { result(h).ID = "j-0" }},
		{"an item is given up", soak.Mixed, func(h *soak.History, _ []soak.Attempt) { result(h).State = "dead_letter" }},
		{"the total is wrong", soak.Mixed, func(h *soak.History, _ []soak.Attempt) { h.Jobs[0].Reads[0].Total = 3 }},
		{"an accepted item is lost", soak.Lost, func(h *soak.History, _ []soak.Attempt) { h.Jobs[0].Reads = h.Jobs[0].Reads[:1] }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := trueHistory()
			test.falsify(&h, h.Streams[0].Attempts)
			var promises []soak.Promise
			for _, v := range soak.Check(h) {
				promises = append(promises, v.Promise)
			}
			qt.Assert(t, promises, qt.Contains, test.promise)
		})
	}
}
