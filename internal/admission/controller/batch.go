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

// batchFillTime is the longest that filling all slots of a target with batch items may take.
const batchFillTime = time.Second

// batchState holds the batch slots granted by this entry.
type batchState struct {
	lastSlotID uint64
	slots      map[uint64]batchSlot
	sessions   map[*batchSession]bool
}

// batchSlot is a slot granted to batch work.
type batchSlot struct {
	session *batchSession
	target  *targetState
	model   string
	// suspect is the fingerprint of the suspect item that the slot was granted for; zero for none.
	suspect uint64
}

// batchSession is the state of one batch process's stream.
type batchSession struct {
	wants map[string]batchslots.Want
	// held counts the granted slots of each model, without those for suspects.
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

// handleBatch serves the stream of this VM's batch process.
func (c *Controller) handleBatch(ctx context.Context, from peer.Identity, stream peer.Stream) error {
	if from.VM != c.config.VM {
		return &peer.RemoteError{Code: "forbidden", Message: "batch slots are granted on the same VM only"}
	}
	session := newBatchSession()
	c.addBatchSession(session)
	defer c.removeBatchSession(session)
	stop := context.AfterFunc(ctx, session.outbox.close)
	defer stop()
	go session.outbox.drainTo(stream)
	for {
		var message batchslots.ToEntry
		if err := stream.Receive(&message); err != nil {
			return err
		}
		c.handleBatchMessage(session, message)
	}
}

func (c *Controller) addBatchSession(session *batchSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch.sessions[session] = true
	if fingerprints := c.quarantine.Fingerprints(); len(fingerprints) > 0 {
		session.outbox.send(batchslots.ToBatch{Quarantined: &batchslots.Quarantined{Fingerprints: fingerprints}})
	}
	if len(c.announcedGroups) > 0 {
		session.outbox.send(batchslots.ToBatch{Blamed: &batchslots.Blamed{Groups: c.announcedGroups}})
	}
}

// removeBatchSession frees all slots of a batch process whose stream has ended.
func (c *Controller) removeBatchSession(session *batchSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	session.outbox.close()
	delete(c.batch.sessions, session)
	now := time.Now()
	for id, slot := range c.batch.slots {
		if slot.session == session {
			c.freeBatchSlot(id, slot, now)
		}
	}
}

func (c *Controller) handleBatchMessage(session *batchSession, message batchslots.ToEntry) {
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
		c.releaseBatchSlot(session, *message.Released, now)
	}
}

func (c *Controller) releaseBatchSlot(session *batchSession, released batchslots.Released, now time.Time) {
	slot, ok := c.batch.slots[released.Slot]
	if !ok || slot.session != session {
		return
	}
	metricBatchWasted.Add(max(0, released.TokensWasted))
	c.recordBatchOutcome(slot.target, released, now)
	c.freeBatchSlot(released.Slot, slot, now)
	c.fillBatch(now)
}

// recordBatchOutcome updates health and quarantine with a batch item's outcome. Its durations are not recorded,
// because they do not predict those of online requests.
func (c *Controller) recordBatchOutcome(t *targetState, released batchslots.Released, now time.Time) {
	if signal, ok := healthSignals[released.Outcome.End]; ok {
		t.pool.health.Observe(now, t.settings.Name, signal, 0)
	}
	switch released.Outcome.End {
	case admission.EndCompleted:
		c.quarantine.RecordCompletion(released.Fingerprint)
	case admission.EndInterrupted:
		c.recordCrash(t, released.Fingerprint, now)
	case admission.EndCancelled:
		c.recordCancellation(t, released.Fingerprint, now)
	}
	c.attribute(t, quarantine.Content{Fingerprint: released.Fingerprint, Parts: released.PromptParts}, released.Outcome, now)
}

// announceBlames tells the batch processes which groups are blamed, when that has changed.
func (c *Controller) announceBlames(now time.Time) {
	groups := c.quarantine.BlockedGroups(now)
	if slices.EqualFunc(groups, c.announcedGroups, slices.Equal) {
		return
	}
	c.announcedGroups = groups
	c.sendToBatch(batchslots.ToBatch{Blamed: &batchslots.Blamed{Groups: groups}})
}

