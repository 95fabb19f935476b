package target

import (
	"cmp"
	"slices"
	"time"
)

// LedgerConfig configures the owner's ledger of one target.
type LedgerConfig struct {
	// TTL is the lifetime of a credit grant. Default 6s.
	TTL time.Duration
	// Drain is how long an expired grant still counts, because requests that the holder started before
	// the expiry may still be running. It does not apply if the holder is dead. Default 15s.
	Drain time.Duration
	// BatchGrantDelay is how long a new owner grants no batch slots, so that holders can report the
	// requests that they are already running. Default 3s.
	BatchGrantDelay time.Duration
	// MaxHeadroom bounds the slots kept free of batch work, as a share of the target's slots. Default 0.0625.
	MaxHeadroom float64
}

func (c LedgerConfig) withDefaults() LedgerConfig {
	c.TTL = cmp.Or(c.TTL, 6*time.Second)
	c.Drain = cmp.Or(c.Drain, 15*time.Second)
	c.BatchGrantDelay = cmp.Or(c.BatchGrantDelay, 3*time.Second)
	c.MaxHeadroom = cmp.Or(c.MaxHeadroom, 0.0625)
	return c
}

// CreditRequest is a holder's request for credits for one target. It also renews the holder's grant and
// returns credits. It is idempotent.
type CreditRequest struct {
	// Holder is the VM that sends the request.
	Holder string
	// Session identifies the holder's process. It differs after each restart.
	Session uint64
	// Sequence increases with each request of a session.
	Sequence uint64
	// Held is the number of credits that the holder keeps; it uses no more until it receives a response.
	Held int
	// InUse is the number of requests that the holder is running on the target.
	InUse int
	// Want is the number of requests that the holder runs or has waiting. Batch slots are revoked to make
	// room for them.
	Want int
	// Spare is the number of credits that the holder would like to have in anticipation of further
	// requests. They are granted from free slots only.
	Spare int
	// Suspect is the fingerprint of the suspect request that the holder runs or wants to run; zero for none.
	Suspect uint64
}

// CreditResponse is the owner's response to a CreditRequest.
type CreditResponse struct {
	// Granted is the number of credits that the holder has from now on. It is never less than Held.
	Granted int
	// TTL is the lifetime of the grant, counted by the holder from before it sent the request.
	TTL time.Duration
	// Obtainable is the number of credits, beyond those granted and wanted, that the owner could grant: free
	// slots, and slots that batch work or holders with unused credits would give up, less the unmet demand.
	Obtainable int
	// Idle is the number of unallocated slots, which can be granted without revoking batch slots.
	Idle int
	// Scarce reports that other holders are waiting for credits, so that unused ones should be returned at once.
	Scarce bool
	// Share is the maximum number of credits that the holder should use while credits are scarce.
	Share int
	// Suspect is the fingerprint of the one suspect request that the holder may run; zero for none.
	Suspect uint64
	// Stale reports that the owner has seen a later request of this holder; the response changes nothing.
	Stale bool
}

// Ledger tracks the allocation of one target's slots on the VM that owns the target.
//
// Slots are divided into credits for entries, slots for batch work, and headroom. While only one ledger
// is in force for a target, the running requests do not exceed its slots.
type Ledger struct {
	config    LedgerConfig
	slots     int
	createdAt time.Time
	holders   map[string]*grant
	batch     map[uint64]*batchSlot
	bursts    burstMeter
	// suspectHolder is the VM that runs the target's one suspect request; empty for none.
	suspectHolder string
	// suspectBatch reports that a batch item is the target's one suspect request.
	suspectBatch bool
}

type grant struct {
	session  uint64
	sequence uint64
	credits  int
	inUse    int
	want     int
	suspect  uint64
	expires  time.Time
	// notified reports that the last response marked credits as scarce, so that the holder keeps no unused ones.
	notified bool
}

type batchSlot struct {
	id      uint64
	revoked bool
	suspect bool
}

// NewLedger returns the ledger of a target whose ownership this VM has just taken.
func NewLedger(config LedgerConfig, slots int, now time.Time) *Ledger {
	return &Ledger{
		config:    config.withDefaults(),
		slots:     slots,
		createdAt: now,
		holders:   make(map[string]*grant),
		batch:     make(map[uint64]*batchSlot),
	}
}

// SetSlots changes the number of the target's slots. Slots in use above the new number drain.
func (l *Ledger) SetSlots(slots int) { l.slots = slots }

