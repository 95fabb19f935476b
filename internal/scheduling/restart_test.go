package scheduling_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// twoServices are a coordinator of two services of one slot each, and the address of a VM whose processes ask it.
type twoServices struct {
	coordinator *vm
	members     []member.Member
	targets     []routing.Target
	address     netip.AddrPort
}

// coordinatedBy returns a name of a service that a VM coordinates before another VM.
func coordinatedBy(prefix, vm, other string) string {
	for i := 0; ; i++ {
		if name := fmt.Sprintf("%s%d", prefix, i); target.Rank(name, vm) > target.Rank(name, other) {
			return name
		}
	}
}

func startTwoServices(t *testing.T) (f *twoServices, first, second string) {
	first, second = coordinatedBy("a", "coordinator", "vm"), coordinatedBy("b", "coordinator", "vm")
	reserved, err := datagram.Listen("127.0.0.1:0", "vm", zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	f = &twoServices{address: reserved.Address(), targets: []routing.Target{
		{ID: "first", Service: first, Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 1},
		{ID: "second", Service: second, Address: "10.0.0.2:1", AvailabilityZone: "a", Slots: 1},
	}}
	qt.Assert(t, reserved.Close(), qt.IsNil)
	f.members = []member.Member{{VM: "coordinator", State: member.Alive}, {VM: "vm", State: member.Alive, EntryPeers: f.address.String()}}
	f.coordinator = f.start(t, "coordinator", "coordinator/1", "127.0.0.1:0")
	f.members[0].EntryPeers = f.coordinator.node.Address().String()
	return f, first, second
}

// start starts a process of a VM.
func (f *twoServices) start(t *testing.T, name, process, address string) *vm {
	node, err := datagram.Listen(address, name, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	log := &syncLog{}
	v := &vm{name: name, node: node, log: log, Service: scheduling.New(scheduling.Config{
		Process: process, AvailabilityZone: "a", Node: node, Members: processView{name, f}, Usable: func(string) bool { return true }, Log: zerolog.New(log),
	})}
	v.SetTargets(f.targets)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	node.Start()
	go func() {
		v.Run(ctx)
		close(stopped)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		_ = node.Close()
	})
	return v
}

type processView struct {
	self  string
	fleet *twoServices
}

func (v processView) Members() []member.Member { return v.fleet.members }
func (v processView) Self() member.Member {
	for _, m := range v.fleet.members {
		if m.VM == v.self {
			return m
		}
	}
	return member.Member{}
}

// Guards against requests that run at another service after a restart: the coordinator grants the slot that the former process of
// the VM has asked for, and names the request by a number that the new process has given too.
func TestRestartedVMRunsNoRequestInASlotOfItsFormerProcess(t *testing.T) {
	f, first, second := startTwoServices(t)
	request := func(service string) scheduler.Request {
		r := item()
		r.Service = service
		return r
	}
	heldFirst, heldSecond := acquire(t, f.coordinator, request(first)), acquire(t, f.coordinator, request(second))
	former := f.start(t, "vm", "vm/1", f.address.String())
	formerCtx, kill := context.WithCancel(context.Background())
	waiting := make(chan struct{})
	go func() {
		defer close(waiting)
		_, _ = former.Acquire(formerCtx, request(first))
	}()
	time.Sleep(50 * time.Millisecond)
	// The process ends without a word to the coordinator.
	qt.Assert(t, former.node.Close(), qt.IsNil)
	kill()
	<-waiting
	restarted := f.start(t, "vm", "vm/2", f.address.String())
	type result struct {
		slot *scheduling.Slot
		err  error
	}
	results := make(chan result, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go func() {
		slot, err := restarted.Acquire(ctx, request(second))
		results <- result{slot, err}
	}()
	time.Sleep(50 * time.Millisecond)
	heldFirst.Release(scheduler.Finished, 0)
	time.Sleep(100 * time.Millisecond)
	heldSecond.Release(scheduler.Finished, 0)
	r := <-results
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.slot.Target, qt.Equals, "second")
	r.slot.Release(scheduler.Finished, 0)
	// The slot that was granted to the former process is free again.
	began := time.Now()
	acquire(t, f.coordinator, request(first)).Release(scheduler.Finished, 0)
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
}
