package batchjobs

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	// dueMargin is the part of a job's time objective that is reserved for committing the last result and for the
	// client to read it.
	dueMargin = 1500 * time.Millisecond
	// loadRetryDelay is the first delay after a failed read of the submission of a job.
	loadRetryDelay = 300 * time.Millisecond
	// maxLoadRetryDelay bounds the delay for a submission that can't be read for long.
	maxLoadRetryDelay = 5 * time.Second
)

// jobRun is a job whose items this VM runs.
type jobRun struct {
	job   string
	epoch uint64
	// cancel stops all items.
	cancel context.CancelFunc
	// results carries the results of items to commitResults.
	results chan itemResult

	// stopped is closed when no item runs any more.
	stopped chan struct{}

	// memory is the part of Config.ItemMemory that the items take. Only the goroutine that runs the job uses it once it has started.
	memory int64

	mu    sync.Mutex
	items []platform.JobItem
	// progress holds the progress of the items that do not run and have no committed result.
	progress map[int]itemProgress
	// running holds the items that run or wait for a slot, and saved the last checkpoint of each item.
	running map[int]*itemState
	saved   map[int]savedItem
	texts   *textRoom
}

// begin returns the state of an item that is about to run, with the progress made so far.
func (r *jobRun) begin(index int) *itemState {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress, ok := r.progress[index]
	if !ok {
		progress = itemProgress{Position: platform.NoEvent}
	}
	delete(r.progress, index)
	state := &itemState{itemProgress: progress, index: index, texts: r.texts}
	r.running[index] = state
	return state
}

// suspend keeps the progress of an item that stops without a result.
func (r *jobRun) suspend(index int, state *itemState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, index)
	r.progress[index] = state.snapshot()
}

// finish removes an item that has a result from the running items.
func (r *jobRun) finish(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, index)
}

// keepUncommitted adds results that could not be committed to the progress, which can be handed over.
func (r *jobRun) keepUncommitted(results []itemResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range results {
		r.progress[result.index] = itemProgress{Position: platform.NoEvent, Text: result.text, Ended: true, GivenUp: result.givenUp}
	}
}

// itemResult is the result of an item: its text, or none if it was given up.
type itemResult struct {
	index   int
	givenUp bool
	text    []byte
}

// reconcile starts, stops and takes over jobs according to their heads.
func (s *Service) reconcile(ctx context.Context) {
	now := time.Now()
	jobs := s.heads.all()
	s.mu.Lock()
	defer s.mu.Unlock()
	for job, e := range jobs {
		run := s.runs[job]
		shouldRun := e.head.Open() && e.head.Owner == s.config.VM && !s.leaving
		if run != nil && (!shouldRun || run.epoch != e.head.Epoch) {
			run.cancel()
			delete(s.runs, job)
			if !e.head.Open() {
				s.discardProgress(run)
			}
			run = nil
		}
		if shouldRun && run == nil {
			s.startRun(ctx, job, e.head)
		}
	}
	for job, run := range s.runs {
		if jobs[job] == nil {
			run.cancel()
			delete(s.runs, job)
		}
	}
	s.dropAcceptedItems(jobs)
	if !s.leaving {
		s.takeOverJobs(ctx, now, jobs)
	}
}

// startRun starts running a job. The caller holds s.mu.
func (s *Service) startRun(ctx context.Context, job string, head *Head) {
	runCtx, cancel := context.WithCancel(ctx)
	run := &jobRun{
		job:      job,
		epoch:    head.Epoch,
		cancel:   cancel,
		results:  make(chan itemResult, len(head.Items)),
		stopped:  make(chan struct{}),
		progress: s.handedOver.take(job),
		running:  map[int]*itemState{},
		saved:    map[int]savedItem{},
		texts:    newTextRoom(s.textRoom),
	}
	if accepted, ok := s.acceptedItems[job]; ok {
		run.items, run.memory = accepted.items, accepted.memory
		delete(s.acceptedItems, job)
	}
	s.runs[job] = run
	s.tasks.Go(func() {
		defer func() { s.itemRoom.Release(run.memory) }()
		defer run.texts.close()
		defer close(run.stopped)
		defer cancel()
		s.runJob(runCtx, run)
	})
}

const (
	// itemCopies is how many times the size of a submission its items take, with those that are just read.
	itemCopies = 2
	// itemRunBytes is what an item that runs or waits takes beside its content.
	itemRunBytes = 8 << 10
)

// acceptedItems are the items of a job, and the part of Config.ItemMemory that they take.
type acceptedItems struct {
	items  []platform.JobItem
	memory int64
}

// submissionBytes returns the size of a job's submission at most.
func submissionBytes(head *Head) int64 { return int64(head.BodyRows) * maxRowBytes }