// HandleRequest handles a credit request. It also returns the ids of batch slots to revoke, so that a
// later call can grant more.
func (l *Ledger) HandleRequest(now time.Time, request CreditRequest) (CreditResponse, []uint64) {
	g := l.holder(request)
	if request.Sequence < g.sequence {
		return CreditResponse{Stale: true}, nil
	}
	g.sequence = request.Sequence
	g.inUse = request.InUse
	g.want = request.Want
	l.assignSuspect(request.Holder, g, request.Suspect)
	// A holder that had credits from another owner may hold more than this ledger would grant; they are
	// recorded as they are.
	g.credits = max(request.Held, request.InUse)
	g.expires = now.Add(l.config.TTL)
	share := l.share(request.Holder)
	g.credits += max(0, min(min(g.want, share)-g.credits, l.free()))
	g.credits += max(0, min(min(request.Spare, share)-g.credits, l.free()-l.shortage()))
	l.bursts.observe(now, l.credits())
	revoke := l.reclaim()
	g.notified = l.shortage() > 0
	return CreditResponse{
		Granted:    g.credits,
		TTL:        l.config.TTL,
		Obtainable: l.Obtainable(request.Holder),
		Idle:       l.IdleSlots(),
		Scarce:     g.notified,
		Share:      share,
		Suspect:    g.suspect,
	}, revoke
}

func (l *Ledger) holder(request CreditRequest) *grant {
	g := l.holders[request.Holder]
	if g == nil || g.session != request.Session {
		// The requests of the previous process ended with it.
		l.remove(request.Holder)
		g = &grant{session: request.Session}
		l.holders[request.Holder] = g
	}
	return g
}

// assignSuspect lets at most one suspect request of all holders run on the target, so that a crash can
// be attributed to it.
func (l *Ledger) assignSuspect(vm string, g *grant, fingerprint uint64) {
	if l.suspectHolder == vm && g.suspect != fingerprint {
		l.suspectHolder = ""
	}
	g.suspect = 0
	if fingerprint == 0 {
		return
	}
	if l.CanRunSuspect() || l.suspectHolder == vm {
		l.suspectHolder = vm
		g.suspect = fingerprint
	}
}

// share returns the maximum number of slots that a holder should have, so that a holder with a long
// queue leaves some to the others.
func (l *Ledger) share(vm string) int {
	total := 0
	for _, g := range l.holders {
		total += g.demand()
	}
	if total <= l.slots {
		return l.slots
	}
	demands := make([]demand, 0, len(l.holders))
	for name, g := range l.holders {
		demands = append(demands, demand{name, g.demand()})
	}
	return fairShares(l.slots, demands)[vm]
}

// Obtainable returns the number of credits that a holder could get beyond the present demand: free
// slots, slots that batch work would give up, and credits that others hold and do not use.
func (l *Ledger) Obtainable(vm string) int {
	left := l.slots - l.shortage()
	for name, g := range l.holders {
		if name == vm {
			left -= g.credits
		} else {
			left -= min(g.demand(), g.credits)
		}
	}
	return max(0, left)
}

// IdleSlots returns the number of unallocated slots.
func (l *Ledger) IdleSlots() int { return max(0, l.free()) }

// IdleHolders returns the holders whose unused credits would cover a shortage that exceeds the batch
// slots being revoked.
func (l *Ledger) IdleHolders() []string {
	return l.holdersDuringShortage(func(g *grant) bool { return g.credits > g.demand() })
}

// UnnotifiedHolders returns the holders that have not been told of a shortage that exceeds the batch slots
// being revoked. They keep unused credits for a while, and requests that they last reported as running may
// have ended.
func (l *Ledger) UnnotifiedHolders() []string {
	return l.holdersDuringShortage(func(g *grant) bool { return g.credits > 0 && !g.notified })
}

func (l *Ledger) holdersDuringShortage(matches func(g *grant) bool) []string {
	if l.shortage() <= l.revoked() {
		return nil
	}
	var names []string
	for vm, g := range l.holders {
		if matches(g) {
			names = append(names, vm)
		}
	}
	slices.Sort(names)
	return names
}

// revoked returns the number of batch slots that are being revoked.
func (l *Ledger) revoked() int {
	n := 0
	for _, slot := range l.batch {
		if slot.revoked {
			n++
		}
	}
	return n
}

// UnmetDemand returns the number of credits that a holder wants and does not have.
func (l *Ledger) UnmetDemand(vm string) int {
	g := l.holders[vm]
	if g == nil {
		return 0
	}
	return max(0, g.want-g.credits)
}

// PendingReclaim returns how many of a holder's unmet credits the batch slots being revoked will cover, as
// far as its share allows.
func (l *Ledger) PendingReclaim(vm string) int {
	g := l.holders[vm]
	if g == nil {
		return 0
	}
	return max(0, min(min(g.want, l.share(vm))-g.credits, l.revoked()))
}

// demand is the number of slots that a holder uses or could use.
func (g *grant) demand() int { return max(g.want, g.inUse) }

