package scheduling_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
	"github.com/rosemarydyke/rosemarydyke/target"
)

const service = "llm"

// fixedMembers is a member list that all VMs share, but for the VM that is hidden from one of them.
type fixedMembers struct {
	self   string
	all    *[]member.Member
	hidden *atomic.Pointer[string]
}

func (v fixedMembers) Members() []member.Member {
	hidden := v.hidden.Load()
	return slices.DeleteFunc(slices.Clone(*v.all), func(m member.Member) bool { return hidden != nil && m.VM == *hidden })
}
func (v fixedMembers) Self() member.Member {
	for _, m := range *v.all {
		if m.VM == v.self {
			return m
		}
	}
	return member.Member{VM: v.self, State: member.Alive}
}

// vm is one VM of a fleet.
type vm struct {
	name string
	// hidden is the VM that is missing from this one's list of members.
	hidden *atomic.Pointer[string]
	*scheduling.Service
	node  *datagram.Node
	lossy *lossyNode
	log   *syncLog
}

// syncLog records the log output of a VM.
type syncLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *syncLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *syncLog) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), message)
}

// lossyNode counts a VM's messages, and drops those of one method.
type lossyNode struct {
	*datagram.Node

	mu      sync.Mutex
	sent    map[peer.Method]int
	dropped peer.Method
	// mute drops all messages that the VM sends.
	mute bool
	// frozen blocks the handling of received messages, which are handled later.
	frozen sync.Mutex
}

func (n *lossyNode) HandleMessage(method peer.Method, handler datagram.MessageHandler) {
	n.Node.HandleMessage(method, func(from peer.Identity, decode func(any) error) {
		n.frozen.Lock()
		defer n.frozen.Unlock()
		handler(from, decode)
	})
}

func (n *lossyNode) setMute(mute bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mute = mute
}

func (n *lossyNode) Send(to netip.AddrPort, method peer.Method, message any) error {
	n.mu.Lock()
	n.sent[method]++
	drop := n.mute || method == n.dropped
	n.mu.Unlock()
	if drop {
		return nil
	}
	return n.Node.Send(to, method, message)
}

func (n *lossyNode) setDropped(method peer.Method) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped = method
}

func (n *lossyNode) count(method peer.Method) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[method]
}

// start starts VMs that share targets. The first VM of the result is the coordinator of the service.
func start(t testing.TB, count, targets, slots int, usable func(vm, target string) bool) []*vm {
	return startWithRegistry(t, count, targets, slots, usable, func(string) bool { return true })
}

// startWithRegistry starts VMs of which only some have read the registry of targets.
func startWithRegistry(t testing.TB, count, targets, slots int, usable func(vm, target string) bool, hasRegistry func(vm string) bool) []*vm {
	return startInZones(t, 1, count, targets, slots, usable, hasRegistry)
}

// startInZones starts VMs and targets that are spread evenly over availability zones.
func startInZones(t testing.TB, zones, count, targets, slots int, usable func(vm, target string) bool, hasRegistry func(vm string) bool) []*vm {
	zone := func(i int) string { return string(rune('a' + i%zones)) }
	members := make([]member.Member, count)
	vms := make([]*vm, count)
	var list []routing.Target
	for i := range targets {
		list = append(list, routing.Target{ID: fmt.Sprintf("t%d", i), Service: service, Address: "10.0.0.1:1", AvailabilityZone: zone(i), Slots: slots})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		node, err := datagram.Listen("127.0.0.1:0", name, zerolog.Nop())
		qt.Assert(t, err, qt.IsNil)
		members[i] = member.Member{VM: name, State: member.Alive, AvailabilityZone: zone(i), EntryPeers: node.Address().String()}
		lossy, log := &lossyNode{Node: node, sent: map[peer.Method]int{}}, &syncLog{}
		hidden := &atomic.Pointer[string]{}
		vms[i] = &vm{name: name, hidden: hidden, node: node, lossy: lossy, log: log, Service: scheduling.New(scheduling.Config{
			Process: name + "/1", AvailabilityZone: zone(i), Node: lossy, Members: fixedMembers{name, &members, hidden},
			Usable: func(target string) bool { return usable(name, target) }, Log: zerolog.New(log),
		})}
	}
	for _, v := range vms {
		if hasRegistry(v.name) {
			v.SetTargets(list)
		}
		v.node.Start()
		tasks.Go(func() { v.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		for _, v := range vms {
			// Some tests have closed the node already.
			_ = v.node.Close()
		}
	})
	best := 0
	for i := range vms {
		if target.Rank(service, vms[i].name) > target.Rank(service, vms[best].name) {
			best = i
		}
	}
	vms[0], vms[best] = vms[best], vms[0]
	return vms
}

func TestIdleVMSendsNoReports(t *testing.T) {
	vms := start(t, 3, 1, 1, always)
	acquire(t, vms[1], online()).Release(scheduler.Finished, 0)
	time.Sleep(time.Second)
	before := vms[1].lossy.count("slots.report")
	time.Sleep(time.Second)
	qt.Assert(t, vms[1].lossy.count("slots.report"), qt.Equals, before)
}

// A target that leaves may still be registered as ready, and its coordinator may not have heard that it leaves.
func TestLeavingTargetIsNotGranted(t *testing.T) {
	vms := start(t, 3, 2, 4, always)
	vms[1].ReportLeaving("t0", 0)
	time.Sleep(100 * time.Millisecond)
	for range 4 {
		qt.Assert(t, acquire(t, vms[2], online()).Target, qt.Equals, "t1")
	}
}

func TestCoordinatorLearnsThatATargetIsSilent(t *testing.T) {
	vms := start(t, 3, 2, 4, always)
	var silent []*scheduling.Slot
	for len(silent) < 2 {
		if slot := acquire(t, vms[1], online()); slot.Target == "t0" {
			silent = append(silent, slot)
		}
	}
	for _, slot := range silent {
		slot.ReportSilent()
	}
	// The coordinator ejects the target, for a while.
	for deadline := time.Now().Add(5 * time.Second); vms[0].Loads()[0].Usable != 1; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%v", vms[0].Loads()))
	}
}

