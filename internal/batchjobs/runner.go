package batchjobs

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	// dueMargin is the part of a job's time that is left for listing its last result and for the client's read of it.
	dueMargin = 1500 * time.Millisecond
	// loadRetry is the pause after the submission of a job could not be read.
	loadRetry = 300 * time.Millisecond
)

// jobRun is a job whose items this VM runs.
type jobRun struct {
	job   string
	epoch uint64
	// cancel stops all items.
	cancel context.CancelFunc
	// done takes the results of items until they are listed.
	done chan itemResult

	// stopped is closed when no item runs any more.
	stopped chan struct{}

	mu    sync.Mutex
	items []platform.JobItem
	// progress is what items without a result have reached, when they do not run.
	progress map[int]itemProgress
	// running are the items that run or wait for a slot, and saved is what the store has of the job's items.
	running map[int]*itemState
	saved   map[int]savedItem
}

// begin returns the state of an item that is about to run, from where it stands.
func (r *jobRun) begin(index int) *itemState {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress, ok := r.progress[index]
	if !ok {
		progress = itemProgress{Position: platform.NoEvent}
	}
	delete(r.progress, index)
	state := &itemState{itemProgress: progress}
	r.running[index] = state
	return state
}

// stop keeps what an item has reached that ends without a result.
func (r *jobRun) stop(index int, state *itemState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, index)
	r.progress[index] = state.snapshot()
}

// finish ends an item that has a result.
func (r *jobRun) finish(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, index)
}

// keepResults keeps results that could not be listed.
func (r *jobRun) keepResults(results []itemResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range results {
		r.progress[result.index] = itemProgress{Position: platform.NoEvent, Text: result.text, Ended: true, GivenUp: result.givenUp}
	}
}

// itemResult is the end of an item.
type itemResult struct {
	index   int
	givenUp bool
	text    []byte
}

// look starts, stops and takes over jobs as their heads say.
func (s *Service) look(ctx context.Context) {
	now := time.Now()
	jobs := s.view.all()
	s.mu.Lock()
	defer s.mu.Unlock()
	for job, e := range jobs {
		run := s.runs[job]
		mine := e.head.Open() && e.head.Owner == s.config.VM && !s.leaving
		if run != nil && (!mine || run.epoch != e.head.Epoch) {
			run.cancel()
			delete(s.runs, job)
			if !e.head.Open() {
				s.forgetProgress(run)
			}
			run = nil
		}
		if mine && run == nil {
			s.startRun(ctx, job, e.head)
		}
	}
	for job, run := range s.runs {
		if jobs[job] == nil {
			run.cancel()
			delete(s.runs, job)
		}
	}
	if !s.leaving {
		s.takeOver(ctx, now, jobs)
	}
}

// startRun runs a job. The lock is held.
func (s *Service) startRun(ctx context.Context, job string, head *Head) {
	running, cancel := context.WithCancel(ctx)
	run := &jobRun{
		job:      job,
		epoch:    head.Epoch,
		cancel:   cancel,
		done:     make(chan itemResult, len(head.Items)),
		stopped:  make(chan struct{}),
		progress: s.inherited.take(job),
		running:  map[int]*itemState{},
		saved:    map[int]savedItem{},
	}
	if kept := s.kept[job]; kept != nil {
		run.items = kept
		delete(s.kept, job)
	}
	s.runs[job] = run
	s.tasks.Go(func() {
		defer close(run.stopped)
		defer cancel()
		s.runJob(running, run)
	})
}

// keepItems keeps the items of a job that is about to be run.
func (s *Service) keepItems(job string, head *Head, items []platform.JobItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if head.Owner == s.config.VM && s.runs[job] == nil {
		s.kept[job] = items
	}
}

// keptItems returns the items of a job that this VM runs, or nil.
func (s *Service) keptItems(job string) []platform.JobItem {
	s.mu.Lock()
	run, kept := s.runs[job], s.kept[job]
	s.mu.Unlock()
	if run == nil {
		return kept
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.items
}

// runJob runs all items of a job that have no result.
func (s *Service) runJob(ctx context.Context, run *jobRun) {
	if !s.load(ctx, run) {
		return
	}
	e := s.view.get(run.job)
	if e == nil {
		return
	}
	listed := e.head.Listed()
	var items sync.WaitGroup
	for i := range run.items {
		if listed[i] {
			continue
		}
		items.Go(func() {
			if result, ok := s.runItem(ctx, run, i, e.head); ok {
				run.done <- result
			}
		})
	}
	items.Go(func() { s.list(ctx, run) })
	items.Wait()
}

// load reads the submission of a job unless it is in memory.
func (s *Service) load(ctx context.Context, run *jobRun) bool {
	for run.items == nil {
		e := s.view.get(run.job)
		if e == nil {
			return false
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		body, err := s.store.readBody(call, run.job, e.head.BodyRows)
		cancel()
		if err == nil {
			var items []platform.JobItem
			if items, err = platform.ParseJob(body); err == nil {
				s.restore(ctx, run)
				run.mu.Lock()
				run.items = items
				run.mu.Unlock()
				return true
			}
		}
		s.config.Log.Warn().Err(err).Str("job", run.job).Msg("submission cannot be read yet")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(loadRetry):
		}
	}
	return true
}

// due returns when the last result of a job should be listed.
func (s *Service) due(head *Head, route *routing.Route) time.Time {
	return s.localTime(head.Submitted).Add(route.JobObjective - dueMargin)
}

// givenUpAt returns when the items of a job may be given up.
func (s *Service) givenUpAt(head *Head, route *routing.Route) time.Time {
	return s.localTime(head.Submitted).Add(route.Retention)
}

func (s *Service) localTime(stored time.Duration) time.Time {
	clock, known := s.follower.Clock()
	if !known {
		return time.Now()
	}
	return clock.LocalTime(stored)
}

// route returns the route of a job in the configuration in force, or nil when it has been removed.
func (s *Service) route(head *Head) *routing.Route {
	table := s.config.Configuration.Current()
	if table == nil {
		return nil
	}
	return table.Match(head.Host, head.Path)
}
