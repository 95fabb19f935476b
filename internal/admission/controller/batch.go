package controller

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

// batchState is the entry's side of the batch slots.
type batchState struct {
	lastSlot uint64
	slots    map[uint64]batchSlot
	sessions map[*batchSession]bool
}

// batchSlot is a slot that batch work holds.
type batchSlot struct {
	session *batchSession
	target  *targetState
	model   string
}

// batchSession is one connection of a batch process.
type batchSession struct {
	wants  map[string]int
	held   map[string]int
	outbox *outbox
}

func newBatchState() batchState {
	return batchState{slots: make(map[uint64]batchSlot), sessions: make(map[*batchSession]bool)}
}

// handleBatch serves the stream of the batch process on this VM.
func (c *Controller) handleBatch(ctx context.Context, from peer.Identity, stream peer.Stream) error {
	if from.VM != c.config.VM {
		return &peer.RemoteError{Code: "forbidden", Message: "batch slots are granted on the same VM only"}
	}
	session := &batchSession{wants: make(map[string]int), held: make(map[string]int), outbox: newOutbox()}
	c.openBatch(session)
	defer c.closeBatch(session)
	stop := context.AfterFunc(ctx, session.outbox.close)
	defer stop()
	go session.outbox.drainTo(stream)
	for {
		var message batchslots.ToEntry
		if err := stream.Receive(&message); err != nil {
			return err
		}
		c.receiveBatch(session, message)
	}
}

func (c *Controller) openBatch(session *batchSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch.sessions[session] = true
	if fingerprints := c.quarantine.Fingerprints(); len(fingerprints) > 0 {
		session.outbox.send(batchslots.ToBatch{Quarantined: &batchslots.Quarantined{Fingerprints: fingerprints}})
	}
}

// closeBatch frees all slots of a batch process that is gone.
func (c *Controller) closeBatch(session *batchSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	session.outbox.close()
	delete(c.batch.sessions, session)
	now := time.Now()
	for id, slot := range c.batch.slots {
		if slot.session == session {
			c.freeBatch(id, slot, now)
		}
	}
}

func (c *Controller) receiveBatch(session *batchSession, message batchslots.ToEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case message.Demand != nil:
		clear(session.wants)
		for _, want := range message.Demand.Wants {
			session.wants[want.Model] = want.Slots
		}
		c.fillBatch(now)
	case message.Released != nil:
		c.releaseBatch(session, *message.Released, now)
	}
}

func (c *Controller) releaseBatch(session *batchSession, released batchslots.Released, now time.Time) {
	slot, ok := c.batch.slots[released.Slot]
	if !ok || slot.session != session {
		return
	}
	metricBatchWasted.Add(max(0, released.TokensWasted))
	c.observeBatch(slot.target, released, now)
	c.freeBatch(released.Slot, slot, now)
	c.fillBatch(now)
}

// observeBatch learns from a batch item. Its times say nothing of online requests and are left out.
func (c *Controller) observeBatch(t *targetState, released batchslots.Released, now time.Time) {
	if signal, ok := signals[released.Outcome.End]; ok {
		t.pool.health.Observe(now, t.settings.Name, signal, 0)
	}
	switch released.Outcome.End {
	case admission.EndCompleted:
		c.quarantine.Finished(released.Fingerprint)
	case admission.EndCut:
		c.cut(t, released.Fingerprint, now)
	}
}

// freeBatch gives a batch slot back and lets online requests have it first.
func (c *Controller) freeBatch(id uint64, slot batchSlot, now time.Time) {
	delete(c.batch.slots, id)
	slot.session.held[slot.model]--
	t := slot.target
	if t.ledger == nil || !t.ledger.ReleaseBatch(id) {
		return
	}
	t.notify()
	c.pump(t.pool, now)
}

// fillBatch grants batch slots on the targets that this VM owns.
func (c *Controller) fillBatch(now time.Time) {
	if c.draining {
		return
	}
	for session := range c.batch.sessions {
		for _, model := range sortedNames(session.wants) {
			c.fillModel(session, model, now)
		}
	}
}

func (c *Controller) fillModel(session *batchSession, model string, now time.Time) {
	p := c.pools[servesModel(model)]
	if p == nil {
		return
	}
	for session.held[model] < session.wants[model] {
		t := c.roomiest(p, now)
		if t == nil {
			return
		}
		c.grantBatch(session, model, t)
	}
}

// roomiest returns the owned target with the most room for batch work, or nil.
func (c *Controller) roomiest(p *pool, now time.Time) *targetState {
	var best *targetState
	most := 0
	for _, t := range p.targets {
		if room := t.batchRoom(now); room > most {
			best, most = t, room
		}
	}
	return best
}

func (t *targetState) batchRoom(now time.Time) int {
	if t.ledger == nil {
		return 0
	}
	share := t.pool.health.Share(now, t.settings.Name)
	return t.ledger.BatchRoom(now, int(share*float64(t.pacer.Limit())))
}

func (c *Controller) grantBatch(session *batchSession, model string, t *targetState) {
	c.batch.lastSlot++
	id := c.batch.lastSlot
	t.ledger.GrantBatch(id)
	c.batch.slots[id] = batchSlot{session: session, target: t, model: model}
	session.held[model]++
	metricBatchGranted.Inc()
	session.outbox.send(batchslots.ToBatch{Granted: &batchslots.Granted{
		Slot:    id,
		Model:   model,
		Target:  t.settings.Name,
		Address: t.settings.Address,
	}})
}

// revoke asks the batch process to give slots up at once.
func (c *Controller) revoke(ids []uint64) {
	for _, id := range ids {
		slot, ok := c.batch.slots[id]
		if !ok {
			continue
		}
		metricBatchRevoked.Inc()
		slot.session.outbox.send(batchslots.ToBatch{Revoked: &batchslots.Revoked{Slot: id}})
	}
}

func (c *Controller) tellBatch(message batchslots.ToBatch) {
	for session := range c.batch.sessions {
		session.outbox.send(message)
	}
}
