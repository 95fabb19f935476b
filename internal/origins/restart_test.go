package origins_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/origins"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/origin"
)

// restartedView is the member list of a process that the other VMs don't know yet.
type restartedView struct{ view }

func (v restartedView) Self() member.Member {
	return member.Member{VM: v.self, State: member.Alive, Incarnation: 2}
}

// VMs that knew the origin of a stream restarted, and one that had not noticed resumed the stream at the version that was the only
// one when it started.
func TestStreamOfRestartedVMsIsNotResumedAtAnotherVersion(t *testing.T) {
	state := memory.New()
	store := func(int) platform.Rows { return state }
	for _, v := range startAt(t, store, 1, "v1") {
		eventually(t, func() bool { return recordedVersions(t, state) == 1 })
		v.stop()
	}
	vms := startAt(t, store, 5, "v1")
	asked := vms[4]
	eventually(t, func() bool {
		_, err := asked.Resolve(t.Context(), "", service, true)
		return err == nil
	})
	for _, v := range vms {
		v.SetTargets(registry("v1", "v2"))
	}
	eventually(t, func() bool { return recordedVersions(t, state) == 2 })
	var attempts []string
	for i := range 8 {
		attempts = append(attempts, fmt.Sprintf("attempt-%d", i))
		vms[0].Record(attempts[i], origin.Origin{Service: service, Version: "v2"}, false)
	}
	for _, v := range vms[:4] {
		v.stop()
		qt.Assert(t, v.node.Close(), qt.IsNil)
	}
	var mu sync.Mutex
	var list []member.Member
	for i, v := range vms {
		list = append(list, member.Member{VM: fmt.Sprintf("vm-%d", i), State: member.Alive, EntryPeers: v.node.Address().String()})
	}
	for i, v := range vms[:4] {
		node, err := datagram.Listen(v.node.Address().String(), list[i].VM, zerolog.Nop())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = node.Close() })
		fresh := origins.New(origins.Config{Members: restartedView{view{list[i].VM, &mu, &list}}, Node: node, Rows: state, Log: zerolog.Nop()})
		fresh.SetTargets(registry("v1", "v2"))
		node.Start()
		go fresh.Run(t.Context())
	}
	for _, attempt := range attempts {
		known := asked.Knows(attempt)
		got, err := asked.Resolve(context.Background(), attempt, service, true)
		qt.Check(t, err != nil || got.Version == "v2", qt.IsTrue, qt.Commentf("%s is resumed at %s", attempt, got.Version))
		qt.Check(t, !known || err == nil, qt.IsTrue)
	}
}
