package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/target"
)

const (
	// expansionPeriod is how long after a shortage a VM requests credits for more targets than usual.
	expansionPeriod = 30 * time.Second
	// minExpansionInterval is the minimum time between two expansions. While the whole fleet is overloaded, more
	// messages would not help.
	minExpansionInterval = 5 * time.Second
	// maxExpansionFactor bounds the number of targets after expansions, as a multiple of Config.MinTargets.
	maxExpansionFactor = 4
)

// topology is the settings revision and the members that target ownership was last computed from.
type topology struct {
	revision uint64
	valid    bool
	members  []member.Member
}

// modelPoolKey and servicePoolKey return the keys of pools.
func modelPoolKey(model string) string     { return "model/" + model }
func servicePoolKey(service string) string { return "service/" + service }

func poolKey(t *settings.Target) string {
	if t.Model != "" {
		return modelPoolKey(t.Model)
	}
	return servicePoolKey(t.Service)
}

// tick applies changed settings and members and handles expiries and timeouts.
func (c *Controller) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateTopology(now)
	c.expireLedgers(now)
	c.quarantine.Sweep(now)
	for _, p := range c.pools {
		c.shrinkTargets(p, now)
		c.startProbes(p, now)
		c.refuseLateWaiters(p, now)
		c.dispatchWaiting(p, now)
	}
	c.fillBatch(now)
}

// updateTopology recomputes target ownership if the settings or the members have changed.
func (c *Controller) updateTopology(now time.Time) {
	snapshot := c.config.Settings.Current()
	if snapshot == nil {
		return
	}
	members := c.config.Members.Members()
	unchanged := c.topology.valid && c.topology.revision == snapshot.Revision && slices.Equal(c.topology.members, members)
	if unchanged {
		return
	}
	c.topology = topology{revision: snapshot.Revision, valid: true, members: members}
	c.applyTargets(snapshot)
	c.applyOwners(now)
}

// applyNewRevision applies a settings revision that took effect after the last tick, so that no request is
// refused for lack of a target that its caller already knows.
func (c *Controller) applyNewRevision(now time.Time) {
	snapshot := c.config.Settings.Current()
	if snapshot != nil && snapshot.Revision != c.topology.revision {
		c.updateTopology(now)
	}
}

func (c *Controller) applyTargets(snapshot *settings.Snapshot) {
	for name, t := range c.targets {
		if snapshot.Targets[name] == nil {
			c.removeTarget(t)
		}
	}
	for _, name := range sortedNames(snapshot.Targets) {
		c.applyTarget(snapshot.Targets[name])
	}
	for _, p := range c.pools {
		p.targets = p.targets[:0]
	}
	for _, name := range sortedNames(c.targets) {
		t := c.targets[name]
		t.pool.targets = append(t.pool.targets, t)
	}
	for _, p := range c.pools {
		p.health.SetTargets(p.names())
		c.applyLeaving(p)
	}
}

func (p *pool) names() []string {
	names := make([]string, len(p.targets))
	for i, t := range p.targets {
		names[i] = t.settings.Name
	}
	return names
}

// removeTarget removes a target. Its running requests keep their pointer to it and finish.
func (c *Controller) removeTarget(t *targetState) {
	t.releaseOwnership(c)
	delete(c.targets, t.settings.Name)
}

func (c *Controller) applyTarget(updated *settings.Target) {
	key := poolKey(updated)
	if t := c.targets[updated.Name]; t != nil {
		if t.pool.key == key {
			t.settings = updated
			if t.ledger != nil {
				t.ledger.SetSlots(c.slotsOf(updated))
				t.pacer.SetSlots(updated.Slots)
			}
			return
		}
		c.removeTarget(t)
	}
	c.targets[updated.Name] = &targetState{
		settings:      updated,
		pool:          c.poolFor(key),
		holder:        target.NewHolder(),
		ledgerChanged: make(chan struct{}),
		lastRecall:    make(map[string]time.Time),
	}
}

func (c *Controller) poolFor(key string) *pool {
	p := c.pools[key]
	if p == nil {
		p = &pool{
			key:        key,
			queue:      dispatch.NewQueue(),
			health:     target.NewHealthGroup(c.config.Health),
			minTargets: c.config.MinTargets,
		}
		c.pools[key] = p
	}
	return p
}

