package scheduling

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// countingNode counts messages and drops them.
type countingNode struct{ sent int }

func (n *countingNode) Send(netip.AddrPort, peer.Method, any) error {
	n.sent++
	return nil
}

func (n *countingNode) HandleMessage(peer.Method, datagram.MessageHandler) {}

type fixedMembers []member.Member

func (m fixedMembers) Members() []member.Member { return append([]member.Member(nil), m...) }
func (m fixedMembers) Self() member.Member      { return m[0] }

// BenchmarkShareLoads measures what a VM of 300 before 3,000 targets does at each loadInterval.
func BenchmarkShareLoads(b *testing.B) {
	var members fixedMembers
	for i := range 300 {
		members = append(members, member.Member{
			VM: fmt.Sprintf("vm-%d", i), State: member.Alive, AvailabilityZone: fmt.Sprint("az-", i%3), EntryPeers: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1), Millicores: 800,
		})
	}
	var targets []routing.Target
	for i := range 3000 {
		targets = append(targets, routing.Target{ID: fmt.Sprint("t", i), Service: "llm", AvailabilityZone: fmt.Sprint("az-", i%3), Slots: 8})
	}
	node := &countingNode{}
	start := func() *Service {
		s := New(Config{Process: "vm/1", AvailabilityZone: "az-0", Node: node, Members: members, Log: zerolog.Nop()})
		s.SetTargets(targets)
		return s
	}
	// The VM is one that coordinates a group.
	s := start()
	first := s.coordinator(time.Now(), s.division.Keys()[0]).VM
	i := slices.IndexFunc(members, func(m member.Member) bool { return m.VM == first })
	members[0], members[i] = members[i], members[0]
	s = start()
	for b.Loop() {
		s.shareLoads()
	}
	b.ReportMetric(float64(node.sent)/float64(b.N), "messages/op")
}