// A VM that still held a slot of a target's former process reported it, so that the slot of the new process was not granted.
func TestSlotOfAFormerProcessIsNotReported(t *testing.T) {
	vms := start(t, 2, 1, 1, always)
	former := acquire(t, vms[1], online())
	for _, v := range vms {
		v.SetTargets([]routing.Target{{ID: "t0", StartedUnixMilli: 7, Service: service, Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 1}})
	}
	time.Sleep(time.Second)
	acquire(t, vms[0], online()).Release(scheduler.Finished, 0)
	former.Release(scheduler.Interrupted, 0)
}

func always(string, string) bool { return true }

func online() scheduler.Request {
	now := time.Now()
	return scheduler.Request{Class: scheduler.Online, Service: service, StartBy: now.Add(2 * time.Second), Expires: now.Add(2 * time.Second)}
}

func item() scheduler.Request {
	due := time.Now().Add(time.Minute)
	return scheduler.Request{Class: scheduler.Item, Service: service, StartBy: due, Expires: due, Expected: time.Second}
}

func acquire(t testing.TB, v *vm, r scheduler.Request) *scheduling.Slot {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	slot, err := v.Acquire(ctx, r)
	qt.Assert(t, err, qt.IsNil)
	return slot
}

func TestAllVMsShareTheSameSlots(t *testing.T) {
	vms := start(t, 3, 1, 2, always)
	first, second := acquire(t, vms[1], online()), acquire(t, vms[2], online())
	waiting := make(chan *scheduling.Slot)
	go func() {
		slot, err := vms[1].Acquire(t.Context(), online())
		if err != nil {
			t.Error(err)
		}
		waiting <- slot
	}()
	select {
	case <-waiting:
		t.Fatal("a third slot was granted, but the target has two")
	case <-time.After(300 * time.Millisecond):
	}
	second.Release(scheduler.Finished, 0)
	slot := <-waiting
	slot.Release(scheduler.Finished, 0)
	first.Release(scheduler.Finished, 0)
}

func TestItemOfAnotherVMIsPreempted(t *testing.T) {
	vms := start(t, 3, 1, 1, always)
	held := acquire(t, vms[1], item())
	slot := acquire(t, vms[2], online())
	select {
	case <-held.Preempted:
	case <-time.After(5 * time.Second):
		t.Fatal("the item was not preempted")
	}
	held.Release(scheduler.Abandoned, 0)
	slot.Release(scheduler.Finished, 0)
}

func TestNextVMCoordinatesWhenTheFirstDoesNotRespond(t *testing.T) {
	vms := start(t, 3, 2, 1, always)
	held := acquire(t, vms[1], online())
	qt.Assert(t, vms[0].node.Close(), qt.IsNil)
	began := time.Now()
	other := acquire(t, vms[2], online())
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	// The new coordinator learns the earlier grants from the reports.
	time.Sleep(time.Second)
	for _, load := range vms[1].Loads() {
		if load.Online > 2 {
			t.Fatalf("%d runs on 2 slots", load.Online)
		}
	}
	other.Release(scheduler.Finished, 0)
	held.Release(scheduler.Finished, 0)
}