// freeBatchSlot returns a batch slot and offers it to online requests first.
func (c *Controller) freeBatchSlot(id uint64, slot batchSlot, now time.Time) {
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
	t.notifyLedgerChange()
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
	p := c.pools[modelPoolKey(want.Model)]
	if p == nil {
		return
	}
	for session.held[want.Model] < want.Slots {
		t := c.targetWithMostRoom(p, now)
		if t == nil {
			return
		}
		id := c.grantBatchSlot(batchSlot{session: session, target: t, model: want.Model}, now)
		t.ledger.GrantBatch(id)
		session.held[want.Model]++
	}
}

// fillSuspects grants slots for suspect items, at most one on each target.
func (c *Controller) fillSuspects(session *batchSession, want batchslots.Want, now time.Time) {
	p := c.pools[modelPoolKey(want.Model)]
	if p == nil {
		return
	}
	for _, fingerprint := range want.Suspects {
		if session.suspects[fingerprint] || c.quarantine.Status(fingerprint) == quarantine.Quarantined {
			continue
		}
		t := c.suspectBatchTarget(p, fingerprint, now)
		if t == nil {
			continue
		}
		id := c.grantBatchSlot(batchSlot{session: session, target: t, model: want.Model, suspect: fingerprint}, now)
		t.ledger.GrantSuspectBatch(id)
		session.suspects[fingerprint] = true
	}
}

// suspectBatchTarget returns the owned target with the highest rank for a suspect item, or nil. It prefers targets
// that the item has not crashed; a VM that owns no other has to use the same one again.
func (c *Controller) suspectBatchTarget(p *pool, fingerprint uint64, now time.Time) *targetState {
	crashed := c.quarantine.Targets(fingerprint)
	var best *targetState
	var bestRank uint64
	bestCrashed := false
	for _, t := range p.targets {
		if t.batchRoom(now) == 0 || !t.ledger.CanRunSuspect() {
			continue
		}
		alreadyCrashed := slices.Contains(crashed, t.settings.Name)
		rank := dispatch.BlockRank(fingerprint, t.settings.Name)
		if best == nil || bestCrashed && !alreadyCrashed || bestCrashed == alreadyCrashed && rank > bestRank {
			best, bestRank, bestCrashed = t, rank, alreadyCrashed
		}
	}
	return best
}

// targetWithMostRoom returns the owned target with the most room for batch items among those that may start one
// now, or nil.
func (c *Controller) targetWithMostRoom(p *pool, now time.Time) *targetState {
	var best *targetState
	most := 0
	for _, t := range p.targets {
		room := t.batchRoom(now)
		if room > 0 && now.Before(t.nextBatchStart) {
			c.scheduleFill(t, now)
			continue
		}
		if room > most {
			best, most = t, room
		}
	}
	return best
}

// batchSpacing is the time between the starts of two batch items. It is about the time that a prompt takes to
// process, so that an online request does not queue behind the prompts of many items. It is zero while there are
// no online requests.
func (t *targetState) batchSpacing() time.Duration {
	return min(2*t.pacer.FirstToken(), batchFillTime/time.Duration(t.settings.Slots))
}

// scheduleFill sets a timer that grants batch slots when the target may start the next item.
func (c *Controller) scheduleFill(t *targetState, now time.Time) {
	if t.fillScheduled {
		return
	}
	t.fillScheduled = true
	time.AfterFunc(t.nextBatchStart.Sub(now), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		t.fillScheduled = false
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

// grantBatchSlot sends the batch process a grant for a slot and returns the slot's id.
func (c *Controller) grantBatchSlot(slot batchSlot, now time.Time) uint64 {
	slot.target.lastBatchStart = now
	slot.target.batchStarts = min(slot.target.batchStarts+1, maxBatchStarts)
	slot.target.nextBatchStart = now.Add(slot.target.batchSpacing())
	c.batch.lastSlotID++
	id := c.batch.lastSlotID
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

// revokeBatchSlots tells the batch process to release slots immediately.
func (c *Controller) revokeBatchSlots(ids []uint64) {
	for _, id := range ids {
		slot, ok := c.batch.slots[id]
		if !ok {
			continue
		}
		metricBatchRevoked.Inc()
		slot.session.outbox.send(batchslots.ToBatch{Revoked: &batchslots.Revoked{Slot: id}})
	}
}

func (c *Controller) sendToBatch(message batchslots.ToBatch) {
	for session := range c.batch.sessions {
		session.outbox.send(message)
	}
}
