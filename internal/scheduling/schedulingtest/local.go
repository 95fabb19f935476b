// Package schedulingtest provides tests with a scheduling service of one VM.
package schedulingtest

import (
	"context"
	"net/netip"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// Members is a fixed member list that tests may change.
type Members struct {
	// VM is the VM that has this view of the members.
	VM string

	mu   sync.Mutex
	list []member.Member
}

// NewMembers returns a member list in which all VMs are alive.
func NewMembers(self string, others ...string) *Members {
	m := &Members{VM: self}
	m.Set(append([]string{self}, others...)...)
	return m
}

// Set replaces the list of live VMs.
func (m *Members) Set(vms ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = nil
	for _, vm := range vms {
		m.list = append(m.list, member.Member{VM: vm, State: member.Alive, EntryPeers: "127.0.0.1:9"})
	}
}

// Members implements member.View.
func (m *Members) Members() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]member.Member(nil), m.list...)
}

// Self implements member.View.
func (m *Members) Self() member.Member { return member.Member{VM: m.VM, State: member.Alive} }

// discardNode is a transport that drops all messages.
type discardNode struct{}

func (discardNode) Send(netip.AddrPort, peer.Method, any) error        { return nil }
func (discardNode) HandleMessage(peer.Method, datagram.MessageHandler) {}
func (discardNode) HandleCall(peer.Method, peer.CallHandler)           {}
func (discardNode) Call(context.Context, netip.AddrPort, peer.Method, any, any) error {
	return &peer.UnansweredError{}
}

// DiscardNode is a transport that drops all messages.
var DiscardNode discardNode

// Registered returns targets as the registry lists them.
func Registered(service string, slots int, targets ...*streamtarget.Target) []routing.Target {
	var list []routing.Target
	for _, target := range targets {
		list = append(list, routing.Target{ID: target.ID(), Service: service, Address: target.Address(), AvailabilityZone: "a", Version: target.Version(), Slots: slots})
	}
	return list
}

// Start starts the scheduling service of one VM with targets of one service.
func Start(t *testing.T, service string, slots int, targets ...*streamtarget.Target) *scheduling.Service {
	return StartUsable(t, func(string) bool { return true }, service, slots, targets...)
}

// StartUsable is Start with targets that may leave: usable reports whether one hasn't.
func StartUsable(t *testing.T, usable func(target string) bool, service string, slots int, targets ...*streamtarget.Target) *scheduling.Service {
	s := scheduling.New(scheduling.Config{
		Process:          "vm/1",
		AvailabilityZone: "a",
		Node:             DiscardNode,
		Members:          NewMembers("vm"),
		Usable:           usable,
		Log:              zerolog.Nop(),
	})
	s.SetTargets(Registered(service, slots, targets...))
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return s
}
