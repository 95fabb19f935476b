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

// faultyStore is one VM's connection to the store, with injected faults.
type faultyStore struct {
	platform.Rows
	// unavailable makes calls fail, and loseResponses performs writes but loses their responses.
	unavailable, loseResponses atomic.Bool
	calls                      atomic.Int32
	// delay is how long a call takes to fail.
	delay time.Duration
}

func (s *faultyStore) recordCall() error {
	s.calls.Add(1)
	if s.unavailable.Load() {
		time.Sleep(s.delay)
		return platform.ErrUnavailable
	}
	return nil
}

func (s *faultyStore) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	if err := s.recordCall(); err != nil {
		return platform.Page{}, err
	}
	return s.Rows.Read(ctx, table, part, keys)
}

func (s *faultyStore) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Page, error) {
	if err := s.recordCall(); err != nil {
		return platform.Page{}, err
	}
	return s.Rows.Follow(ctx, table, after, wait)
}

func (s *faultyStore) Apply(ctx context.Context, txn platform.RowTxn) (uint64, error) {
	if err := s.recordCall(); err != nil {
		return 0, err
	}
	version, err := s.Rows.Apply(ctx, txn)
	if s.loseResponses.Load() {
		return 0, platform.ErrOutcomeUnknown
	}
	return version, err
}

func newRelayPair(t *testing.T) (state *memory.Platform, stores [2]*faultyStore, relays [2]*storerelay.Relay) {
	state = memory.New()
	var nodes [2]*datagram.Node
	for i := range nodes {
		node, err := datagram.Listen("127.0.0.1:0", string(rune('a'+i)), zerolog.Nop())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = node.Close() })
		nodes[i], stores[i] = node, &faultyStore{Rows: state}
	}
	for i := range nodes {
		other := nodes[1-i].Address()
		relays[i] = storerelay.New(storerelay.Config{
			Direct: stores[i], Node: nodes[i], Log: zerolog.Nop(),
			Peers: func() []netip.AddrPort { return []netip.AddrPort{other} },
		})
		nodes[i].Start()
	}
	return state, stores, relays
}

func createRow(key string) platform.RowTxn {
	row := platform.RowKey{Table: "t", Key: key}
	return platform.RowTxn{
		Conditions: []platform.RowCondition{{RowKey: row}},
		Writes:     []platform.RowWrite{{RowKey: row, Value: []byte("v")}},
	}
}

func TestCallsAreRelayedWhenStoreRejectsVM(t *testing.T) {
	state, stores, relays := newRelayPair(t)
	stores[0].delay = 50 * time.Millisecond
	stores[0].unavailable.Store(true)
	began := time.Now()
	page, err := relays[0].Read(t.Context(), "t", "", platform.KeyRange{})
	qt.Assert(t, err, qt.IsNil)
	// The page is as recent as the relayed call, and not as the direct one that failed before.
	qt.Assert(t, page.Delay >= stores[0].delay && page.Delay <= time.Since(began), qt.IsTrue, qt.Commentf("%s", page.Delay))
	version, err := relays[0].Apply(t.Context(), createRow("k"))
	qt.Assert(t, err, qt.IsNil)
	page, err = relays[0].Read(t.Context(), "t", "", platform.KeyRange{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, page.Rows, qt.HasLen, 1)
	qt.Assert(t, page.Rows[0].Version, qt.Equals, version)
	_, err = relays[0].Apply(t.Context(), createRow("k"))
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

func TestDirectCallsResumeWhenStoreRecovers(t *testing.T) {
	_, stores, relays := newRelayPair(t)
	stores[0].unavailable.Store(true)
	_, err := relays[0].Read(t.Context(), "t", "", platform.KeyRange{})
	qt.Assert(t, err, qt.IsNil)
	stores[0].unavailable.Store(false)
	time.Sleep(time.Second)
	before := stores[1].calls.Load()
	_, err = relays[0].Read(t.Context(), "t", "", platform.KeyRange{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stores[1].calls.Load(), qt.Equals, before)
}

func TestWriteOfUnknownOutcomeIsNotRelayed(t *testing.T) {
	_, stores, relays := newRelayPair(t)
	stores[0].loseResponses.Store(true)
	_, err := relays[0].Apply(t.Context(), createRow("k"))
	qt.Assert(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
	qt.Assert(t, stores[1].calls.Load(), qt.Equals, int32(0))
}

func TestStoreUnavailableToAllVMsIsUnavailable(t *testing.T) {
	_, stores, relays := newRelayPair(t)
	stores[0].unavailable.Store(true)
	stores[1].unavailable.Store(true)
	_, err := relays[0].Read(t.Context(), "t", "", platform.KeyRange{})
	qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
	_, err = relays[0].Apply(t.Context(), createRow("k"))
	qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
}

// A VM missed rows of a transaction that did not fit the rest of a relayed message.
func TestFollowIsNotCutWithinATransaction(t *testing.T) {
	state, stores, relays := newRelayPair(t)
	stores[0].unavailable.Store(true)
	row := func(key string, size int) platform.RowWrite {
		return platform.RowWrite{RowKey: platform.RowKey{Table: "t", Key: key}, Value: make([]byte, size)}
	}
	for _, writes := range [][]platform.RowWrite{
		{row("a", 45_000)}, {row("b", 45_000)}, {row("c", 45_000)}, {row("d", 45_000)}, {row("e", 15_000), row("f", 15_000)},
	} {
		_, err := state.Apply(t.Context(), platform.RowTxn{Writes: writes})
		qt.Assert(t, err, qt.IsNil)
	}
	var keys []string
	for after := uint64(0); len(keys) < 6; {
		page, err := relays[0].Follow(t.Context(), "t", after, 100*time.Millisecond)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, page.Rows, qt.Not(qt.HasLen), 0, qt.Commentf("nothing follows %v", keys))
		for _, r := range page.Rows {
			keys = append(keys, r.Key)
		}
		after = page.Version
	}
	qt.Assert(t, keys, qt.DeepEquals, []string{"a", "b", "c", "d", "e", "f"})
}