// Eight of twelve VMs restarted during an outage of the store and had not read the registry. The one of them with the
// highest rank became coordinator, and for five seconds refused requests that the four other VMs could have served.
func TestVMWithoutRegistryDoesNotCoordinate(t *testing.T) {
	for _, withRegistry := range []string{"vm-0", "vm-1", "vm-2"} {
		t.Run("only "+withRegistry+" has read it", func(t *testing.T) {
			vms := startWithRegistry(t, 3, 1, 3, always, func(vm string) bool { return vm == withRegistry })
			var slots []*scheduling.Slot
			for _, v := range vms {
				slots = append(slots, acquire(t, v, online()))
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := vms[1].Acquire(ctx, online())
			qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded, qt.Commentf("a fourth slot was granted, but the target has three"))
			for _, slot := range slots {
				slot.Release(scheduler.Finished, 0)
			}
		})
	}
	t.Run("warnings about the coordinator become less frequent", func(t *testing.T) {
		first := 0
		for i := range 3 {
			if target.Rank(service, fmt.Sprintf("vm-%d", i)) > target.Rank(service, fmt.Sprintf("vm-%d", first)) {
				first = i
			}
		}
		vms := startWithRegistry(t, 3, 1, 3, always, func(vm string) bool { return vm != fmt.Sprintf("vm-%d", first) })
		for began := time.Now(); time.Since(began) < 4500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
			acquire(t, vms[1], online()).Release(scheduler.Finished, 0)
		}
		// The backoff starts at once, after 1 s and after another 2 s; the next one would start 4 s later.
		warnings := vms[1].log.count("coordinator is in backoff")
		qt.Assert(t, warnings > 0 && warnings <= 3, qt.IsTrue, qt.Commentf("%d times", warnings))
	})
	t.Run("requests are refused at once if no VM has read it", func(t *testing.T) {
		vms := startWithRegistry(t, 3, 1, 3, always, func(string) bool { return false })
		for _, v := range vms {
			began := time.Now()
			_, err := v.Acquire(t.Context(), online())
			var refusal *scheduling.RefusedError
			qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
			qt.Check(t, refusal.RetryAfter > 0, qt.IsTrue)
			qt.Check(t, time.Since(began) < 200*time.Millisecond, qt.IsTrue)
		}
	})
}

func TestSlotOfAnUnusableTargetIsReleased(t *testing.T) {
	vms := start(t, 2, 2, 1, func(vm, target string) bool { return vm != "vm-1" && vm != "vm-0" || target != "t0" })
	slot := acquire(t, vms[1], online())
	qt.Assert(t, slot.Target, qt.Equals, "t1")
	slot.Release(scheduler.Finished, 0)
}

func TestRefusedErrorNamesCoordinatorAndReason(t *testing.T) {
	vms := start(t, 2, 1, 1, always)
	held := acquire(t, vms[0], online())
	defer held.Release(scheduler.Finished, 0)
	r := online()
	r.StartBy, r.Expires = time.Now().Add(50*time.Millisecond), time.Now().Add(50*time.Millisecond)
	_, err := vms[1].Acquire(t.Context(), r)
	refused, ok := err.(*scheduling.RefusedError)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, refused.Reason, qt.Equals, scheduler.Overloaded)
	qt.Assert(t, refused.Coordinator, qt.Equals, vms[0].name)
	qt.Assert(t, refused.RetryAfter > 0, qt.IsTrue)
}

// At the planned size about a hundred VMs have many waiting items each. If each item were submitted several times per
// second, the messages would overload the coordinator.
func TestWaitingItems(t *testing.T) {
	const waits = 10
	// setUp starts two VMs with one slot. An online request holds the slot while items of the second VM wait for it.
	setUp := func(t *testing.T) ([]*vm, *scheduling.Slot, chan *scheduling.Slot) {
		vms := start(t, 2, 1, 1, always)
		held := acquire(t, vms[0], online())
		grants := make(chan *scheduling.Slot, waits)
		for range waits {
			go func() {
				if slot, err := vms[1].Acquire(t.Context(), item()); err == nil {
					grants <- slot
				}
			}()
		}
		return vms, held, grants
	}
	// grantAll waits until each item has been granted the slot in turn.
	grantAll := func(t *testing.T, held *scheduling.Slot, grants chan *scheduling.Slot) {
		held.Release(scheduler.Finished, 0)
		for range waits {
			select {
			case slot := <-grants:
				slot.Release(scheduler.Finished, 0)
			case <-time.After(5 * time.Second):
				t.Fatal("an item was not granted the slot")
			}
		}
	}
	t.Run("are submitted once and renewed by the reports", func(t *testing.T) {
		vms, held, grants := setUp(t)
		time.Sleep(1500 * time.Millisecond)
		qt.Check(t, vms[1].lossy.count("slots.submit") <= waits+maxResubmissions, qt.IsTrue, qt.Commentf("%d messages", vms[1].lossy.count("slots.submit")))
		grantAll(t, held, grants)
	})
	t.Run("are submitted again if the reports were lost", func(t *testing.T) {
		vms, held, grants := setUp(t)
		time.Sleep(100 * time.Millisecond)
		vms[1].lossy.setDropped("slots.report")
		time.Sleep(700 * time.Millisecond)
		vms[1].lossy.setDropped("")
		time.Sleep(500 * time.Millisecond)
		grantAll(t, held, grants)
	})
	t.Run("get their grant again if it was lost", func(t *testing.T) {
		vms, held, grants := setUp(t)
		time.Sleep(100 * time.Millisecond)
		vms[0].lossy.setDropped("slots.grant")
		held.Release(scheduler.Finished, 0)
		time.Sleep(100 * time.Millisecond)
		vms[0].lossy.setDropped("")
		grantAll(t, held, grants)
	})
}

// maxResubmissions allows for submissions whose response is late on a busy machine.
const maxResubmissions = 10
