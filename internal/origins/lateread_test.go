package origins_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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

// lateRows delays the response of the next read that is armed.
type lateRows struct {
	platform.Rows
	mu    sync.Mutex
	armed chan struct{}
	read  chan struct{}
}

func (r *lateRows) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	page, err := r.Rows.Read(ctx, table, part, keys)
	r.mu.Lock()
	armed := r.armed
	r.armed = nil
	r.mu.Unlock()
	if armed != nil {
		close(r.read)
		<-armed
	}
	return page, err
}

// A resumption's read of the records, answered after a new version was recorded, took the version's targets out of use.
func TestLateReadOfTheRecordsRemovesNoRecordedVersion(t *testing.T) {
	state := memory.New()
	earlier := startAt(t, func(int) platform.Rows { return state }, 1, "v1")
	eventually(t, func() bool { return recordedVersions(t, state) == 1 })
	stopAll(t, earlier)

	rows := &lateRows{Rows: state, read: make(chan struct{})}
	node, err := datagram.Listen("127.0.0.1:0", "vm-0", zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = node.Close() })
	var mu sync.Mutex
	var list []member.Member
	var usable []routing.Target
	onTargets := func(targets []routing.Target) {
		mu.Lock()
		defer mu.Unlock()
		usable = targets
	}
	uses := func(version string) bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.ContainsFunc(usable, func(target routing.Target) bool { return target.Version == version })
	}
	s := origins.New(origins.Config{Members: view{"vm-0", &sync.Mutex{}, &list}, Node: node, Rows: rows, OnTargets: onTargets, Log: zerolog.Nop()})
	s.SetTargets(registry("v1"))
	node.Start()
	go s.Run(t.Context())
	eventually(t, func() bool {
		_, err := s.Resolve(t.Context(), "", service, true)
		return err == nil
	})

	answer := make(chan struct{})
	rows.mu.Lock()
	rows.armed = answer
	rows.mu.Unlock()
	resolved := make(chan struct{})
	go func() {
		defer close(resolved)
		_, _ = s.Resolve(context.Background(), "", service, true)
	}()
	<-rows.read
	s.SetTargets(registry("v1", "v2"))
	eventually(t, func() bool { return uses("v2") })
	close(answer)
	<-resolved
	qt.Assert(t, uses("v2"), qt.IsTrue)
}

// Each resumption that read the records made the scheduler divide all targets into groups again.
func TestResumptionsPassOnNoTargetsThatHaveNotChanged(t *testing.T) {
	state := memory.New()
	earlier := startAt(t, func(int) platform.Rows { return state }, 1, "v1")
	eventually(t, func() bool { return recordedVersions(t, state) == 1 })
	stopAll(t, earlier)
	node, err := datagram.Listen("127.0.0.1:0", "vm-0", zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = node.Close() })
	var list []member.Member
	var calls atomic.Int32
	onTargets := func([]routing.Target) { calls.Add(1) }
	s := origins.New(origins.Config{Members: view{"vm-0", &sync.Mutex{}, &list}, Node: node, Rows: state, OnTargets: onTargets, Log: zerolog.Nop()})
	s.SetTargets(nil)
	qt.Assert(t, calls.Load(), qt.Equals, int32(1))
	s.SetTargets(registry("v1"))
	qt.Assert(t, calls.Load(), qt.Equals, int32(2))
	node.Start()
	go s.Run(t.Context())
	for range 10 {
		eventually(t, func() bool {
			_, err := s.Resolve(t.Context(), "", service, true)
			return err == nil
		})
	}
	qt.Assert(t, calls.Load(), qt.Equals, int32(2))
}
