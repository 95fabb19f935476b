package target

import (
	"cmp"
	"slices"
	"time"
)

// LedgerConfig configures the owner's ledger of one target.
type LedgerConfig struct {
	// TTL is how long a grant of credits lasts. Default 6s.
	TTL time.Duration
	// Drain is how long after its end a grant still counts, because requests that a holder
	// started in time may be running. It is not waited for when the holder is dead. Default 15s.
	Drain time.Duration
	// Settle is how long a new owner grants no batch slots, so that holders can report what they
	// run already. Default 3s.
	Settle time.Duration
	// MaxHeadroom bounds the slots kept free of batch work, as a share of the target's slots. Default 0.0625.
	MaxHeadroom float64
}

func (c LedgerConfig) withDefaults() LedgerConfig {
	c.TTL = cmp.Or(c.TTL, 6*time.Second)
	c.Drain = cmp.Or(c.Drain, 15*time.Second)
	c.Settle = cmp.Or(c.Settle, 3*time.Second)
	c.MaxHeadroom = cmp.Or(c.MaxHeadroom, 0.0625)
	return c
}

// CreditRequest is a holder's request for credits of one target. It doubles as the renewal and as the return
// of credits. Repeating it is harmless.
type CreditRequest struct {
	// Holder is the VM that asks.
	Holder string
	// Session identifies the holder's process. It differs after each start.
	Session uint64
	// Sequence rises with each ask of a session.
	Sequence uint64
	// Held is the number of credits that the holder keeps; it uses no more until it is answered.
	Held int
	// InUse is the number of requests that the holder is running on the target.
	InUse int
	// Want is the number of requests that the holder runs or has waiting. Batch work makes room for them.
	Want int
	// Spare is the number of credits that the holder would like to have in case more requests come.
	// They are granted from free slots only.
	Spare int
	// Suspect is the fingerprint of the suspect request that the holder runs or wants to run; zero for none.
	Suspect uint64
}

// CreditResponse is the owner's answer to an Ask.
type CreditResponse struct {
	// Granted is the number of credits that the holder has from now on. It is never less than Held.
	Granted int
	// TTL is the life of the grant, counted by the holder from before it sent the ask.
	TTL time.Duration
	// Obtainable is the number of credits, beyond those granted and wanted, that the owner could grant: free
	// slots and slots that batch work or others with unused credits would give up, less what is waited for.
	Obtainable int
	// Idle is the number of slots that nobody has: they can be had without taking any from batch work.
	Idle int
	// Scarce says that others wait for credits, so that unused ones should be returned at once.
	Scarce bool
	// Share is the number of credits that the holder should use at most while credits are scarce.
	Share int
	// Suspect is the fingerprint of the one suspect request that the holder may run; zero for none.
	Suspect uint64
	// Stale says that the owner has seen a later ask of this holder; the answer changes nothing.
	Stale bool
}

// Ledger is the owner's account of the slots of one target.
//
// Slots are split into credits for entries, slots for batch work, and headroom. While one ledger
// is in force for a target, the running requests do not exceed its slots.
type Ledger struct {
	config  LedgerConfig
	slots   int
	since   time.Time
	holders map[string]*grant
	batch   map[uint64]*batchSlot
	bursts  burstMeter
	// suspectHolder is the VM that runs the target's one suspect request; empty for none.
	suspectHolder string
	// suspectBatch says that a batch item is the target's one suspect request.
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
	// told says that the last answer named the credits scarce, so that the holder keeps none that it does not use.
	told bool
}

type batchSlot struct {
	id      uint64
	revoked bool
	suspect bool
}

// NewLedger returns the ledger of a target that this VM has just come to own.
func NewLedger(config LedgerConfig, slots int, now time.Time) *Ledger {
	return &Ledger{
		config:  config.withDefaults(),
		slots:   slots,
		since:   now,
		holders: make(map[string]*grant),
		batch:   make(map[uint64]*batchSlot),
	}
}

// SetSlots changes the number of the target's slots. Slots in use beyond it drain.
func (l *Ledger) SetSlots(slots int) { l.slots = slots }

// HandleRequest handles an ask. The ids returned are batch slots to revoke, so that a later call can grant more.
func (l *Ledger) HandleRequest(now time.Time, ask CreditRequest) (CreditResponse, []uint64) {
	g := l.holder(ask)
	if ask.Sequence < g.sequence {
		return CreditResponse{Stale: true}, nil
	}
	g.sequence = ask.Sequence
	g.inUse = ask.InUse
	g.want = ask.Want
	l.assignSuspect(ask.Holder, g, ask.Suspect)
	// A holder that comes from another owner may hold more than this ledger would grant: the fact is recorded.
	g.credits = max(ask.Held, ask.InUse)
	g.expires = now.Add(l.config.TTL)
	share := l.share(ask.Holder)
	g.credits += max(0, min(min(g.want, share)-g.credits, l.free()))
	g.credits += max(0, min(min(ask.Spare, share)-g.credits, l.free()-l.shortage()))
	l.bursts.observe(now, l.credits())
	revoke := l.reclaim()
	g.told = l.shortage() > 0
	return CreditResponse{
		Granted:    g.credits,
		TTL:        l.config.TTL,
		Obtainable: l.Obtainable(ask.Holder),
		Idle:       l.IdleSlots(),
		Scarce:     g.told,
		Share:      share,
		Suspect:    g.suspect,
	}, revoke
}

