package origins_test

import (
	"context"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/origins"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// readOnlyRows is a store that stops to write.
type readOnlyRows struct{ platform.Rows }

func (readOnlyRows) Apply(context.Context, platform.RowTxn) (uint64, error) {
	return 0, platform.ErrUnavailable
}

// Streams began at a version that was not recorded, since all targets of the recorded one were leaving, and a VM that had missed
// both changes resumed them at the recorded version.
func TestStreamOfAnUnrecordedVersionGoesOnAtNoOther(t *testing.T) {
	state := memory.New()
	earlier := startAt(t, func(int) platform.Rows { return state }, 1, "v1")
	eventually(t, func() bool { return recordedVersions(t, state) == 1 })
	stopAll(t, earlier)
	var mu, listMu sync.Mutex
	var usable []routing.Target
	var list []member.Member
	var vms []*origins.Service
	var nodes []*datagram.Node
	for _, name := range []string{"vm-0", "vm-1"} {
		node, err := datagram.Listen("127.0.0.1:0", name, zerolog.Nop())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = node.Close() })
		list = append(list, member.Member{VM: name, State: member.Alive, EntryPeers: node.Address().String()})
		config := origins.Config{Members: view{name, &listMu, &list}, Node: node, Rows: readOnlyRows{state}, Log: zerolog.Nop()}
		if name == "vm-0" {
			config.OnTargets = func(targets []routing.Target) {
				mu.Lock()
				defer mu.Unlock()
				usable = targets
			}
		}
		vms, nodes = append(vms, origins.New(config)), append(nodes, node)
	}
	for i, s := range vms {
		s.SetTargets(registry("v1"))
		nodes[i].Start()
		go s.Run(t.Context())
		eventually(t, func() bool {
			_, err := s.Resolve(t.Context(), "", service, true)
			return err == nil
		})
	}
	changed := registry("v1", "v2")
	changed[0].Draining = true
	vms[0].SetTargets(changed)
	mu.Lock()
	begins := slices.ContainsFunc(usable, func(target routing.Target) bool { return target.Version == "v2" && !target.Draining })
	mu.Unlock()
	qt.Assert(t, nodes[0].Close(), qt.IsNil)
	got, err := vms[1].Resolve(t.Context(), "", service, true)
	qt.Assert(t, begins && err == nil, qt.IsFalse, qt.Commentf("streams begin at v2, and go on at %v", got))
}
