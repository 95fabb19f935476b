package membership

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/devkeys"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// waitLimit bounds the wait for an expected state.
const waitLimit = 60 * time.Second

// vm is one entry VM in a test.
type vm struct {
	name    string
	node    *peer.Node
	service *Service
	stop    context.CancelFunc
}

// fleet is a set of VMs that share a platform.
type fleet struct {
	c        *qt.C
	dir      string
	platform *memory.Platform
	listed   []platform.VM
	protocol member.Config
	// seedPeriod is Config.SeedPeriod.
	seedPeriod time.Duration
}

// fastProtocol shortens the periods to about a fifth of the defaults.
var fastProtocol = member.Config{
	Period: 200 * time.Millisecond, AckTimeout: 80 * time.Millisecond, GossipPeriod: 50 * time.Millisecond,
}

func newFleet(c *qt.C, names ...string) (*fleet, []*vm) {
	return newFleetWith(c, fastProtocol, time.Second, names...)
}

func newFleetWith(c *qt.C, protocol member.Config, seedPeriod time.Duration, names ...string) (*fleet, []*vm) {
	f := &fleet{c: c, dir: c.TempDir(), platform: memory.New(), protocol: protocol, seedPeriod: seedPeriod}
	c.Assert(devkeys.Generate(f.dir, names), qt.IsNil)
	var vms []*vm
	for _, name := range names {
		vms = append(vms, f.start(name, "127.0.0.1:0"))
	}
	return f, vms
}

func (f *fleet) start(name, address string) *vm {
	node, err := peer.Listen(peer.Config{Address: address, TLS: config.TLS{
		CA:          filepath.Join(f.dir, devkeys.CAFile),
		Certificate: filepath.Join(f.dir, name+".pem"),
		Key:         filepath.Join(f.dir, name+".key"),
	}})
	f.c.Assert(err, qt.IsNil)
	service := New(Config{
		Self:       member.Member{VM: name, EntryPeers: node.Address().String(), AvailabilityZone: "az-" + name},
		Node:       node,
		VMs:        f.platform,
		Protocol:   f.protocol,
		SeedPeriod: f.seedPeriod,
	})
	f.c.Assert(node.Start(), qt.IsNil)
	f.listed = append(f.listed, platform.VM{
		Name: name, Address: node.Address().String(), Role: platform.RoleEntry, State: platform.VMLive,
	})
	f.platform.SetVMs(f.listed)
	ctx, stop := context.WithCancel(context.Background())
	service.Start(ctx)
	v := &vm{name: name, node: node, service: service, stop: stop}
	f.c.Cleanup(v.kill)
	return v
}

// kill stops a VM without announcing that it leaves.
func (v *vm) kill() {
	v.stop()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = v.node.Close(ctx)
}

func (f *fleet) eventually(what string, holds func() bool) {
	deadline := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(deadline) {
			f.c.Fatalf("condition not met within %v: %s", waitLimit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// memberStates returns the members in the VM's view, as "name state".
func (v *vm) memberStates() []string {
	var seen []string
	for _, m := range v.service.Members() {
		seen = append(seen, fmt.Sprintf("%s %s", m.VM, m.State))
	}
	return seen
}

func (f *fleet) eventuallyAllSee(vms []*vm, want ...string) {
	f.eventually(fmt.Sprintf("all see %v", want), func() bool {
		return !slices.ContainsFunc(vms, func(v *vm) bool { return !slices.Equal(v.memberStates(), want) })
	})
}

func TestMembersJoinThroughPlatformVMList(t *testing.T) {
	c := qt.New(t)
	f, vms := newFleet(c, "a", "b", "c")
	f.eventuallyAllSee(vms, "a alive", "b alive", "c alive")
	for _, m := range vms[0].service.Members() {
		c.Assert(m.AvailabilityZone, qt.Equals, "az-"+m.VM)
	}
}

func TestMembersJoinThroughSeedsWithoutPlatform(t *testing.T) {
	c := qt.New(t)
	f, vms := newFleet(c, "a")
	f.c.Assert(devkeys.Generate(f.dir, []string{"b"}), qt.IsNil)
	f.platform.SetVMs(nil)
	node, err := peer.Listen(peer.Config{Address: "127.0.0.1:0", TLS: config.TLS{
		CA: filepath.Join(f.dir, devkeys.CAFile), Certificate: filepath.Join(f.dir, "b.pem"), Key: filepath.Join(f.dir, "b.key"),
	}})
	c.Assert(err, qt.IsNil)
	service := New(Config{
		Self:  member.Member{VM: "b", EntryPeers: node.Address().String()},
		Node:  node,
		Seeds: []string{vms[0].node.Address().String()},
	})
	c.Assert(node.Start(), qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	service.Start(ctx)
	b := &vm{name: "b", node: node, service: service, stop: stop}
	c.Cleanup(b.kill)
	f.eventuallyAllSee([]*vm{vms[0], b}, "a alive", "b alive")
}

func TestKilledMemberIsRemovedAndRejoinsAfterRestart(t *testing.T) {
	c := qt.New(t)
	f, vms := newFleet(c, "a", "b", "c")
	f.eventuallyAllSee(vms, "a alive", "b alive", "c alive")
	before := vms[2].service.Self().Incarnation

	vms[2].kill()
	f.eventuallyAllSee(vms[:2], "a alive", "b alive")

	vms[2] = f.start("c", vms[2].node.Address().String())
	f.eventuallyAllSee(vms, "a alive", "b alive", "c alive")
	c.Assert(vms[2].service.Self().Incarnation > before, qt.IsTrue)
}

func TestLeavingMemberIsAnnouncedThenRemoved(t *testing.T) {
	c := qt.New(t)
	f, vms := newFleet(c, "a", "b", "c")
	f.eventuallyAllSee(vms, "a alive", "b alive", "c alive")

	vms[2].service.Leave(context.Background())
	f.eventuallyAllSee(vms, "a alive", "b alive", "c leaving")

	vms[2].service.Close(context.Background())
	f.eventuallyAllSee(vms[:2], "a alive", "b alive")
}

func TestNewRevisionReachesAllMembers(t *testing.T) {
	c := qt.New(t)
	f, vms := newFleet(c, "a", "b", "c")
	f.eventuallyAllSee(vms, "a alive", "b alive", "c alive")
	type revisionEvent struct {
		revision uint64
		from     string
	}
	received := make(chan revisionEvent, 10)
	for _, v := range vms[1:] {
		v.service.OnRevision(func(revision uint64, from string) { received <- revisionEvent{revision, from} })
	}

	vms[0].service.AnnounceRevision(7)
	for range 2 {
		c.Assert((<-received).revision, qt.Equals, uint64(7))
	}
}

func TestOnChangeReceivesNewMembers(t *testing.T) {
	c := qt.New(t)
	f, vms := newFleet(c, "a")
	views := make(chan int, 100)
	vms[0].service.OnChange(func(members []member.Member) { views <- len(members) })
	c.Assert(devkeys.Generate(f.dir, []string{"b"}), qt.IsNil)
	f.start("b", "127.0.0.1:0")
	for <-views < 2 {
	}
}