func (l *Ledger) holder(ask CreditRequest) *grant {
	g := l.holders[ask.Holder]
	if g == nil || g.session != ask.Session {
		// The requests of an earlier process ended with it.
		l.drop(ask.Holder)
		g = &grant{session: ask.Session}
		l.holders[ask.Holder] = g
	}
	return g
}

// assignSuspect lets at most one suspect request of all holders run on the target, so that a crash
// tells which of them caused it.
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

// share is the number of slots that a holder should have at most, so that a holder with a long
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

// Obtainable returns the number of credits that a holder could get beyond those that are wanted already:
// free slots, those that batch work would give up, and those that others hold and do not use.
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

// IdleSlots returns the number of slots that nobody has.
func (l *Ledger) IdleSlots() int { return max(0, l.free()) }

// IdleHolders returns the holders whose unused credits would meet a shortage that batch work does not meet.
func (l *Ledger) IdleHolders() []string {
	return l.shortHolders(func(g *grant) bool { return g.credits > g.demand() })
}

// UnnotifiedHolders returns the holders that have not been told of a shortage that batch work does not meet. They keep for a
// while what they no longer use, and what they used when they last asked may have ended.
func (l *Ledger) UnnotifiedHolders() []string {
	return l.shortHolders(func(g *grant) bool { return g.credits > 0 && !g.told })
}

func (l *Ledger) shortHolders(isMeant func(g *grant) bool) []string {
	if l.shortage() <= l.revoked() {
		return nil
	}
	var names []string
	for vm, g := range l.holders {
		if isMeant(g) {
			names = append(names, vm)
		}
	}
	slices.Sort(names)
	return names
}

// revoked is the number of batch slots that are being given up.
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

// PendingReclaim returns how many of a holder's unmet credits batch work is about to give up, as far as its share allows.
func (l *Ledger) PendingReclaim(vm string) int {
	g := l.holders[vm]
	if g == nil {
		return 0
	}
	return max(0, min(min(g.want, l.share(vm))-g.credits, l.revoked()))
}

// demand is the number of slots that a holder uses or could use.
func (g *grant) demand() int { return max(g.want, g.inUse) }

// free is the number of slots that nobody has. It is negative while slots are over-committed.
func (l *Ledger) free() int { return l.slots - l.credits() - len(l.batch) }

// credits is the number of credits that holders have.
func (l *Ledger) credits() int {
	total := 0
	for _, g := range l.holders {
		total += g.credits
	}
	return total
}

// shortage is the number of credits that holders want and do not have.
func (l *Ledger) shortage() int {
	total := 0
	for _, g := range l.holders {
		total += max(0, g.want-g.credits)
	}
	return total
}

// reclaim marks and returns batch slots to revoke until those being given up cover the shortage.
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
	// The newest slot has the least work behind it.
	slices.SortFunc(running, func(a, b *batchSlot) int { return cmp.Compare(b.id, a.id) })
	var ids []uint64
	for _, slot := range running[:min(needed, len(running))] {
		slot.revoked = true
		ids = append(ids, slot.id)
	}
	return ids
}

// Expire takes back the credits of holders that have not renewed them. A holder that is not known
// to be dead may still run requests, so its credits count for Drain longer.
func (l *Ledger) Expire(now time.Time, isDead func(vm string) bool) {
	for vm, g := range l.holders {
		if now.Before(g.expires) {
			continue
		}
		// An expired holder cannot use what it wants before it asks again.
		g.want = 0
		if isDead(vm) || !now.Before(g.expires.Add(l.config.Drain)) {
			l.drop(vm)
		}
	}
}

func (l *Ledger) drop(vm string) {
	delete(l.holders, vm)
	if l.suspectHolder == vm {
		l.suspectHolder = ""
	}
}

// AvailableBatchSlots returns the number of further batch slots that may be granted, when the target should
// run at most limit of them.
func (l *Ledger) AvailableBatchSlots(now time.Time, limit int) int {
	if now.Before(l.since.Add(l.config.Settle)) {
		return 0
	}
	room := l.free() - l.shortage() - l.Headroom(now)
	return max(0, min(room, limit-len(l.batch)))
}

// Headroom returns the number of slots kept free of batch work for the next burst.
func (l *Ledger) Headroom(now time.Time) int {
	bound := int(float64(l.slots) * l.config.MaxHeadroom)
	return min(bound, l.bursts.largest(now))
}

// CanRunSuspect reports whether no suspect request has the right to run on the target.
func (l *Ledger) CanRunSuspect() bool { return l.suspectHolder == "" && !l.suspectBatch }

// GrantBatch records a batch slot. The caller has checked BatchRoom; ids rise.
func (l *Ledger) GrantBatch(id uint64) { l.batch[id] = &batchSlot{id: id} }

// GrantSuspectBatch records a batch slot for a suspect item. The caller has checked BatchRoom and SuspectFree.
func (l *Ledger) GrantSuspectBatch(id uint64) {
	l.batch[id] = &batchSlot{id: id, suspect: true}
	l.suspectBatch = true
}

// ReleaseBatch forgets a batch slot and reports whether there was one of that id.
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
