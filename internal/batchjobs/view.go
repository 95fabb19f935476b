package batchjobs

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// view is this VM's copy of the heads of all jobs.
type view struct {
	mu   sync.Mutex
	jobs map[string]*entry
	// quotas are the versions of the rows that order the submissions of a route.
	quotas map[string]uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// entry is a job at a version. Its head is not changed any more.
type entry struct {
	head    *Head
	version uint64
}

func newView() *view {
	return &view{jobs: map[string]*entry{}, quotas: map[string]uint64{}, changed: make(chan struct{})}
}

// put takes a head unless a later one is known.
func (v *view) put(job string, head *Head, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.jobs[job]; known != nil && known.version >= version {
		return
	}
	v.jobs[job] = &entry{head: head, version: version}
	v.notify()
}

func (v *view) remove(job string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.jobs, job)
	v.notify()
}

func (v *view) putQuota(route string, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.quotas[route] = max(v.quotas[route], version)
	v.notify()
}

// notify wakes all that wait for a change. The lock is held.
func (v *view) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *view) get(job string) *entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs[job]
}

// all returns all jobs.
func (v *view) all() map[string]*entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	jobs := make(map[string]*entry, len(v.jobs))
	for id, e := range v.jobs {
		jobs[id] = e
	}
	return jobs
}

// waiting returns the tokens that wait on a route, and the version of the last submission that they include.
func (v *view) waiting(table *routing.Table, route *routing.Route) (tokens int64, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.jobs {
		if e.head.On(table, route) {
			tokens += e.head.WaitingTokens()
		}
	}
	return tokens, v.quotas[route.Name]
}

// await waits until the condition holds or the time is over, and reports whether it holds.
func (v *view) await(ctx context.Context, timeout time.Duration, holds func() bool) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		v.mu.Lock()
		changed := v.changed
		v.mu.Unlock()
		if holds() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return holds()
		case <-changed:
		}
	}
}

// replace takes the whole table. Jobs that are missing in it have been removed.
func (s *Service) replace(rows []platform.TableRow) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
	}
	for job := range s.view.all() {
		if !listed[job] {
			s.view.remove(job)
		}
	}
	s.change(rows)
}

// change takes changed rows.
func (s *Service) change(rows []platform.TableRow) {
	for _, row := range rows {
		if route, ok := isQuotaKey(row.Key); ok {
			s.view.putQuota(route, row.Version)
			continue
		}
		if row.Deleted {
			s.view.remove(row.Key)
			continue
		}
		head, err := decodeHead(row.Value)
		if err != nil {
			s.config.Log.Error().Err(err).Str("job", row.Key).Uint64("row_version", row.Version).Msg("job cannot be read")
			continue
		}
		s.view.put(row.Key, head, row.Version)
	}
	s.wakeRunner()
}
