package jobstore

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/job"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// oracle checks the guarantees to clients: each item has one result, which never changes, and a
// non-idempotent item runs at most once.
type oracle struct {
	isIdempotent  map[string]bool
	dispatchCount map[string]int
	// firstResult is the first committed result of each item.
	firstResult map[string]string
}

func newOracle() *oracle {
	return &oracle{isIdempotent: map[string]bool{}, dispatchCount: map[string]int{}, firstResult: map[string]string{}}
}

func (o *oracle) recordDispatch(id string) { o.dispatchCount[id]++ }
func (o *oracle) recordNotRun(id string)   { o.dispatchCount[id]-- }

// check compares the current results with those of earlier checks.
func (o *oracle) check(t *rapid.T, results map[string][]string) {
	for _, id := range sortedKeys(o.dispatchCount) {
		if n := o.dispatchCount[id]; n > 1 && !o.isIdempotent[id] {
			t.Fatalf("non-idempotent item %s was dispatched %d times", id, n)
		}
	}
	for _, id := range sortedKeys(results) {
		texts := results[id]
		if len(texts) > 1 {
			t.Fatalf("item %s has %d results", id, len(texts))
		}
		if first, ok := o.firstResult[id]; ok && first != texts[0] {
			t.Fatalf("the result of item %s changed", id)
		}
		o.firstResult[id] = texts[0]
	}
	for _, id := range sortedKeys(o.firstResult) {
		if len(results[id]) == 0 {
			t.Fatalf("the result of item %s has disappeared", id)
		}
	}
}

func (o *oracle) checkFinal(t *rapid.T, w *simulation) {
	results := w.committedResults()
	o.check(t, results)
	if !w.cancelled && len(results) != simItems {
		t.Fatalf("%d of %d items have a result", len(results), simItems)
	}
	record, err := w.directStore.GetAny(w.ctx, w.job)
	w.must(err)
	want := job.StatusCompleted
	if w.cancelled {
		want = job.StatusCancelled
	}
	if record.Status() != want {
		t.Fatalf("the job is %s, want %s", record.Status(), want)
	}
	o.checkFiles(t, w, record, results)
}

// checkFiles compares the result files that a client downloads with the committed results.
func (o *oracle) checkFiles(t *rapid.T, w *simulation, record *Record, results map[string][]string) {
	downloaded := map[string]int{}
	var responses, failures bytes.Buffer
	w.must(w.directStore.WriteResults(w.ctx, &responses, w.job, Responses))
	w.must(w.directStore.WriteResults(w.ctx, &failures, w.job, Errors))
	if int64(responses.Len()) != record.Progress.OutputBytes || int64(failures.Len()) != record.Progress.ErrorBytes {
		t.Fatalf("the files have %d and %d bytes, the job says %d and %d",
			responses.Len(), failures.Len(), record.Progress.OutputBytes, record.Progress.ErrorBytes)
	}
	for line := range strings.Lines(responses.String() + failures.String()) {
		downloaded[resultOf(w, line).CustomID]++
	}
	if len(downloaded) != len(results) || record.Progress.Completed+record.Progress.Failed != len(results) {
		t.Fatalf("%d items in the files, %d counted, %d committed",
			len(downloaded), record.Progress.Completed+record.Progress.Failed, len(results))
	}
	for id, n := range downloaded {
		if n != 1 {
			t.Fatalf("item %s is in the files %d times", id, n)
		}
	}
}

func resultOf(w *simulation, line string) job.Result {
	var result job.Result
	w.must(json.Unmarshal([]byte(line), &result))
	return result
}

// committedResults reads all results of the job, from open and closed chunks.
func (w *simulation) committedResults() map[string][]string {
	record, err := w.directStore.GetAny(w.ctx, w.job)
	w.must(err)
	rows, err := w.directStore.chunksOf(w.ctx, &record.Job)
	w.must(err)
	if len(rows) != record.Job.Chunks {
		w.t.Fatalf("%d of %d chunks can be read", len(rows), record.Job.Chunks)
	}
	results := map[string][]string{}
	for _, row := range rows {
		for _, segment := range row.chunk.Segments {
			var content bytes.Buffer
			w.must(w.directStore.writeSegment(w.ctx, &content, segment, Responses))
			w.must(w.directStore.writeSegment(w.ctx, &content, segment, Errors))
			for line := range strings.Lines(content.String()) {
				id := resultOf(w, line).CustomID
				results[id] = append(results[id], line)
			}
		}
	}
	return results
}
