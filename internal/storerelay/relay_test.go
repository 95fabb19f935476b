package storerelay_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/storerelay"
)

// gate is the store as one VM reaches it.
type gate struct {
	platform.Rows
	// shut refuses calls, and silent performs writes without an answer.
	shut, silent atomic.Bool
	calls        atomic.Int32
}

func (g *gate) refused() error {
	g.calls.Add(1)
	if g.shut.Load() {
		return platform.ErrUnavailable
	}
	return nil
}

func (g *gate) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	if err := g.refused(); err != nil {
		return platform.Page{}, err
	}
	return g.Rows.Read(ctx, table, part, keys)
}

func (g *gate) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Page, error) {
	if err := g.refused(); err != nil {
		return platform.Page{}, err
	}
	return g.Rows.Follow(ctx, table, after, wait)
}

func (g *gate) Apply(ctx context.Context, txn platform.RowTxn) (uint64, error) {
	if err := g.refused(); err != nil {
		return 0, err
	}
	version, err := g.Rows.Apply(ctx, txn)
	if g.silent.Load() {
		return 0, platform.ErrOutcomeUnknown
	}
	return version, err
}

func pair(t *testing.T) (state *memory.Platform, gates [2]*gate, relays [2]*storerelay.Relay) {
	state = memory.New()
	var nodes [2]*datagram.Node
	for i := range nodes {
		node, err := datagram.Listen("127.0.0.1:0", string(rune('a'+i)), zerolog.Nop())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = node.Close() })
		nodes[i], gates[i] = node, &gate{Rows: state}
	}
	for i := range nodes {
		other := nodes[1-i].Address()
		relays[i] = storerelay.New(storerelay.Config{
			Direct: gates[i], Node: nodes[i], Log: zerolog.Nop(),
			Peers: func() []netip.AddrPort { return []netip.AddrPort{other} },
		})
		nodes[i].Start()
	}
	return state, gates, relays
}

func create(key string) platform.RowTxn {
	row := platform.RowKey{Table: "t", Key: key}
	return platform.RowTxn{
		Conditions: []platform.RowCondition{{RowKey: row}},
		Writes:     []platform.RowWrite{{RowKey: row, Value: []byte("v")}},
	}
}

func TestAVMThatTheStoreTurnsAwayReachesItThroughAnother(t *testing.T) {
	state, gates, relays := pair(t)
	gates[0].shut.Store(true)
	version, err := relays[0].Apply(t.Context(), create("k"))
	qt.Assert(t, err, qt.IsNil)
	page, err := relays[0].Read(t.Context(), "t", "", platform.KeyRange{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, page.Rows, qt.HasLen, 1)
	qt.Assert(t, page.Rows[0].Version, qt.Equals, version)
	_, err = relays[0].Apply(t.Context(), create("k"))
	var conflict *platform.RowConflictError
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
	qt.Assert(t, conflict.Rows[0].Version, qt.Equals, version)
	page, err = relays[0].Follow(t.Context(), "t", 0, time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, page.Rows, qt.HasLen, 1)
	state.DiscardHistory()
	_, err = relays[0].Follow(t.Context(), "t", 0, time.Second)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrHistoryLost)
}

func TestTheDirectWayIsTakenAgainWhenItWorks(t *testing.T) {
	_, gates, relays := pair(t)
	gates[0].shut.Store(true)
	_, err := relays[0].Read(t.Context(), "t", "", platform.KeyRange{})
	qt.Assert(t, err, qt.IsNil)
	gates[0].shut.Store(false)
	time.Sleep(time.Second)
	before := gates[1].calls.Load()
	_, err = relays[0].Read(t.Context(), "t", "", platform.KeyRange{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, gates[1].calls.Load(), qt.Equals, before)
}

func TestAWriteOfUnknownOutcomeIsNotRepeatedThroughAnother(t *testing.T) {
	_, gates, relays := pair(t)
	gates[0].silent.Store(true)
	_, err := relays[0].Apply(t.Context(), create("k"))
	qt.Assert(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
	qt.Assert(t, gates[1].calls.Load(), qt.Equals, int32(0))
}

func TestAStoreThatIsAwayForAllIsUnavailable(t *testing.T) {
	_, gates, relays := pair(t)
	gates[0].shut.Store(true)
	gates[1].shut.Store(true)
	_, err := relays[0].Read(t.Context(), "t", "", platform.KeyRange{})
	qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
	_, err = relays[0].Apply(t.Context(), create("k"))
	qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
}
