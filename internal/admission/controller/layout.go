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
	// widenedFor is how long a VM keeps exchanging credits for more targets than usual after a shortage.
	widenedFor = 30 * time.Second
	// widenInterval is the least time between two widenings. An overload of the whole fleet is not
	// mended by more messages.
	widenInterval = 5 * time.Second
	// maxWiden bounds the targets after widening, as a multiple of Config.MinTargets.
	maxWiden = 4
)

// layout is what the division of targets among VMs was last computed from.
type layout struct {
	revision uint64
	valid    bool
	members  []member.Member
}

// servesModel and servesService name pools.
func servesModel(model string) string     { return "model/" + model }
func servesService(service string) string { return "service/" + service }

func servedBy(t *settings.Target) string {
	if t.Model != "" {
		return servesModel(t.Model)
	}
	return servesService(t.Service)
}

// tick follows settings and members and handles everything that happens by time alone.
func (c *Controller) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyChanges(now)
	c.expireLedgers(now)
	c.quarantine.Sweep(now)
	for _, p := range c.pools {
		c.reduceTargets(p, now)
		c.startProbes(p, now)
		c.refuseLateWaiters(p, now)
		c.dispatchWaiting(p, now)
	}
	c.fillBatch(now)
}

// applyChanges recomputes owners when the settings or the members have changed.
func (c *Controller) applyChanges(now time.Time) {
	snapshot := c.config.Settings.Current()
	if snapshot == nil {
		return
	}
	members := c.config.Members.Members()
	same := c.layout.valid && c.layout.revision == snapshot.Revision && slices.Equal(c.layout.members, members)
	if same {
		return
	}
	c.layout = layout{revision: snapshot.Revision, valid: true, members: members}
	c.applyTargets(snapshot)
	c.applyOwners(now)
}

// followRevision applies a revision of the settings that came into force since the last tick, so that
// no request is refused for a target that its caller knows already.
func (c *Controller) followRevision(now time.Time) {
	snapshot := c.config.Settings.Current()
	if snapshot != nil && snapshot.Revision != c.layout.revision {
		c.applyChanges(now)
	}
}

func (c *Controller) applyTargets(snapshot *settings.Snapshot) {
	for name, t := range c.targets {
		if snapshot.Targets[name] == nil {
			c.dropTarget(t)
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

// dropTarget forgets a target. Its running requests keep their pointer and finish.
func (c *Controller) dropTarget(t *targetState) {
	t.stopOwning(c)
	delete(c.targets, t.settings.Name)
}

func (c *Controller) applyTarget(next *settings.Target) {
	serves := servedBy(next)
	if t := c.targets[next.Name]; t != nil {
		if t.pool.serves == serves {
			t.settings = next
			if t.ledger != nil {
				t.ledger.SetSlots(c.slotsOf(next))
				t.pacer.SetSlots(next.Slots)
			}
			return
		}
		c.dropTarget(t)
	}
	c.targets[next.Name] = &targetState{
		settings: next,
		pool:     c.poolOf(serves),
		holder:   target.NewHolder(),
		changed:  make(chan struct{}),
		recalls:  make(map[string]time.Time),
	}
}

func (c *Controller) poolOf(serves string) *pool {
	p := c.pools[serves]
	if p == nil {
		p = &pool{
			serves:     serves,
			queue:      dispatch.NewQueue(),
			health:     target.NewHealthGroup(c.config.Health),
			minTargets: c.config.MinTargets,
		}
		c.pools[serves] = p
	}
	return p
}

// applyOwners divides the targets among the members and chooses those to exchange credits for.
func (c *Controller) applyOwners(now time.Time) {
	owned := make([]target.Owned, 0, len(c.targets))
	for _, name := range sortedNames(c.targets) {
		t := c.targets[name]
		owner, ok := target.Owner(name, t.settings.AvailabilityZone, c.layout.members)
		c.setOwner(t, owner, ok, now)
		if ok {
			owned = append(owned, t.owner)
		}
	}
	want := func(serves string) int { return c.pools[serves].minTargets }
	chosen := target.Subset(c.config.Members.Self(), owned, want)
	for _, t := range c.targets {
		t.chosen = false
	}
	for _, p := range c.pools {
		p.active = nil
	}
	for _, o := range chosen {
		t := c.targets[o.Name]
		t.chosen = true
		t.pool.active = append(t.pool.active, t)
	}
}

func (c *Controller) setOwner(t *targetState, owner member.Member, ok bool, now time.Time) {
	if t.owned != ok || t.owner.Owner.VM != owner.VM {
		t.holder.Reset()
		t.asked, t.retryAt = 0, time.Time{}
	}
	t.owned = ok
	t.owner = target.Owned{Name: t.settings.Name, Serves: t.pool.serves, Owner: owner}
	if !ok || owner.VM != c.config.VM {
		t.stopOwning(c)
		return
	}
	t.holder.ReturnImmediately = true
	if t.ledger == nil {
		t.ledger = target.NewLedger(c.config.Ledger, c.slotsOf(t.settings), now)
		t.pacer = target.NewPacer(c.config.Pacer, t.settings.Slots)
	}
}

// stopOwning takes all batch slots back, since the new owner does not know of them.
func (t *targetState) stopOwning(c *Controller) {
	t.holder.ReturnImmediately = false
	if t.ledger == nil {
		return
	}
	c.revoke(t.ledger.RevokeBatch(t.settings.Slots))
	t.ledger, t.pacer = nil, nil
	t.notify()
}

// notify wakes the asks that wait for the ledger.
func (t *targetState) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// addTargets exchanges credits for twice as many targets, after those at hand had no free slot.
func (c *Controller) addTargets(p *pool, now time.Time) {
	if len(p.active) == len(p.targets) || now.Sub(p.widenedAt) < widenInterval {
		return
	}
	p.widenedAt = now
	if p.minTargets >= maxWiden*c.config.MinTargets {
		return
	}
	p.minTargets *= 2
	c.applyOwners(now)
}

// reduceTargets goes back to the configured number of targets after a while without a need for more.
func (c *Controller) reduceTargets(p *pool, now time.Time) {
	if p.minTargets > c.config.MinTargets && now.Sub(p.widenedAt) >= widenedFor {
		p.minTargets = c.config.MinTargets
		c.applyOwners(now)
	}
}

func (c *Controller) expireLedgers(now time.Time) {
	for _, t := range c.targets {
		if t.ledger != nil {
			t.ledger.Expire(now, c.isDead)
			t.pacer.Tick(now)
			t.notify()
		}
	}
}

// isDead reports whether a VM is not among the members. Dead members are left out of the view.
func (c *Controller) isDead(vm string) bool {
	return !slices.ContainsFunc(c.layout.members, func(m member.Member) bool { return m.VM == vm })
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

// readVMList looks for targets that the platform announces as leaving.
func (c *Controller) readVMList(time.Time) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.CallTimeout)
	defer cancel()
	vms, err := c.config.VMs.List(ctx)
	if err != nil {
		c.config.Log.Debug().Err(err).Msg("platform list of VMs is not available")
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
	c.listed = leaving
	for _, p := range c.pools {
		c.applyLeaving(p)
	}
}

func (c *Controller) applyLeaving(p *pool) {
	for _, t := range p.targets {
		reason := ""
		if c.listed[t.settings.Address] {
			reason = "the platform lists its VM as leaving"
		}
		p.health.SetLeaving(t.settings.Name, reason)
	}
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
