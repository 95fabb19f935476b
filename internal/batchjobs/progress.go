package batchjobs

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

const (
	// methodProgress passes on what an item has reached: progressMessage to struct{}.
	methodProgress peer.Method = "jobs.progress"
	// progressTimeout bounds the passing on of one item.
	progressTimeout = 300 * time.Millisecond
	// maxInheritedBytes bounds the texts of inherited items in memory.
	maxInheritedBytes = 8 << 20
	// inheritedFor is how long inherited items wait for their job. A job whose owner left while the store was away is
	// taken over when the store is back: outages of the sites take up to 8 s.
	inheritedFor = 20 * time.Second
)

// Node is the transport that the service needs.
type Node interface {
	Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error
	HandleCall(method peer.Method, handler peer.CallHandler)
}

type progressMessage struct {
	Job   string        `cbor:"1,keyasint"`
	Index int           `cbor:"2,keyasint"`
	State *itemProgress `cbor:"3,keyasint"`
}

// sendProgress passes on what the items of a stopped job have reached. What is lost is run again.
func (s *Service) sendProgress(ctx context.Context, run *jobRun, to string) {
	select {
	case <-run.stopped:
	case <-ctx.Done():
		return
	}
	// An item may have ended after the last look at the results.
	run.keepResults(drain(run.done, nil))
	run.mu.Lock()
	defer run.mu.Unlock()
	s.sendItems(ctx, run.job, run.progress, to)
}

// passOnInherited passes on the progress of jobs that this VM was to take over, and has not.
func (s *Service) passOnInherited(ctx context.Context) {
	for _, job := range s.inherited.waiting() {
		if to := successor(job, s.config.VM, s.config.Members.Members()); to != "" {
			s.sendItems(ctx, job, s.inherited.take(job), to)
		}
	}
}

func (s *Service) sendItems(ctx context.Context, job string, items map[int]itemProgress, to string) {
	address, ok := s.addressOf(to)
	if !ok {
		s.config.Log.Warn().Str("job", job).Str("to", to).Int("items", len(items)).Msg("progress of items is not passed on: the VM is not known any more")
		return
	}
	for index, state := range items {
		if !state.worthKeeping() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, progressTimeout)
		err := s.config.Node.Call(call, address, methodProgress, progressMessage{Job: job, Index: index, State: &state}, &struct{}{})
		cancel()
		if err != nil {
			s.config.Log.Warn().Err(err).Str("job", job).Str("to", to).Int("events", state.Events).Bool("ended", state.Ended).
				Msg("progress of an item is lost, it runs again")
		}
	}
}

func (s *Service) addressOf(vm string) (netip.AddrPort, bool) {
	for _, m := range s.config.Members.Members() {
		if m.VM == vm {
			address, err := netip.ParseAddrPort(m.EntryPeers)
			return address, err == nil
		}
	}
	return netip.AddrPort{}, false
}

func (s *Service) handleProgress(_ context.Context, from peer.Identity, decode func(any) error) (any, error) {
	var m progressMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	if m.State != nil {
		s.inherited.put(time.Now(), m.Job, m.Index, *m.State)
	}
	s.config.Log.Debug().Str("job", m.Job).Int("item", m.Index).Str("from", from.VM).Msg("progress of an item received")
	return struct{}{}, nil
}

// inheritance keeps the progress of items until their jobs are taken over.
type inheritance struct {
	mu    sync.Mutex
	jobs  map[string]*inheritedJob
	bytes int
}

type inheritedJob struct {
	items map[int]itemProgress
	since time.Time
}

func newInheritance() *inheritance { return &inheritance{jobs: map[string]*inheritedJob{}} }

func (i *inheritance) put(now time.Time, job string, index int, state itemProgress) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for id, old := range i.jobs {
		if now.Sub(old.since) > inheritedFor {
			i.drop(id)
		}
	}
	if i.bytes+len(state.Text) > maxInheritedBytes {
		return
	}
	entry := i.jobs[job]
	if entry == nil {
		entry = &inheritedJob{items: map[int]itemProgress{}, since: now}
		i.jobs[job] = entry
	}
	if _, known := entry.items[index]; !known {
		entry.items[index] = state
		i.bytes += len(state.Text)
	}
}

func (i *inheritance) drop(job string) {
	for _, state := range i.jobs[job].items {
		i.bytes -= len(state.Text)
	}
	delete(i.jobs, job)
}

// waiting returns the jobs whose items wait to be taken over.
func (i *inheritance) waiting() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Collect(maps.Keys(i.jobs))
}

// take returns the items of a job by index, which may be none, and forgets them.
func (i *inheritance) take(job string) map[int]itemProgress {
	i.mu.Lock()
	defer i.mu.Unlock()
	entry := i.jobs[job]
	if entry == nil {
		return map[int]itemProgress{}
	}
	i.drop(job)
	return entry.items
}
