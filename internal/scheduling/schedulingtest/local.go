// Package schedulingtest gives tests a scheduling service of one VM.
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

// Members is a fixed view of the members, which tests may change.
type Members struct {
	// VM is the VM whose view it is.
	VM string

	mu   sync.Mutex
	list []member.Member
}

// NewMembers returns a view of live VMs.
func NewMembers(self string, others ...string) *Members {
	m := &Members{VM: self}
	m.Set(append([]string{self}, others...)...)
	return m
}

// Set replaces the live VMs.
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

// silentNode loses all messages.
type silentNode struct{}

func (silentNode) Send(netip.AddrPort, peer.Method, any) error        { return nil }
func (silentNode) HandleMessage(peer.Method, datagram.MessageHandler) {}
func (silentNode) HandleCall(peer.Method, peer.CallHandler)           {}
func (silentNode) Call(context.Context, netip.AddrPort, peer.Method, any, any) error {
	return &peer.UnansweredError{}
}

// DiscardNode is a transport that loses all messages.
var DiscardNode silentNode

// Start runs the scheduling service of one VM over targets of one service.
func Start(t *testing.T, service string, slots int, targets ...*streamtarget.Target) *scheduling.Service {
	s := scheduling.New(scheduling.Config{
		Process:          "vm/1",
		AvailabilityZone: "a",
		Node:             DiscardNode,
		Members:          NewMembers("vm"),
		Usable:           func(string) bool { return true },
		Log:              zerolog.Nop(),
	})
	var list []routing.Target
	for _, target := range targets {
		list = append(list, routing.Target{ID: target.ID(), Service: service, Address: target.Address(), AvailabilityZone: "a", Slots: slots})
	}
	s.SetTargets(list)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return s
}