// itemMemory returns the part of Config.ItemMemory that the items of a job take. A job that exceeds all of it runs alone.
func (s *Service) itemMemory(head *Head) int64 {
	return min(itemCopies*submissionBytes(head)+itemRunBytes*int64(len(head.Items)), s.config.ItemMemory)
}

// cacheItems keeps the items of a job that is about to be run, if there is room.
func (s *Service) cacheItems(job string, head *Head, items []platform.JobItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if head.Owner == s.config.VM && s.runs[job] == nil && s.acceptedItems[job].items == nil && s.itemRoom.TryAcquire(s.itemMemory(head)) {
		s.acceptedItems[job] = acceptedItems{items, s.itemMemory(head)}
	}
}

// dropAcceptedItems forgets the items of jobs that this VM does not run. The caller holds s.mu.
func (s *Service) dropAcceptedItems(jobs map[string]*cachedHead) {
	for job, accepted := range s.acceptedItems {
		if e := jobs[job]; e == nil || !e.head.Open() || e.head.Owner != s.config.VM {
			delete(s.acceptedItems, job)
			s.itemRoom.Release(accepted.memory)
		}
	}
}

// cachedItems returns the items of a job that this VM runs or is about to run, or nil.
func (s *Service) cachedItems(job string) []platform.JobItem {
	s.mu.Lock()
	run, accepted := s.runs[job], s.acceptedItems[job].items
	s.mu.Unlock()
	if run == nil {
		return accepted
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.items
}

// runJob runs all items of a job that have no result.
func (s *Service) runJob(ctx context.Context, run *jobRun) {
	if !s.loadSubmission(ctx, run) {
		return
	}
	e := s.heads.get(run.job)
	if e == nil {
		return
	}
	committed := e.head.Committed()
	var items sync.WaitGroup
	for i := range run.items {
		if committed[i] {
			continue
		}
		items.Go(func() {
			if result, ok := s.runItem(ctx, run, i, e.head); ok {
				run.results <- result
			}
		})
	}
	items.Go(func() { s.commitResults(ctx, run) })
	items.Wait()
}

// loadSubmission reads the items of a job and their saved progress unless the items are in memory. It reports
// whether the items are available.
func (s *Service) loadSubmission(ctx context.Context, run *jobRun) bool {
	delay := loadRetryDelay
	for run.items == nil {
		e := s.heads.get(run.job)
		if e == nil || !s.acquireItemMemory(ctx, run, e.head) {
			return false
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		body, err := s.store.readBody(callCtx, run.job, e.head.BodyRows)
		cancel()
		if err == nil {
			var items []platform.JobItem
			if items, err = parseSubmission(body, e.head); err == nil {
				s.restoreProgress(ctx, run, len(items))
				run.mu.Lock()
				run.items = items
				run.mu.Unlock()
				return true
			}
		}
		s.config.Log.Warn().Err(err).EmbedObject(jobName(run.job)).Msg("submission cannot be read; retrying")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(delay):
		}
		delay = min(2*delay, maxLoadRetryDelay)
	}
	return true
}

// acquireItemMemory waits until there is room for the items of a job. It reports false if ctx ends before.
func (s *Service) acquireItemMemory(ctx context.Context, run *jobRun, head *Head) bool {
	if run.memory > 0 {
		return true
	}
	memory := s.itemMemory(head)
	if !s.itemRoom.TryAcquire(memory) {
		s.config.Log.Info().EmbedObject(jobName(run.job)).Int64("bytes", memory).Int64("item_memory", s.config.ItemMemory).
			Msg("job waits: the items of other jobs take the memory")
		jobsWaited.Inc()
		if s.itemRoom.Acquire(ctx, memory) != nil {
			return false
		}
	}
	run.memory = memory
	return true
}

// parseSubmission parses the submission of a job. It fails if the items are not those of the head.
func parseSubmission(body []byte, head *Head) ([]platform.JobItem, error) {
	items, err := platform.ParseJob(body)
	if err != nil {
		return nil, err
	}
	same := func(item platform.JobItem, of ItemHead) bool { return item.ID == of.ID }
	if !slices.EqualFunc(items, head.Items, same) {
		return nil, fmt.Errorf("submission has other items than the head of the job (%d and %d)", len(items), len(head.Items))
	}
	return items, nil
}

// dueAt returns when the last result of a job should be committed.
func (s *Service) dueAt(head *Head, route *routing.Route) time.Time {
	return s.localTime(head.Submitted).Add(route.JobObjective - dueMargin)
}

// expiresAt returns when the items of a job are given up.
func (s *Service) expiresAt(head *Head, route *routing.Route) time.Time {
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
