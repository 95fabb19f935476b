package batchjobs

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
)

const (
	// tableProgress holds what unfinished items have reached, for the VM that runs them after their owner was lost.
	tableProgress = "rosemarydyke-job-progress"
	// progressPart is a partition of its own, so that checkpoints do not queue before results and submissions.
	progressPart = "progress"
	// checkpointInterval is the time between two checkpoints of a VM's items. A lost VM's items lose half of it on
	// average, beside the 5 s that an item of the sites takes.
	checkpointInterval = 2 * time.Second
	// maxCheckpointBytes bounds the content of one checkpoint, so that another VM can relay it: a message between VMs
	// takes 300 kB. An item that has more is not saved.
	maxCheckpointBytes = 200_000
	// maxCheckpointRows bounds the rows of one checkpoint, and maxEndedRows those that it deletes: together they stay
	// below the store's limit of 100 entries.
	maxCheckpointRows = 60
	maxEndedRows      = 30
)

var (
	itemsSaved      = metrics.NewCounter(`rosemarydyke_item_checkpoints_total`)
	checkpointsLost = metrics.NewCounter(`rosemarydyke_checkpoints_failed_total`)
	itemsRestored   = metrics.NewCounter(`rosemarydyke_items_restored_total`)
)

// itemProgress is what an item has reached. Any run of an item makes the same events, so an older one is as true as a
// later one, whoever saved it.
type itemProgress struct {
	// Position is the ID of the last event, or NoEvent.
	Position int64 `cbor:"1,keyasint"`
	Events   int   `cbor:"2,keyasint"`
	// Text holds the data of the events so far.
	Text []byte `cbor:"3,keyasint"`
	// Failures counts the targets that answered with a failure.
	Failures int `cbor:"4,keyasint,omitempty"`
	// Ended says that the item has its result, the text or none if it was given up, which could not be listed.
	Ended   bool `cbor:"5,keyasint,omitempty"`
	GivenUp bool `cbor:"6,keyasint,omitempty"`
}

// worthKeeping reports whether there is anything that another run would have to repeat.
func (p itemProgress) worthKeeping() bool { return p.Events > 0 || p.Failures > 0 || p.Ended }

// mergedWith returns what to go on from when an item was passed on and saved as well.
func (p itemProgress) mergedWith(saved itemProgress) itemProgress {
	further := p
	if !p.Ended && (saved.Ended || saved.Events > p.Events) {
		further = saved
	}
	further.Failures = max(p.Failures, saved.Failures)
	return further
}

// savedItem is what the store has of an item.
type savedItem struct {
	events, failures, rows int
}

// pendingSave is an item's part of a checkpoint.
type pendingSave struct {
	run   *jobRun
	index int
	saved savedItem
}

func progressKey(job string, index, row int) rowstore.RowKey {
	return rowstore.RowKey{Table: tableProgress, Part: progressPart, Key: fmt.Sprintf("%s/%03d/%03d", job, index, row)}
}

func progressKeys(job string, index, rows int) []rowstore.RowKey {
	keys := make([]rowstore.RowKey, rows)
	for row := range keys {
		keys[row] = progressKey(job, index, row)
	}
	return keys
}

// progressWrites returns the rows of an item's progress.
func progressWrites(job string, index int, p itemProgress) ([]rowstore.RowWrite, error) {
	content, err := cbor.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode progress of item %d of job %q: %w", index, job, err)
	}
	var writes []rowstore.RowWrite
	for row, part := range split(content) {
		writes = append(writes, rowstore.RowWrite{RowKey: progressKey(job, index, row), Value: part})
	}
	return writes, nil
}

// parseProgress joins the rows of a job, in the order of their keys, to the progress of its items. What cannot be read
// is left out and named in the error.
func parseProgress(job string, rows []rowstore.TableRow) (map[int]itemProgress, map[int]int, error) {
	contents, counts := map[int][]byte{}, map[int]int{}
	var failures []error
	for _, row := range rows {
		name, _, _ := strings.Cut(strings.TrimPrefix(row.Key, job+"/"), "/")
		index, err := strconv.Atoi(name)
		if err != nil {
			failures = append(failures, fmt.Errorf("key %q names no item: %w", row.Key, err))
			continue
		}
		contents[index] = append(contents[index], row.Value...)
		counts[index]++
	}
	progress := make(map[int]itemProgress, len(contents))
	for index, content := range contents {
		var p itemProgress
		// Behind a shorter checkpoint lie the last rows of a longer one, if its writer did not know of that.
		if _, err := cbor.UnmarshalFirst(content, &p); err != nil {
			failures = append(failures, fmt.Errorf("progress of item %d: %w", index, err))
			continue
		}
		progress[index] = p
	}
	return progress, counts, errors.Join(failures...)
}

