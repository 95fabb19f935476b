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
	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// tableProgress holds the progress of unfinished items, from which another VM resumes them if their owner
	// is lost.
	tableProgress = "rosemarydyke-job-progress"
	// progressPartition keeps checkpoints in a partition of their own, so that results and submissions do not
	// queue behind them.
	progressPartition = "progress"
	// checkpointInterval is the time between two checkpoints of a VM's items. When a VM is lost, its items lose
	// half of this time in progress on average, compared with the 5 s that an item takes on the reference
	// deployments.
	checkpointInterval = 2 * time.Second
	// maxCheckpointBytes bounds the item texts in one checkpoint, so that another VM can relay it to the store:
	// a message between VMs is limited to 300 kB. An item with a longer text is not saved.
	maxCheckpointBytes = 200_000
	// maxCheckpointRows bounds the rows that one checkpoint writes, and maxCheckpointDeletes those that it
	// deletes: together they stay below the store's limit of 100 entries per transaction.
	maxCheckpointRows    = 60
	maxCheckpointDeletes = 30
)

var (
	itemsSaved        = metrics.NewCounter(`rosemarydyke_item_checkpoints_total`)
	checkpointsFailed = metrics.NewCounter(`rosemarydyke_checkpoints_failed_total`)
	itemsRestored     = metrics.NewCounter(`rosemarydyke_items_restored_total`)
)

// itemProgress is how far an item has been generated. Every run of an item at one software version of one service produces the
// same events, so progress that was saved earlier or by another VM is always valid, at its service and version.
type itemProgress struct {
	// Position is the ID of the last event, or NoEvent.
	Position int64 `cbor:"1,keyasint"`
	Events   int   `cbor:"2,keyasint"`
	// Text holds the data of the events so far.
	Text []byte `cbor:"3,keyasint"`
	// Failures counts the failure responses of targets.
	Failures int `cbor:"4,keyasint,omitempty"`
	// Ended is set when the item has a result that could not be committed: Text, or none if GivenUp is set.
	Ended   bool `cbor:"5,keyasint,omitempty"`
	GivenUp bool `cbor:"6,keyasint,omitempty"`
	// Version is the version of the targets that generated the events. Empty means unknown.
	Version string `cbor:"7,keyasint,omitempty"`
	// Service is the service that generated the events. Empty means unknown.
	Service string `cbor:"8,keyasint,omitempty"`
}

// check returns an error for progress that no VM writes.
func (p itemProgress) check() error {
	if p.Position < platform.NoEvent || p.Position == math.MaxInt64 || p.Events < 0 || p.Failures < 0 {
		return fmt.Errorf("position %d, %d events, %d failures", p.Position, p.Events, p.Failures)
	}
	return nil
}

// isResumable reports whether another run would have to repeat anything without this progress.
func (p itemProgress) isResumable() bool { return p.Events > 0 || p.Failures > 0 || p.Ended }

// merge combines the progress that the former owner handed over with the progress in a checkpoint.
func (p itemProgress) merge(saved itemProgress) itemProgress {
	merged := p
	if !p.Ended && (saved.Ended || saved.Events > p.Events) {
		merged = saved
	}
	merged.Failures = max(p.Failures, saved.Failures)
	return merged
}

// savedItem describes the last checkpoint of an item in the store.
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
	return rowstore.RowKey{Table: tableProgress, Part: progressPartition, Key: fmt.Sprintf("%s/%03d/%03d", job, index, row)}
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

// parseProgress decodes the progress of a job's items, and the number of rows of each, from rows that are
// sorted by key. Items that cannot be decoded are omitted and named in the error.
func parseProgress(job string, rows []rowstore.TableRow) (map[int]itemProgress, map[int]int, error) {
	contents, versions, counts := map[int][]byte{}, map[int]uint64{}, map[int]int{}
	var failures []error
	for _, row := range rows {
		name, _, _ := strings.Cut(strings.TrimPrefix(row.Key, job+"/"), "/")
		index, err := strconv.Atoi(name)
		if err != nil {
			failures = append(failures, fmt.Errorf("key %q names no item: %w", row.Key, err))
			continue
		}
		if counts[index] == 0 {
			versions[index] = row.Version
		}
		// Rows of another version belong to another checkpoint: a shorter one by a writer that does not know of a longer one
		// overwrites only its first rows, and one may be written between the reads of two pages.
		if row.Version == versions[index] {
			contents[index] = append(contents[index], row.Value...)
		}
		counts[index]++
	}
	progress := make(map[int]itemProgress, len(contents))
	for index, content := range contents {
		var p itemProgress
		err := cbor.Unmarshal(content, &p)
		if err == nil {
			err = p.check()
		}
		if err != nil {
			failures = append(failures, fmt.Errorf("progress of item %d: %w", index, err))
			continue
		}
		progress[index] = p
	}
	return progress, counts, errors.Join(failures...)
}

