package origins_test

import (
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

// A VM looked for the origin of a stream in a copy of the stored origins that was older than the origin's row.
func TestOriginStoredAfterTheCopyOfItsShardIsFound(t *testing.T) {
	state := memory.New()
	earlier := startAt(t, func(int) platform.Rows { return state }, 1, "v1")
	eventually(t, func() bool { return recordedVersions(t, state) == 1 })
	stopAll(t, earlier)
	startOne := func(name string) *origins.Service {
		node, err := datagram.Listen("127.0.0.1:0", name, zerolog.Nop())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = node.Close() })
		// Neither knows the other, as VMs that have just started.
		var list []member.Member
		s := origins.New(origins.Config{Members: view{name, &sync.Mutex{}, &list}, Node: node, Rows: state, Log: zerolog.Nop()})
		s.SetTargets(registry("v1"))
		node.Start()
		go s.Run(t.Context())
		eventually(t, func() bool {
			_, err := s.Resolve(t.Context(), "", service, true)
			return err == nil
		})
		return s
	}
	first, second := startOne("vm-0"), startOne("vm-1")
	first.SetTargets(registry("v1", "v2"))
	second.SetTargets(registry("v1", "v2"))
	eventually(t, func() bool { return recordedVersions(t, state) == 2 })
	first.Record("attempt", origin.Origin{Service: service, Version: "v2"}, false)
	// Others of the same shard return before the row is written, and the stream's client after that.
	for i := range 300 {
		_, _ = second.Resolve(t.Context(), fmt.Sprint("other-", i), service, true)
	}
	eventually(t, func() bool { return rows(t, state, "stream/", "stream0") == 1 })
	got, err := second.Resolve(t.Context(), "attempt", service, true)
	qt.Assert(t, err != nil || got.Version == "v2", qt.IsTrue, qt.Commentf("the stream that began at v2 goes on at %v", got))
}