// checkpoint saves what the items of this VM have reached since the last one.
func (s *Service) checkpoint(ctx context.Context) {
	s.mu.Lock()
	runs := slices.Collect(maps.Values(s.runs))
	ended := s.endedProgress[:min(len(s.endedProgress), maxEndedRows)]
	s.mu.Unlock()
	txn := rowstore.RowTxn{Deletes: slices.Clone(ended)}
	var pending []pendingSave
	bytes := 0
	for _, run := range runs {
		for index, p := range run.unsaved() {
			if len(p.Text) > maxCheckpointBytes {
				s.config.Log.Warn().Str("job", run.job).Int("item", index).Int("bytes", len(p.Text)).Int("limit", maxCheckpointBytes).
					Msg("progress of an item is too long to be saved, another VM would go on from an older checkpoint")
				run.markSaved(index, savedItem{events: math.MaxInt, failures: math.MaxInt})
				continue
			}
			writes, err := progressWrites(run.job, index, p)
			if err != nil {
				s.config.Log.Error().Err(err).Msg("progress of an item is not saved")
				continue
			}
			// Items that do not fit come with a later checkpoint: the order of the maps is random.
			if len(txn.Writes)+len(writes) > maxCheckpointRows || bytes+len(p.Text) > maxCheckpointBytes {
				continue
			}
			bytes += len(p.Text)
			txn.Writes = append(txn.Writes, writes...)
			pending = append(pending, pendingSave{run, index, savedItem{p.Events, p.Failures, len(writes)}})
		}
	}
	if len(txn.Writes)+len(txn.Deletes) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := s.config.Rows.Apply(call, txn); err != nil {
		checkpointsLost.Inc()
		s.config.Log.Warn().Err(err).Int("items", len(pending)).Int("bytes", bytes).Msg("progress of items is not saved, the next checkpoint tries again")
		return
	}
	itemsSaved.Add(len(pending))
	for _, save := range pending {
		save.run.markSaved(save.index, save.saved)
	}
	s.mu.Lock()
	s.endedProgress = s.endedProgress[len(ended):]
	s.mu.Unlock()
}

// forgetProgress has the saved progress of a job deleted that needs it no more. The lock is held.
func (s *Service) forgetProgress(run *jobRun) {
	run.mu.Lock()
	defer run.mu.Unlock()
	for index, saved := range run.saved {
		s.endedProgress = append(s.endedProgress, progressKeys(run.job, index, saved.rows)...)
	}
	run.saved = map[int]savedItem{}
}

// unsaved returns the progress of running items that the store does not have.
func (r *jobRun) unsaved() map[int]itemProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	unsaved := map[int]itemProgress{}
	for index, state := range r.running {
		p := state.snapshot()
		saved := r.saved[index]
		if p.Events > saved.events || p.Failures > saved.failures {
			unsaved[index] = p
		}
	}
	return unsaved
}

func (r *jobRun) markSaved(index int, saved savedItem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	saved.rows = max(saved.rows, r.saved[index].rows)
	r.saved[index] = saved
}

// restore reads what the items of a job had reached under its former owner. Without it they run from the start.
func (s *Service) restore(ctx context.Context, run *jobRun) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := s.store.readProgress(call, run.job)
	if err != nil {
		s.config.Log.Warn().Err(err).Str("job", run.job).Msg("progress of a job cannot be read, its items run from the start")
		return
	}
	progress, counts, err := parseProgress(run.job, rows)
	if err != nil {
		s.config.Log.Error().Err(err).Str("job", run.job).Msg("progress of items cannot be read, they run from the start")
	}
	events := 0
	run.mu.Lock()
	for index, p := range progress {
		run.saved[index] = savedItem{p.Events, p.Failures, counts[index]}
		if inherited, ok := run.progress[index]; ok {
			p = inherited.mergedWith(p)
		}
		run.progress[index] = p
		events += p.Events
	}
	run.mu.Unlock()
	itemsRestored.Add(len(progress))
	s.config.Log.Info().Str("job", run.job).Uint64("epoch", run.epoch).Int("items", len(progress)).Int("events", events).Msg("progress of a job restored")
}

// readProgress reads the rows of what a job's items have reached.
func (s *store) readProgress(ctx context.Context, job string) ([]rowstore.TableRow, error) {
	return s.readRows(ctx, tableProgress, progressPart, job+"/", math.MaxInt)
}

// removeProgress deletes what is left of the progress of a job.
func (s *store) removeProgress(ctx context.Context, job string) error {
	rows, err := s.readProgress(ctx, job)
	if err != nil || len(rows) == 0 {
		return err
	}
	keys := make([]rowstore.RowKey, len(rows))
	for i, row := range rows {
		keys[i] = row.RowKey
	}
	for part := range slices.Chunk(keys, maxDeletes) {
		if _, err := s.rows.Apply(ctx, rowstore.RowTxn{Deletes: part}); err != nil {
			return err
		}
	}
	return nil
}
