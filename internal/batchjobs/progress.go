package batchjobs

import (
	"context"
	"net/netip"
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
	// inheritedFor is how long inherited items wait for their job: a hand-over takes less.
	inheritedFor = 10 * time.Second
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
	address, ok := s.addressOf(to)
	if !ok {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	for index, state := range run.progress {
		if !state.worthKeeping() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, progressTimeout)
		err := s.config.Node.Call(call, address, methodProgress, progressMessage{Job: run.job, Index: index, State: &state}, &struct{}{})
		cancel()
		if err != nil {
			s.config.Log.Warn().Err(err).Str("job", run.job).Str("to", to).Int("events", state.Events).Msg("progress of an item is lost, it runs again")
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
