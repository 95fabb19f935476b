package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

// maxEventsPerItem is the number of events kept for each item; older ones are dropped.
const maxEventsPerItem = 16

// itemLog keeps the latest events of the items of a chunk.
type itemLog struct {
	events map[int][]explain.Event
}

func newItemLog() *itemLog { return &itemLog{events: map[int][]explain.Event{}} }

func (l *itemLog) add(index int, text string) {
	events := append(l.events[index], explain.Event{At: time.Now(), Text: text})
	if len(events) > maxEventsPerItem {
		events = events[1:]
	}
	l.events[index] = events
}

// Register registers the handlers of the peer calls that rosemary-batch serves.
func (r *Runner) Register(registrar peer.Registrar) {
	registrar.HandleCall(explain.MethodItem, r.handleItem)
	registrar.HandleCall(jobstore.MethodCancelled, r.handleCancelled)
	registrar.HandleCall(methodJobs, r.handleJobs)
}

func (r *Runner) handleItem(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var request explain.ItemQuery
	if err := decode(&request); err != nil {
		return nil, err
	}
	return r.ExplainItem(request), nil
}

// ExplainItem returns the state and latest events of an item that this runner holds.
func (r *Runner) ExplainItem(request explain.ItemQuery) explain.Explanation {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if h.record.Job.ID != request.Job {
			continue
		}
		index, ok := h.run.Find(request.CustomID)
		if !ok {
			continue
		}
		return explain.Explanation{
			Found:   true,
			Subject: request.Job + "/" + request.CustomID,
			Summary: fmt.Sprintf("held by %s in chunk %d, epoch %d: %s", r.config.VM, h.run.Chunk().Number, h.run.Chunk().Epoch, r.describe(h, index)),
			Events:  r.eventsOf(h, index),
		}
	}
	return explain.Explanation{Subject: request.Job + "/" + request.CustomID}
}

// describe returns the state of an item and why it is not dispatched. The caller holds the lock.
func (r *Runner) describe(h *heldChunk, index int) string {
	now := time.Now()
	text := h.run.Describe(index, now)
	switch {
	case now.Sub(h.confirmedAt) > r.config.MaxConfirmationAge:
		return text + "; no item is sent until the table has been asked for cancels"
	case r.bufferedBytes >= r.config.MaxBufferedBytes:
		return text + "; no item is sent until waiting results are committed"
	case r.draining:
		return text + "; this process is stopping and sends no more items"
	default:
		return text
	}
}

func (r *Runner) eventsOf(h *heldChunk, index int) []explain.Event {
	events := append([]explain.Event(nil), h.events.events[index]...)
	for i := range events {
		events[i].VM = r.config.VM
	}
	return events
}
