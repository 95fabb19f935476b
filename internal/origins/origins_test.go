package origins_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/origins"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/origin"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const service = "llm"

var v1 = origin.Origin{Service: service, Version: "v1"}

// view is the member list of one VM. All VMs share the list.
type view struct {
	self string
	mu   *sync.Mutex
	list *[]member.Member
}

func (v view) Members() []member.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]member.Member(nil), *v.list...)
}

func (v view) Self() member.Member { return member.Member{VM: v.self, State: member.Alive} }

type vm struct {
	*origins.Service
	node *datagram.Node
}

func start(t *testing.T, count int, versions ...string) []vm {
	var mu sync.Mutex
	var list []member.Member
	var targets []routing.Target
	for i, version := range versions {
		targets = append(targets, routing.Target{ID: fmt.Sprint(i), Service: service, Version: version})
	}
	vms := make([]vm, count)
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		node, err := datagram.Listen("127.0.0.1:0", name, zerolog.Nop())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = node.Close() })
		list = append(list, member.Member{VM: name, State: member.Alive, EntryPeers: node.Address().String()})
		vms[i] = vm{origins.New(origins.Config{Members: view{name, &mu, &list}, Node: node, Log: zerolog.Nop()}), node}
		vms[i].SetTargets(targets)
		node.Start()
	}
	return vms
}

// holders returns the VMs that know an origin by themselves, and the others.
func holders(vms []vm, attempt string) (holders, others []vm) {
	for _, v := range vms {
		if v.Knows(attempt) {
			holders = append(holders, v)
		} else {
			others = append(others, v)
		}
	}
	return holders, others
}

// record records an origin at the first VM, and returns the VMs that know it then, and the others.
func record(t *testing.T, vms []vm, attempt string) (known, others []vm) {
	vms[0].Record(attempt, v1)
	for deadline := time.Now().Add(5 * time.Second); len(known) < 3; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the origin has %d copies", len(known)))
		known, others = holders(vms, attempt)
	}
	return known, others
}

func TestOriginOfAStreamIsFoundAtAnyVM(t *testing.T) {
	for _, lost := range []struct {
		name  string
		count int
		found bool
	}{
		{"while all VMs live", 0, true},
		{"after the loss of the VM where it began", 1, true},
		{"after the loss of that VM and of one that was told", 2, true},
		{"but not after the loss of all that knew it", 3, false},
	} {
		t.Run(lost.name, func(t *testing.T) {
			vms := start(t, 9, "v1", "v2")
			known, others := record(t, vms, "attempt")
			for _, v := range known[:lost.count] {
				qt.Assert(t, v.node.Close(), qt.IsNil)
			}
			for _, v := range others {
				began := time.Now()
				got, found := v.Resolve(t.Context(), "attempt", service, true)
				qt.Assert(t, found, qt.Equals, lost.found)
				qt.Assert(t, time.Since(began) < 300*time.Millisecond, qt.IsTrue)
				if found {
					qt.Assert(t, got, qt.Equals, v1)
				}
			}
		})
	}
}

func TestStreamOfUnknownOrigin(t *testing.T) {
	t.Run("began at the only version of the service", func(t *testing.T) {
		got, known := start(t, 3, "v1", "v1")[0].Resolve(t.Context(), "attempt", service, true)
		qt.Assert(t, known, qt.IsTrue)
		qt.Assert(t, got, qt.Equals, v1)
	})
	t.Run("is not asked for if the client names no attempt", func(t *testing.T) {
		_, others := record(t, start(t, 9, "v1", "v2"), "")
		_, known := others[0].Resolve(t.Context(), "", service, true)
		qt.Assert(t, known, qt.IsFalse)
	})
	t.Run("may have begun at any of several versions", func(t *testing.T) {
		_, known := start(t, 3, "v1", "v2")[0].Resolve(t.Context(), "attempt", service, true)
		qt.Assert(t, known, qt.IsFalse)
	})
}