// checkpoint saves the progress that the items of this VM have made since the last checkpoint.
func (s *Service) checkpoint(ctx context.Context) {
	s.mu.Lock()
	runs := slices.Collect(maps.Values(s.runs))
	deletes := s.obsoleteProgress[:min(len(s.obsoleteProgress), maxCheckpointDeletes)]
	s.mu.Unlock()
	txn := rowstore.RowTxn{Deletes: slices.Clone(deletes)}
	var pending []pendingSave
	bytes := 0
	for _, run := range runs {
		for index, p := range run.unsaved() {
			if len(p.Text) > maxCheckpointBytes {
				s.config.Log.Warn().EmbedObject(jobName(run.job)).Int("item", index).Int("bytes", len(p.Text)).Int("limit", maxCheckpointBytes).
					Msg("item progress is too long to be saved; another VM would resume from an older checkpoint")
				run.markSaved(index, savedItem{events: math.MaxInt, failures: math.MaxInt})
				continue
			}
			writes, err := progressWrites(run.job, index, p)
			if err != nil {
				s.config.Log.Error().Err(err).Msg("item progress not saved: it cannot be encoded")
				continue
			}
			// Items that do not fit are saved by a later checkpoint: maps are iterated in random order.
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
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := s.config.Rows.Apply(callCtx, txn); err != nil {
		checkpointsFailed.Inc()
		s.config.Log.Warn().Err(err).Int("items", len(pending)).Int("bytes", bytes).Msg("checkpoint not written; the next one retries")
		return
	}
	itemsSaved.Add(len(pending))
	for _, save := range pending {
		save.run.markSaved(save.index, save.saved)
	}
	s.mu.Lock()
	s.obsoleteProgress = s.obsoleteProgress[len(deletes):]
	s.mu.Unlock()
}

// discardProgress schedules the deletion of the saved progress of a job that has ended. The caller holds s.mu.
func (s *Service) discardProgress(run *jobRun) {
	run.mu.Lock()
	defer run.mu.Unlock()
	for index, saved := range run.saved {
		s.obsoleteProgress = append(s.obsoleteProgress, progressKeys(run.job, index, saved.rows)...)
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

// restoreProgress reads the saved progress that the items of a job made under its former owner. If it cannot be
// read, they run from the start.
func (s *Service) restoreProgress(ctx context.Context, run *jobRun, items int) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := s.store.readProgress(callCtx, run.job)
	if err != nil {
		s.config.Log.Warn().Err(err).EmbedObject(jobName(run.job)).Msg("job progress cannot be read; the items run from the start")
		return
	}
	progress, counts, err := parseProgress(run.job, rows)
	if err != nil {
		s.config.Log.Error().Err(err).EmbedObject(jobName(run.job)).Msg("progress of some items cannot be decoded; they run from the start")
	}
	events := 0
	run.mu.Lock()
	for index, p := range progress {
		if index < 0 || index >= items {
			continue
		}
		run.saved[index] = savedItem{p.Events, p.Failures, counts[index]}
		if handedOver, ok := run.progress[index]; ok {
			p = handedOver.merge(p)
		}
		run.progress[index] = p
		events += p.Events
	}
	run.mu.Unlock()
	itemsRestored.Add(len(progress))
	s.config.Log.Info().EmbedObject(jobName(run.job)).Uint64("epoch", run.epoch).Int("items", len(progress)).Int("events", events).Msg("job progress restored")
}

// readProgress reads the rows with the progress of a job's items.
func (s *store) readProgress(ctx context.Context, job string) ([]rowstore.TableRow, error) {
	return s.readRows(ctx, tableProgress, progressPartition, job+"/", math.MaxInt)
}

// removeProgress deletes all saved progress of a job.
func (s *store) removeProgress(ctx context.Context, job string) error {
	rows, err := s.readProgress(ctx, job)
	if err != nil || len(rows) == 0 {
		return err
	}
	keys := make([]rowstore.RowKey, len(rows))
	for i, row := range rows {
		keys[i] = row.RowKey
	}
	for batch := range slices.Chunk(keys, maxTxnDeletes) {
		if _, err := s.rows.Apply(ctx, rowstore.RowTxn{Deletes: batch}); err != nil {
			return err
		}
	}
	return nil
}
