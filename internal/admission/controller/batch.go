package controller

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
)

// batchFillTime bounds the time in which a target's slots are filled with batch work.
const batchFillTime = time.Second

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
	// suspect is the fingerprint of the suspect item that the slot is for; zero for none.
	suspect uint64
}

// batchSession is one connection of a batch process.
type batchSession struct {
	wants map[string]batchslots.Want
	// held counts the slots of each model that are not for suspects.
	held map[string]int
	// suspects are the fingerprints of the suspect items that have a slot.
	suspects map[uint64]bool
	outbox   *outbox
}

func newBatchSession() *batchSession {
	return &batchSession{
		wants:    make(map[string]batchslots.Want),
		held:     make(map[string]int),
		suspects: make(map[uint64]bool),
		outbox:   newOutbox(),
	}
}

func newBatchState() batchState {
	return batchState{slots: make(map[uint64]batchSlot), sessions: make(map[*batchSession]bool)}
}

// handleBatch serves the stream of the batch process on this VM.
func (c *Controller) handleBatch(ctx context.Context, from peer.Identity, stream peer.Stream) error {
	if from.VM != c.config.VM {
		return &peer.RemoteError{Code: "forbidden", Message: "batch slots are granted on the same VM only"}
	}
	session := newBatchSession()
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
			session.wants[want.Model] = want
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
		c.quarantine.RecordCompletion(released.Fingerprint)
	case admission.EndCut:
		c.cut(t, released.Fingerprint, now)
	}
}

// freeBatch gives a batch slot back and lets online requests have it first.
func (c *Controller) freeBatch(id uint64, slot batchSlot, now time.Time) {
	delete(c.batch.slots, id)
	if slot.suspect != 0 {
		delete(slot.session.suspects, slot.suspect)
	} else {
		slot.session.held[slot.model]--
	}
	t := slot.target
	if t.ledger == nil || !t.ledger.ReleaseBatch(id) {
		return
	}
	t.notify()
	c.dispatchWaiting(t.pool, now)
}

// fillBatch grants batch slots on the targets that this VM owns.
func (c *Controller) fillBatch(now time.Time) {
	if c.draining {
		return
	}
	for session := range c.batch.sessions {
		for _, model := range sortedNames(session.wants) {
			c.fillSuspects(session, session.wants[model], now)
			c.fillModel(session, session.wants[model], now)
		}
	}
}

func (c *Controller) fillModel(session *batchSession, want batchslots.Want, now time.Time) {
	p := c.pools[servesModel(want.Model)]
	if p == nil {
		return
	}
	for session.held[want.Model] < want.Slots {
		t := c.roomiest(p, now)
		if t == nil {
			return
		}
		id := c.grantBatch(batchSlot{session: session, target: t, model: want.Model}, now)
		t.ledger.GrantBatch(id)
		session.held[want.Model]++
	}
}

// fillSuspects grants slots for suspect items: one of all suspects on each target.
func (c *Controller) fillSuspects(session *batchSession, want batchslots.Want, now time.Time) {
	p := c.pools[servesModel(want.Model)]
	if p == nil {
		return
	}
	for _, fingerprint := range want.Suspects {
		if session.suspects[fingerprint] || c.quarantine.Status(fingerprint) == quarantine.Quarantined {
			continue
		}
		t := c.suspectTarget(p, fingerprint, now)
		if t == nil {
			continue
		}
		id := c.grantBatch(batchSlot{session: session, target: t, model: want.Model, suspect: fingerprint}, now)
		t.ledger.GrantSuspectBatch(id)
		session.suspects[fingerprint] = true
	}
}

// suspectTarget returns the owned target with the highest rank for a suspect item, or nil. One that it
// has not crashed is preferred; a VM that owns no other has to use the same again.
func (c *Controller) suspectTarget(p *pool, fingerprint uint64, now time.Time) *targetState {
	crashed := c.quarantine.Targets(fingerprint)
	var best *targetState
	var bestRank uint64
	bestCrashed := false
	for _, t := range p.targets {
		if t.batchRoom(now) == 0 || !t.ledger.CanRunSuspect() {
			continue
		}
		again := slices.Contains(crashed, t.settings.Name)
		rank := dispatch.BlockRank(fingerprint, t.settings.Name)
		if best == nil || bestCrashed && !again || bestCrashed == again && rank > bestRank {
			best, bestRank, bestCrashed = t, rank, again
		}
	}
	return best
}

// roomiest returns the owned target with the most room for batch work that may be given an item now, or nil.
func (c *Controller) roomiest(p *pool, now time.Time) *targetState {
	var best *targetState
	most := 0
	for _, t := range p.targets {
		room := t.batchRoom(now)
		if room > 0 && now.Before(t.nextBatch) {
			c.fillLater(t, now)
			continue
		}
		if room > most {
			best, most = t, room
		}
	}
	return best
}

// batchSpacing is the time between the starts of two batch items, about that of processing a prompt, so
// that the prompts of many items are not processed before that of an online request. It is zero while
// there are no online requests.
func (t *targetState) batchSpacing() time.Duration {
	return min(2*t.pacer.FirstToken(), batchFillTime/time.Duration(t.settings.Slots))
}

// fillLater grants batch slots again when the target may be given the next item.
func (c *Controller) fillLater(t *targetState, now time.Time) {
	if t.fillPlanned {
		return
	}
	t.fillPlanned = true
	time.AfterFunc(t.nextBatch.Sub(now), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		t.fillPlanned = false
		c.fillBatch(time.Now())
	})
}

func (t *targetState) batchRoom(now time.Time) int {
	if t.ledger == nil {
		return 0
	}
	share := t.pool.health.Share(now, t.settings.Name)
	return t.ledger.AvailableBatchSlots(now, int(share*float64(t.pacer.Limit())))
}

// grantBatch hands a slot out and returns its id.
func (c *Controller) grantBatch(slot batchSlot, now time.Time) uint64 {
	slot.target.batchStarted = now
	slot.target.batchStarts = min(slot.target.batchStarts+1, maxBatchStarts)
	slot.target.nextBatch = now.Add(slot.target.batchSpacing())
	c.batch.lastSlot++
	id := c.batch.lastSlot
	c.batch.slots[id] = slot
	metricBatchGranted.Inc()
	slot.session.outbox.send(batchslots.ToBatch{Granted: &batchslots.Granted{
		Slot:    id,
		Model:   slot.model,
		Target:  slot.target.settings.Name,
		Address: slot.target.settings.Address,
		Suspect: slot.suspect,
	}})
	return id
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
