package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// oneWayDelay is the network delay between two VMs of the test fleet.
const oneWayDelay = time.Millisecond

// fleet is a set of controllers connected by an in-memory network.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	mu       sync.Mutex
	members  []member.Member
	snapshot *settings.Snapshot
	fresh    bool
	nodes    map[string]*node
	// unreachable are the VMs whose calls, in both directions, get no response.
	unreachable map[string]bool
	// calls is the number of calls sent by all VMs.
	calls int
	// probesSucceed is whether probes of targets succeed.
	probesSucceed bool
	listedVMs     []platform.VM
}

type node struct {
	*Controller
	fleet *fleet
	vm    string
	// self is the node's own member record.
	self           member.Member
	callHandlers   map[peer.Method]peer.CallHandler
	streamHandlers map[peer.Method]peer.StreamHandler
	ctx            context.Context
	stop           context.CancelFunc
}

// runFleet runs a test in virtual time on a fleet of VMs spread over three availability zones.
func runFleet(t *testing.T, vms int, targets []*settings.Target, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := &fleet{t: t, ctx: ctx, fresh: true, probesSucceed: true, nodes: make(map[string]*node), unreachable: make(map[string]bool)}
		f.snapshot = &settings.Snapshot{Revision: 1, Clients: map[string]*settings.Client{}}
		f.setTargets(targets...)
		for i := range vms {
			f.members = append(f.members, member.Member{
				VM:               fmt.Sprintf("vm-%d", i+1),
				State:            member.Alive,
				AvailabilityZone: fmt.Sprintf("az-%c", 'a'+i%3),
				Region:           "r1",
				EntryPeers:       fmt.Sprintf("127.0.0.1:%d", 8201+i),
			})
		}
		for _, m := range f.members {
			f.start(m)
		}
		test(f)
		stop()
		// Pending calls end within their timeout.
		time.Sleep(2 * time.Second)
		synctest.Wait()
	})
}

func (f *fleet) setTargets(targets ...*settings.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.snapshot
	next.Revision++
	next.Targets = make(map[string]*settings.Target)
	for _, target := range targets {
		next.Targets[target.Name] = target
	}
	f.snapshot = &next
}

func (f *fleet) start(m member.Member) *node {
	n := &node{
		fleet:          f,
		vm:             m.VM,
		self:           m,
		callHandlers:   make(map[peer.Method]peer.CallHandler),
		streamHandlers: make(map[peer.Method]peer.StreamHandler),
	}
	n.Controller = New(Config{
		VM:               m.VM,
		AvailabilityZone: m.AvailabilityZone,
		Members:          n,
		Settings:         f,
		Caller:           n,
		Prober:           n,
		VMs:              f,
	})
	n.Register(n)
	n.ctx, n.stop = context.WithCancel(f.ctx)
	f.mu.Lock()
	f.nodes[m.VM] = n
	f.mu.Unlock()
	n.Start(n.ctx)
	return n
}

// restart replaces a VM's process with a new one.
func (f *fleet) restart(vm string) {
	old := f.node(vm)
	old.stop()
	f.start(old.self)
}

func (f *fleet) node(vm string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[vm]
}

// setUnreachable makes a VM unreachable or reachable.
func (f *fleet) setUnreachable(vm string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[vm] = unreachable
}

// setMembers replaces the members that all VMs see.
func (f *fleet) setMembers(members []member.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}

// engine returns the settings of a model engine.
func engine(name, zone string, slots int) *settings.Target {
	return &settings.Target{Name: name, Address: "127.0.0.1:9101", AvailabilityZone: zone, Model: "m", Slots: slots}
}

// failVM makes a VM unreachable and removes it from the members.
func (f *fleet) failVM(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[vm] = true
	f.members = slices.DeleteFunc(slices.Clone(f.members), func(m member.Member) bool { return m.VM == vm })
}

// listAsLeaving makes the platform list the target at an address as leaving.
func (f *fleet) listAsLeaving(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listedVMs = []platform.VM{{Name: "x", Address: address, Role: platform.RoleTarget, State: platform.VMLeaving}}
}

