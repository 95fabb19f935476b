package origins_test

import (
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

// A VM cut off from the store and from all others, which it therefore counted as lost, resumed streams at the only version it knew.
func TestVMThatIsCutOffFromAllOthersIsNotCertainOfItsVersion(t *testing.T) {
	for name, test := range map[string]struct {
		others int
		want   bool
	}{
		"the others were lost":    {others: 2},
		"there never were others": {want: true},
	} {
		t.Run(name, func(t *testing.T) {
			state := memory.New()
			earlier := startAt(t, func(int) platform.Rows { return state }, 1, "v1")
			eventually(t, func() bool { return recordedVersions(t, state) == 1 })
			stopAll(t, earlier)
			rows := &failingRows{Rows: state}
			node, err := datagram.Listen("127.0.0.1:0", "vm-0", zerolog.Nop())
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { _ = node.Close() })
			list := []member.Member{{VM: "vm-0", State: member.Alive}, {VM: "vm-1", State: member.Alive}, {VM: "vm-2", State: member.Alive}}
			list = list[:1+test.others]
			s := origins.New(origins.Config{Members: view{"vm-0", &sync.Mutex{}, &list}, Node: node, Rows: rows, Log: zerolog.Nop()})
			s.SetTargets(registry("v1"))
			s.MembersChanged(list)
			node.Start()
			go s.Run(t.Context())
			eventually(t, func() bool {
				_, err := s.Resolve(t.Context(), "", service, true)
				return err == nil
			})
			rows.fails.Store(true)
			list = list[:1]
			s.MembersChanged(list)
			got, err := s.Resolve(t.Context(), "", service, true)
			qt.Assert(t, err == nil, qt.Equals, test.want, qt.Commentf("%v, %v", got, err))
			if err == nil {
				qt.Assert(t, got, qt.Equals, origin.Origin{Service: service, Version: "v1"})
			}
		})
	}
}
