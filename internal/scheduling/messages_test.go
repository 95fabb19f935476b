package scheduling

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// earlierRun is a run as reported by builds that do not place by cost.
type earlierRun struct {
	Sequence uint64          `cbor:"1,keyasint"`
	Class    scheduler.Class `cbor:"2,keyasint,omitempty"`
	Target   string          `cbor:"3,keyasint"`
	DueIn    time.Duration   `cbor:"4,keyasint,omitempty"`
	Expected time.Duration   `cbor:"5,keyasint,omitempty"`
}

// Guards against reports that VMs of the earlier build cannot read while VMs are replaced, and against other bytes where targets are
// chosen by free slots.
func TestEarlierBuildReadsReportedRuns(t *testing.T) {
	slot := &Slot{Target: "i-1647105cbe", granted: time.Now().Add(-400 * time.Millisecond), request: scheduler.Request{
		StartBy: time.Now(), Route: "chat", Account: "acme", PromptTokens: 450, OutputTokens: 240, Prefix: 1 << 60,
	}}
	now := time.Now()
	withCosts, without := slot.run(now, 7, true), slot.run(now, 7, false)
	encoded, err := cbor.Marshal(withCosts)
	qt.Assert(t, err, qt.IsNil)
	var earlier earlierRun
	qt.Assert(t, cbor.Unmarshal(encoded, &earlier), qt.IsNil)
	qt.Assert(t, earlier, qt.Equals, earlierRun{Sequence: 7, Target: slot.Target, DueIn: without.DueIn})
	plain, err := cbor.Marshal(without)
	qt.Assert(t, err, qt.IsNil)
	previous, err := cbor.Marshal(earlier)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, plain, qt.DeepEquals, previous)
	t.Logf("%d bytes, %d with costs", len(plain), len(encoded))
}

// recordingNode records the messages that a service sends, and passes it messages.
type recordingNode struct {
	handlers map[peer.Method]datagram.MessageHandler
	sent     chan any
}

func (n *recordingNode) Send(_ netip.AddrPort, _ peer.Method, message any) error {
	n.sent <- message
	return nil
}

func (n *recordingNode) HandleMessage(method peer.Method, handler datagram.MessageHandler) {
	n.handlers[method] = handler
}

func (n *recordingNode) receive(t *testing.T, method peer.Method, message any) {
	payload, err := cbor.Marshal(message)
	qt.Assert(t, err, qt.IsNil)
	n.handlers[method](peer.Identity{VM: "coordinator"}, func(out any) error { return cbor.Unmarshal(payload, out) })
}

// Guards against messages of a coordinator to a former process that decide on a request of the present one with the same number.
func TestMessagesForAFormerProcessDecideNothing(t *testing.T) {
	node := &recordingNode{handlers: map[peer.Method]datagram.MessageHandler{}, sent: make(chan any, 1000)}
	s := New(Config{Process: "vm/2", Node: node, Members: fixedMembers{{VM: "vm"}}, Usable: func(string) bool { return true }, Log: zerolog.Nop()})
	s.next = 0
	waits := &pending{responses: make(chan response, 4), class: scheduler.Item}
	s.pending[1], s.pending[2], s.pending[3] = waits, waits, waits
	runs := &Slot{Target: "t", service: s, sequence: 4, preempted: make(chan struct{})}
	s.runs[4] = runs
	messages := func(process string) map[peer.Method]any {
		return map[peer.Method]any{
			methodGrant:     grantMessage{Sequence: 1, Target: "t", Process: process},
			methodRefuse:    refuseMessage{Sequence: 2, Reason: scheduler.VersionGone, Process: process},
			methodQueued:    ticketMessage{Sequence: 3, Process: process},
			methodReportAck: reportAckMessage{Unknown: []uint64{3}, Process: process},
			methodPreempt:   ticketMessage{Sequence: 4, Process: process},
		}
	}
	isPreempted := func() bool {
		select {
		case <-runs.preempted:
			return true
		default:
			return false
		}
	}
	for method, message := range messages("vm/1") {
		node.receive(t, method, message)
	}
	qt.Assert(t, waits.responses, qt.HasLen, 0)
	qt.Assert(t, waits.queuedAt, qt.Equals, "")
	qt.Assert(t, isPreempted(), qt.IsFalse)
	qt.Assert(t, <-node.sent, qt.DeepEquals, any(releaseMessage{Ticket: scheduler.Ticket{VM: "vm/1", Sequence: 1}, Outcome: scheduler.Abandoned}))
	qt.Assert(t, node.sent, qt.HasLen, 0)
	// Earlier builds do not name the process.
	for _, process := range []string{"", "vm/2"} {
		runs.preempted = make(chan struct{})
		for method, message := range messages(process) {
			node.receive(t, method, message)
		}
		qt.Assert(t, waits.responses, qt.HasLen, 4)
		qt.Assert(t, isPreempted(), qt.IsTrue)
		for range 4 {
			<-waits.responses
		}
	}
}

// Guards against requests that run at another service, or go on at another version, because a grant names such a target.
func TestGrantOfAnotherServiceOrVersionIsNotUsed(t *testing.T) {
	wrong := []grantMessage{
		{Target: "other", Group: "b", Version: "2"},
		// The registry of the coordinator differs.
		{Target: "moved", Group: "a", Version: "2"},
		{Target: "older", Group: "a", Version: "1"},
	}
	for _, grant := range wrong {
		t.Run(grant.Target, func(t *testing.T) {
			node := &recordingNode{handlers: map[peer.Method]datagram.MessageHandler{}, sent: make(chan any, 1000)}
			members := fixedMembers{{VM: "vm"}, {VM: "coordinator", State: member.Alive, EntryPeers: "10.0.0.9:1", Millicores: 800}}
			s := New(Config{Process: "vm/2", Node: node, Members: members, Usable: func(string) bool { return true }, Log: zerolog.Nop()})
			s.SetTargets([]routing.Target{{ID: "moved", Service: "b", Slots: 1}})
			results := make(chan *Slot, 1)
			go func() {
				slot, _ := s.Acquire(t.Context(), scheduler.Request{Class: scheduler.Item, Service: "a", Version: "2"})
				results <- slot
			}()
			answer := func(grant grantMessage) submitMessage {
				for sent := range node.sent {
					if m, ok := sent.(submitMessage); ok {
						grant.Sequence, grant.Process = m.Ticket.Sequence, m.Ticket.VM
						node.receive(t, methodGrant, grant)
						return m
					}
				}
				return submitMessage{}
			}
			first := answer(grant)
			var released any
			for released == nil {
				select {
				case slot := <-results:
					t.Fatalf("a slot of target %q is used", slot.Target)
				case m := <-node.sent:
					if _, repeated := m.(submitMessage); !repeated {
						released = m
					}
				}
			}
			qt.Assert(t, released, qt.DeepEquals, any(releaseMessage{Ticket: first.Ticket, Outcome: scheduler.Abandoned}))
			again := answer(grantMessage{Target: "right", Group: "a", Version: "2"})
			qt.Assert(t, again.Tried, qt.DeepEquals, []string{grant.Target})
			qt.Assert(t, (<-results).Target, qt.Equals, "right")
		})
	}
}