// setClient adds a client to the settings or replaces it.
func (f *fleet) setClient(client *settings.Client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.snapshot
	next.Clients = maps.Clone(f.snapshot.Clients)
	next.Clients[client.Name] = client
	f.snapshot = &next
}

// shareEvidence sends a node's quarantine evidence to the others, as the entry process does.
func (f *fleet) shareEvidence(from *node) {
	evidence := from.TakeEvidence()
	for _, n := range f.nodes {
		if n != from {
			n.MergeEvidence(evidence)
		}
	}
}

// List implements platform.VMList.
func (f *fleet) List(context.Context) ([]platform.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedVMs, nil
}

func (f *fleet) Current() *settings.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fleet) Fresh() bool { return f.fresh }

func (n *node) Members() []member.Member {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return slices.Clone(n.fleet.members)
}

func (n *node) Self() member.Member {
	for _, m := range n.Members() {
		if m.VM == n.vm {
			return m
		}
	}
	return member.Member{VM: n.vm}
}

func (n *node) Probe(context.Context, *settings.Target) error {
	if !n.fleet.probesSucceed {
		return errors.New("probe failed")
	}
	return nil
}

func (n *node) HandleCall(method peer.Method, handler peer.CallHandler) {
	n.callHandlers[method] = handler
}

func (n *node) HandleStream(method peer.Method, handler peer.StreamHandler) {
	n.streamHandlers[method] = handler
}

func (n *node) Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error {
	n.fleet.mu.Lock()
	n.fleet.calls++
	var callee *node
	for _, m := range n.fleet.members {
		if m.EntryPeers == to.String() {
			callee = n.fleet.nodes[m.VM]
		}
	}
	unreachable := callee == nil || n.fleet.unreachable[n.vm] || n.fleet.unreachable[callee.vm]
	n.fleet.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(oneWayDelay)
	result, err := callee.callHandlers[method](ctx, peer.Identity{VM: n.vm}, func(into any) error { return roundTrip(request, into) })
	if err != nil {
		return err
	}
	time.Sleep(oneWayDelay)
	return roundTrip(result, response)
}

func (n *node) OpenStream(context.Context, netip.AddrPort, peer.Method) (peer.Stream, error) {
	return nil, errors.New("streams are not supported by the test fleet")
}

// roundTrip encodes a message and decodes it into another.
func roundTrip(from, into any) error {
	content, err := cbor.Marshal(from)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(content, into)
}

// acquire acquires a slot for an online request of a client.
func (n *node) acquire(client string, deadline time.Duration) (*admission.Grant, error) {
	return n.Acquire(n.fleet.ctx, admission.Request{
		ID:       n.vm + ".1",
		Client:   client,
		Model:    "m",
		Deadline: time.Now().Add(deadline),
	})
}

// acquireFingerprint acquires a slot for a request with a fingerprint.
func (n *node) acquireFingerprint(fingerprint uint64, tried []string) (*admission.Grant, error) {
	return n.Acquire(n.fleet.ctx, admission.Request{
		ID:          fmt.Sprint(n.vm, ".", fingerprint),
		Client:      "a",
		Model:       "m",
		Fingerprint: fingerprint,
		Tried:       tried,
		Deadline:    time.Now().Add(time.Minute),
	})
}

// refuseUntilEjected sends 20 requests and makes a target refuse those that it gets, so that the entry ejects it.
func (n *node) refuseUntilEjected(target string) {
	for range 20 {
		grant, err := n.acquire("a", time.Second)
		if err != nil {
			n.fleet.t.Fatal(err)
		}
		outcome := completed
		if grant.Target.Name == target {
			outcome = admission.Outcome{End: admission.EndRefused}
		}
		grant.Release(outcome)
	}
}

// ownerOf returns the node that owns a target.
func (f *fleet) ownerOf(name string) *node {
	for _, n := range f.nodes {
		for _, info := range n.Targets() {
			if info.Name == name && info.Owner == n.vm {
				return n
			}
		}
	}
	f.t.Fatalf("target %s has no owner", name)
	return nil
}

func errorContains(err error, text string) bool {
	return err != nil && strings.Contains(err.Error(), text)
}
