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
	// methodProgress hands over the progress of an item. The request is a progressMessage, the response is
	// empty.
	methodProgress peer.Method = "jobs.progress"
	// progressTimeout bounds the hand-over of one item.
	progressTimeout = 300 * time.Millisecond
	// maxHandedOverBytes bounds the texts of handed-over items in memory.
	maxHandedOverBytes = 8 << 20
	// handedOverRetention is how long handed-over items wait for their job. A job whose owner left while the
	// store was unavailable is taken over when the store is back, after outages of up to 8 s on the reference
	// deployments.
	handedOverRetention = 20 * time.Second
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

// sendProgress hands over the progress of the items of a stopped job. Progress that is lost is generated again.
func (s *Service) sendProgress(ctx context.Context, run *jobRun, to string) {
	select {
	case <-run.stopped:
	case <-ctx.Done():
		return
	}
	// An item may have finished after the results were last drained.
	run.keepUncommitted(drain(run.results, nil))
	run.mu.Lock()
	defer run.mu.Unlock()
	s.sendItems(ctx, run.job, run.progress, to)
}

// forwardHandedOver hands over the progress of jobs that this VM was to take over and has not.
func (s *Service) forwardHandedOver(ctx context.Context) {
	for _, job := range s.handedOver.jobIDs() {
		if to := successor(job, s.config.VM, s.config.Members.Members()); to != "" {
			s.sendItems(ctx, job, s.handedOver.take(job), to)
		}
	}
}

func (s *Service) sendItems(ctx context.Context, job string, items map[int]itemProgress, to string) {
	address, ok := s.addressOf(to)
	if !ok {
		s.config.Log.Warn().EmbedObject(jobName(job)).Str("to", to).Int("items", len(items)).Msg("item progress not handed over: the VM is not a known member; the items run again")
		return
	}
	for index, state := range items {
		if !state.isResumable() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, progressTimeout)
		err := s.config.Node.Call(callCtx, address, methodProgress, progressMessage{Job: job, Index: index, State: &state}, &struct{}{})
		cancel()
		if err != nil {
			s.config.Log.Warn().Err(err).EmbedObject(jobName(job)).Str("to", to).Int("events", state.Events).Bool("ended", state.Ended).
				Msg("item progress not handed over; the item runs again")
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
		s.handedOver.put(time.Now(), m.Job, m.Index, *m.State)
	}
	s.config.Log.Debug().EmbedObject(jobName(m.Job)).Int("item", m.Index).Str("from", from.VM).Msg("item progress received")
	return struct{}{}, nil
}

// handedOverProgress holds the progress that other VMs handed over until this VM takes over the jobs.
type handedOverProgress struct {
	mu    sync.Mutex
	jobs  map[string]*handedOverJob
	bytes int
}

type handedOverJob struct {
	items map[int]itemProgress
	since time.Time
}

func newHandedOverProgress() *handedOverProgress {
	return &handedOverProgress{jobs: map[string]*handedOverJob{}}
}

func (h *handedOverProgress) put(now time.Time, job string, index int, state itemProgress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, old := range h.jobs {
		if now.Sub(old.since) > handedOverRetention {
			h.remove(id)
		}
	}
	if h.bytes+len(state.Text) > maxHandedOverBytes {
		return
	}
	entry := h.jobs[job]
	if entry == nil {
		entry = &handedOverJob{items: map[int]itemProgress{}, since: now}
		h.jobs[job] = entry
	}
	if _, known := entry.items[index]; !known {
		entry.items[index] = state
		h.bytes += len(state.Text)
	}
}

func (h *handedOverProgress) remove(job string) {
	for _, state := range h.jobs[job].items {
		h.bytes -= len(state.Text)
	}
	delete(h.jobs, job)
}

// jobIDs returns the jobs that have handed-over items.
func (h *handedOverProgress) jobIDs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.jobs))
}

// take removes and returns the progress of a job's items, by index. The map may be empty.
func (h *handedOverProgress) take(job string) map[int]itemProgress {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.jobs[job]
	if entry == nil {
		return map[int]itemProgress{}
	}
	h.remove(job)
	return entry.items
}