// applyOwners assigns the targets to the members and picks those that this VM requests credits for.
func (c *Controller) applyOwners(now time.Time) {
	owned := make([]target.Owned, 0, len(c.targets))
	for _, name := range sortedNames(c.targets) {
		t := c.targets[name]
		owner, ok := target.Owner(name, t.settings.AvailabilityZone, c.topology.members)
		c.setOwner(t, owner, ok, now)
		if ok {
			owned = append(owned, t.ownership)
		}
	}
	minTargets := func(key string) int { return c.pools[key].minTargets }
	subset := target.Subset(c.config.Members.Self(), owned, minTargets)
	for _, t := range c.targets {
		t.active = false
	}
	for _, p := range c.pools {
		p.active = nil
	}
	for _, o := range subset {
		t := c.targets[o.Name]
		t.active = true
		t.pool.active = append(t.pool.active, t)
	}
}

func (c *Controller) setOwner(t *targetState, owner member.Member, ok bool, now time.Time) {
	if t.hasOwner != ok || t.ownership.Owner.VM != owner.VM {
		t.holder.Reset()
		t.requestedCredits, t.retryAt = 0, time.Time{}
	}
	t.hasOwner = ok
	t.ownership = target.Owned{Name: t.settings.Name, Serves: t.pool.key, Owner: owner}
	if !ok || owner.VM != c.config.VM {
		t.releaseOwnership(c)
		return
	}
	t.holder.ReturnImmediately = true
	if t.ledger == nil {
		t.ledger = target.NewLedger(c.config.Ledger, c.slotsOf(t.settings), now)
		t.pacer = target.NewPacer(c.config.Pacer, t.settings.Slots)
	}
}

// releaseOwnership revokes all batch slots, which the new owner does not know about.
func (t *targetState) releaseOwnership(c *Controller) {
	t.holder.ReturnImmediately = false
	if t.ledger == nil {
		return
	}
	c.revokeBatchSlots(t.ledger.RevokeBatch(t.settings.Slots))
	t.ledger, t.pacer = nil, nil
	t.notifyLedgerChange()
}

// notifyLedgerChange wakes the credit requests that wait for the ledger.
func (t *targetState) notifyLedgerChange() {
	close(t.ledgerChanged)
	t.ledgerChanged = make(chan struct{})
}

// expandTargets doubles the number of active targets after the present ones had no free slot.
func (c *Controller) expandTargets(p *pool, now time.Time) {
	if len(p.active) == len(p.targets) || now.Sub(p.expandedAt) < minExpansionInterval {
		return
	}
	p.expandedAt = now
	if p.minTargets >= maxExpansionFactor*c.config.MinTargets {
		return
	}
	p.minTargets *= 2
	c.applyOwners(now)
}

// shrinkTargets restores the configured number of active targets when no more were needed for expansionPeriod.
func (c *Controller) shrinkTargets(p *pool, now time.Time) {
	if p.minTargets > c.config.MinTargets && now.Sub(p.expandedAt) >= expansionPeriod {
		p.minTargets = c.config.MinTargets
		c.applyOwners(now)
	}
}

func (c *Controller) expireLedgers(now time.Time) {
	for _, t := range c.targets {
		if t.ledger != nil {
			t.ledger.Expire(now, c.isDead)
			t.pacer.Tick(now)
			t.notifyLedgerChange()
		}
	}
}

// isDead reports whether a VM is not among the members. The member view omits dead VMs.
func (c *Controller) isDead(vm string) bool {
	return !slices.ContainsFunc(c.topology.members, func(m member.Member) bool { return m.VM == vm })
}

func (c *Controller) startProbes(p *pool, now time.Time) {
	for _, name := range p.health.DueProbes(now) {
		go c.probe(p, c.targets[name].settings)
	}
}

func (c *Controller) probe(p *pool, probed *settings.Target) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.CallTimeout)
	defer cancel()
	err := c.config.Prober.Probe(ctx, probed)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.health.RecordProbe(time.Now(), probed.Name, err == nil)
}

// readVMList reads from the platform's VM list which targets are leaving.
func (c *Controller) readVMList(time.Time) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.CallTimeout)
	defer cancel()
	vms, err := c.config.VMs.List(ctx)
	if err != nil {
		c.config.Log.Debug().Err(err).Msg("could not read the platform's VM list; keeping the previous set of leaving targets")
		return
	}
	leaving := make(map[string]bool)
	for _, vm := range vms {
		if vm.Role == platform.RoleTarget && vm.State == platform.VMLeaving {
			leaving[vm.Address] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingAddresses = leaving
	for _, p := range c.pools {
		c.applyLeaving(p)
	}
}

func (c *Controller) applyLeaving(p *pool) {
	for _, t := range p.targets {
		reason := ""
		if c.leavingAddresses[t.settings.Address] {
			reason = "the platform lists its VM as leaving"
		}
		p.health.SetLeaving(t.settings.Name, reason)
	}
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
