package controller

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

// batchWorker is a fake batch process that holds every granted slot until it is revoked.
type batchWorker struct {
	mu             sync.Mutex
	held           map[uint64]batchslots.Granted
	granted        int
	revoked        int
	incoming       chan batchslots.ToEntry
	ctx            context.Context
	stop           context.CancelFunc
	grantsByTarget map[string]int
	// quarantined and suspected are the fingerprints announced by the entry.
	quarantined []uint64
	suspected   []uint64
}

// cancelDelay is how long a batch process takes to cancel a stream.
const cancelDelay = 2 * time.Millisecond

func (n *node) startBatch(slots int) *batchWorker {
	w := &batchWorker{
		held:           make(map[uint64]batchslots.Granted),
		incoming:       make(chan batchslots.ToEntry, 4096),
		grantsByTarget: make(map[string]int),
	}
	w.ctx, w.stop = context.WithCancel(n.fleet.ctx)
	context.AfterFunc(w.ctx, w.stop)
	go func() { _ = n.streamHandlers[batchslots.Method](w.ctx, peer.Identity{VM: n.vm}, w) }()
	w.sendDemand(batchslots.Want{Model: "m", Slots: slots})
	return w
}

func (w *batchWorker) sendDemand(want batchslots.Want) {
	w.incoming <- batchslots.ToEntry{Demand: &batchslots.Demand{Wants: []batchslots.Want{want}}}
}

func (w *batchWorker) Send(message any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := message.(batchslots.ToBatch)
	switch {
	case m.Granted != nil:
		w.granted++
		w.grantsByTarget[m.Granted.Target]++
		w.held[m.Granted.Slot] = *m.Granted
	case m.Revoked != nil:
		w.revoked++
		time.AfterFunc(cancelDelay, func() { w.release(m.Revoked.Slot, admission.Outcome{}) })
	case m.Quarantined != nil:
		w.quarantined = append(w.quarantined, m.Quarantined.Fingerprints...)
	case m.Suspected != nil:
		w.suspected = append(w.suspected, m.Suspected.Fingerprints...)
	}
	return nil
}

// release ends the item in a slot. Its fingerprint is that of the slot's suspect, otherwise the slot's id.
func (w *batchWorker) release(slot uint64, outcome admission.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held, ok := w.held[slot]
	if !ok || w.ctx.Err() != nil {
		return
	}
	delete(w.held, slot)
	fingerprint := held.Suspect
	if fingerprint == 0 {
		fingerprint = slot
	}
	w.incoming <- batchslots.ToEntry{Released: &batchslots.Released{Slot: slot, Outcome: outcome, Fingerprint: fingerprint}}
}

// grantedOn returns the total number of slots granted on a target so far.
func (w *batchWorker) grantedOn(target string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grantsByTarget[target]
}

// suspectSlots returns the ids of the held slots that were granted for suspect items.
func (w *batchWorker) suspectSlots() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var slots []uint64
	for id, held := range w.held {
		if held.Suspect != 0 {
			slots = append(slots, id)
		}
	}
	return slots
}

func (w *batchWorker) isSuspected(fingerprint uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.suspected, fingerprint)
}

// runningOn returns the number of items running on a target.
func (w *batchWorker) runningOn(target string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, held := range w.held {
		if held.Target == target {
			n++
		}
	}
	return n
}

func (w *batchWorker) Receive(into any) error {
	select {
	case message := <-w.incoming:
		*into.(*batchslots.ToEntry) = message
		return nil
	case <-w.ctx.Done():
		return io.EOF
	}
}

func (w *batchWorker) Close() error { return nil }

func (w *batchWorker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held)
}