// free returns the number of unallocated slots. It is negative while slots are overcommitted.
func (l *Ledger) free() int { return l.slots - l.credits() - len(l.batch) }

// credits returns the number of credits that all holders have.
func (l *Ledger) credits() int {
	total := 0
	for _, g := range l.holders {
		total += g.credits
	}
	return total
}

// shortage returns the number of credits that holders want and do not have.
func (l *Ledger) shortage() int {
	total := 0
	for _, g := range l.holders {
		total += max(0, g.want-g.credits)
	}
	return total
}

// reclaim marks and returns batch slots to revoke until the slots being revoked cover the shortage.
func (l *Ledger) reclaim() []uint64 {
	needed := l.shortage() - max(0, l.free())
	running := make([]*batchSlot, 0, len(l.batch))
	for _, slot := range l.batch {
		if slot.revoked {
			needed--
			continue
		}
		running = append(running, slot)
	}
	if needed <= 0 {
		return nil
	}
	// Revoking the newest slots wastes the least work.
	slices.SortFunc(running, func(a, b *batchSlot) int { return cmp.Compare(b.id, a.id) })
	var ids []uint64
	for _, slot := range running[:min(needed, len(running))] {
		slot.revoked = true
		ids = append(ids, slot.id)
	}
	return ids
}

// Expire takes back the credits of holders that have not renewed them. A holder that is not known to
// be dead may still be running requests, so its credits continue to count for Drain.
func (l *Ledger) Expire(now time.Time, isDead func(vm string) bool) {
	for vm, g := range l.holders {
		if now.Before(g.expires) {
			continue
		}
		// An expired holder cannot use further credits before its next request.
		g.want = 0
		if isDead(vm) || !now.Before(g.expires.Add(l.config.Drain)) {
			l.remove(vm)
		}
	}
}

func (l *Ledger) remove(vm string) {
	delete(l.holders, vm)
	if l.suspectHolder == vm {
		l.suspectHolder = ""
	}
}

// AvailableBatchSlots returns the number of additional batch slots that may be granted if the target
// should run at most limit of them.
func (l *Ledger) AvailableBatchSlots(now time.Time, limit int) int {
	if now.Before(l.createdAt.Add(l.config.BatchGrantDelay)) {
		return 0
	}
	available := l.free() - l.shortage() - l.Headroom(now)
	return max(0, min(available, limit-len(l.batch)))
}

// Headroom returns the number of slots kept free of batch work for the next burst of online requests.
func (l *Ledger) Headroom(now time.Time) int {
	bound := int(float64(l.slots) * l.config.MaxHeadroom)
	return min(bound, l.bursts.largest(now))
}

// CanRunSuspect reports whether a suspect request may be admitted, that is, no other one may run on the target.
func (l *Ledger) CanRunSuspect() bool { return l.suspectHolder == "" && !l.suspectBatch }

// GrantBatch records a batch slot. The caller has checked AvailableBatchSlots; ids must increase.
func (l *Ledger) GrantBatch(id uint64) { l.batch[id] = &batchSlot{id: id} }

// GrantSuspectBatch records a batch slot for a suspect item. The caller has checked AvailableBatchSlots and
// CanRunSuspect.
func (l *Ledger) GrantSuspectBatch(id uint64) {
	l.batch[id] = &batchSlot{id: id, suspect: true}
	l.suspectBatch = true
}

// ReleaseBatch removes a batch slot and reports whether there was one with that id.
func (l *Ledger) ReleaseBatch(id uint64) bool {
	slot, ok := l.batch[id]
	if !ok {
		return false
	}
	if slot.suspect {
		l.suspectBatch = false
	}
	delete(l.batch, id)
	return true
}

// RevokeBatch marks and returns up to n batch slots that are not being revoked yet.
func (l *Ledger) RevokeBatch(n int) []uint64 {
	running := make([]uint64, 0, len(l.batch))
	for id, slot := range l.batch {
		if !slot.revoked {
			running = append(running, id)
		}
	}
	slices.SortFunc(running, func(a, b uint64) int { return cmp.Compare(b, a) })
	running = running[:min(max(n, 0), len(running))]
	for _, id := range running {
		l.batch[id].revoked = true
	}
	return running
}

// Usage is a summary of a ledger.
type Usage struct {
	// Slots is the number of the target's slots.
	Slots int
	// Credits is the number of slots that entries hold.
	Credits int
	// Online is the number of requests that entries reported as running.
	Online int
	// Batch is the number of slots that batch work holds.
	Batch int
}

// Usage returns a summary.
func (l *Ledger) Usage() Usage {
	usage := Usage{Slots: l.slots, Credits: l.credits(), Batch: len(l.batch)}
	for _, g := range l.holders {
		usage.Online += g.inUse
	}
	return usage
}
