package member

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startProbing starts a process of a VM that knows two others, and returns its first probe.
func startProbing(t *testing.T, now time.Time) (*Machine, time.Time, Send) {
	m := New(Config{}, Member{VM: "vm-a", Incarnation: StartIncarnation(now.UnixMilli()), EntryPeers: "10.0.0.1:1"}, rand.New(rand.NewPCG(1, 1)), now)
	m.Handle(now, Synced{From: "vm-b", Members: []Member{
		{VM: "vm-b", Incarnation: 1, State: Alive, EntryPeers: "10.0.0.2:1"}, {VM: "vm-c", Incarnation: 1, State: Alive, EntryPeers: "10.0.0.3:1"},
	}})
	for range 100 {
		now = m.Wake()
		for _, a := range m.Handle(now, Tick{}) {
			if s, ok := a.(Send); ok && s.Message.Kind == KindProbe && s.Message.Subject == m.probe.vm {
				return m, now, s
			}
		}
	}
	t.Fatal("no probe")
	return nil, now, Send{}
}

// Guards against a lost VM that is taken for alive because another one answered a probe of a former process.
func TestAckToAFormerProcessVouchesForNoMember(t *testing.T) {
	_, _, former := startProbing(t, simStart)
	m, now, probe := startProbing(t, simStart.Add(time.Second))
	m.Handle(now, Received{From: former.Message.Subject, Address: former.To, Message: Message{Kind: KindAck, Sequence: former.Message.Sequence}})
	for end := now.Add(m.cfg.Period); !m.Wake().After(end); {
		now = m.Wake()
		m.Handle(now, Tick{})
	}
	qt.Assert(t, m.members[probe.Message.Subject].State, qt.Equals, Suspect)
}
