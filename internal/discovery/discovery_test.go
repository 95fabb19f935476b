package discovery_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/discovery"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// propagationDelay is the time within which a change in the store reaches the service.
const propagationDelay = 300 * time.Millisecond

// faultyStore is a store with injected outages.
type faultyStore struct {
	rowstore.Rows
	down atomic.Bool
}

func (a *faultyStore) Read(ctx context.Context, table, part string, keys rowstore.KeyRange) (rowstore.Page, error) {
	if a.down.Load() {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return a.Rows.Read(ctx, table, part, keys)
}

func (a *faultyStore) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	page, err := a.Rows.Follow(ctx, table, after, wait)
	if a.down.Load() {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return page, err
}

// fixture is a store and a service that watches it, in virtual time.
type fixture struct {
	t       *testing.T
	state   *memory.Platform
	store   *faultyStore
	service *discovery.Service
	targets atomic.Pointer[[]routing.Target]
}

func run(t *testing.T, test func(w *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fixture{t: t, state: memory.New()}
		w.store = &faultyStore{Rows: w.state}
		w.service = discovery.New(discovery.Config{
			Rows: w.store, Log: zerolog.Nop(),
			OnTargets: func(targets []routing.Target) { w.targets.Store(&targets) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go w.service.Run(ctx)
		time.Sleep(propagationDelay)
		test(w)
		cancel()
		synctest.Wait()
	})
}

func (w *fixture) put(table, key, value string) {
	_, err := w.state.Apply(w.t.Context(), rowstore.RowTxn{Writes: []rowstore.RowWrite{{RowKey: rowstore.RowKey{Table: table, Key: key}, Value: []byte(value)}}})
	qt.Assert(w.t, err, qt.IsNil)
}

func (w *fixture) register(id, state string) {
	w.put(platform.TargetTable, id, fmt.Sprintf(`{"service":"s","address":"10.0.0.1:1","zone":"z","slots":8,"state":%q}`, state))
}

func (w *fixture) unregister(id string) {
	_, err := w.state.Apply(w.t.Context(), rowstore.RowTxn{Deletes: []rowstore.RowKey{{Table: platform.TargetTable, Key: id}}})
	qt.Assert(w.t, err, qt.IsNil)
}

func (w *fixture) targetCount() int {
	if w.targets.Load() == nil {
		return 0
	}
	return len(*w.targets.Load())
}

func TestEmptyRegistryIsPublished(t *testing.T) {
	run(t, func(w *fixture) {
		qt.Assert(t, w.targets.Load(), qt.IsNotNil)
		qt.Assert(t, w.targetCount(), qt.Equals, 0)
	})
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	run(t, func(w *fixture) {
		qt.Assert(t, w.service.Current(), qt.IsNil)
		for _, step := range []struct {
			value string
			want  uint64
		}{{`{"version":5}`, 5}, {`{"version":3}`, 5}, {`{"version":`, 5}, {`{"version":9}`, 9}} {
			w.put(platform.OperatorTable, platform.ConfigKey, step.value)
			time.Sleep(propagationDelay)
			qt.Assert(t, w.service.Current().Version, qt.Equals, step.want)
		}
		w.state.ForgetHistory()
		w.put(platform.OperatorTable, platform.ConfigKey, `{"version":12}`)
		time.Sleep(propagationDelay)
		qt.Assert(t, w.service.Current().Version, qt.Equals, uint64(12))
	})
}

func TestUnreadableEntryIsIgnoredAndOthersStay(t *testing.T) {
	run(t, func(w *fixture) {
		w.register("a", "ready")
		w.register("b", "ready")
		time.Sleep(propagationDelay)
		qt.Assert(t, w.targetCount(), qt.Equals, 2)
		w.put(platform.TargetTable, "b", "\x00\xff")
		w.put(platform.TargetTable, "c", `{"service":7}`)
		time.Sleep(propagationDelay)
		qt.Assert(t, w.targetCount(), qt.Equals, 1)
		qt.Assert(t, w.service.Usable("a"), qt.IsTrue)
		qt.Assert(t, w.service.Usable("b"), qt.IsFalse)
		w.register("b", "ready")
		time.Sleep(propagationDelay)
		qt.Assert(t, w.service.Usable("b"), qt.IsTrue)
	})
}

func TestDrainingOrRemovedTargetIsNotUsable(t *testing.T) {
	run(t, func(w *fixture) {
		w.register("a", "ready")
		w.register("b", "ready")
		time.Sleep(propagationDelay)
		w.register("a", "draining")
		w.unregister("b")
		time.Sleep(propagationDelay)
		qt.Assert(t, w.service.Usable("a"), qt.IsFalse)
		qt.Assert(t, w.service.Usable("b"), qt.IsFalse)
		qt.Assert(t, w.service.Usable("not known yet"), qt.IsTrue)
	})
}

func TestEntryMissingAfterStoreOutageIsKeptForGracePeriod(t *testing.T) {
	run(t, func(w *fixture) {
		w.register("back", "ready")
		w.register("gone", "ready")
		time.Sleep(propagationDelay)
		w.store.down.Store(true)
		time.Sleep(3 * time.Second)
		w.unregister("back")
		w.unregister("gone")
		w.store.down.Store(false)
		time.Sleep(time.Second)
		qt.Assert(t, w.targetCount(), qt.Equals, 2, qt.Commentf("removed before the grace period ended"))
		w.register("back", "ready")
		time.Sleep(2500 * time.Millisecond)
		qt.Assert(t, w.targetCount(), qt.Equals, 1)
		qt.Assert(t, w.service.Usable("gone"), qt.IsFalse)
	})
}

// loopbackNode connects two services: calls on one node are handled by the other.
type loopbackNode struct {
	handlers map[peer.Method]peer.CallHandler
	other    *loopbackNode
}

func (p *loopbackNode) HandleCall(method peer.Method, handler peer.CallHandler) {
	p.handlers[method] = handler
}

func (p *loopbackNode) Call(ctx context.Context, _ netip.AddrPort, method peer.Method, request, response any) error {
	recode := func(from, into any) error {
		content, err := cbor.Marshal(from)
		if err != nil {
			return err
		}
		return cbor.Unmarshal(content, into)
	}
	reply, err := p.other.handlers[method](ctx, peer.Identity{}, func(into any) error { return recode(request, into) })
	if err != nil {
		return err
	}
	return recode(reply, response)
}

// VMs that lost power start again during an outage of the store, while their peers have the configuration and registry.
func TestStartDuringStoreOutageCopiesStateFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, other := &loopbackNode{handlers: map[peer.Method]peer.CallHandler{}}, &loopbackNode{handlers: map[peer.Method]peer.CallHandler{}}
		one.other, other.other = other, one
		others := func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")} }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		startOn := func(store *faultyStore, node *loopbackNode) *fixture {
			w := &fixture{t: t, state: store.Rows.(*memory.Platform), store: store}
			w.service = discovery.New(discovery.Config{
				Rows: store, Log: zerolog.Nop(), Node: node, Peers: others,
				OnTargets: func(targets []routing.Target) { w.targets.Store(&targets) },
			})
			go w.service.Run(ctx)
			return w
		}
		state := memory.New()
		informed := startOn(&faultyStore{Rows: state}, one)
		informed.register("a", "ready")
		informed.register("b", "draining")
		informed.put(platform.OperatorTable, platform.ConfigKey, `{"version":3}`)
		time.Sleep(propagationDelay)
		informed.store.down.Store(true)

		lateStore := &faultyStore{Rows: state}
		lateStore.down.Store(true)
		started := startOn(lateStore, other)
		qt.Assert(t, started.service.Current(), qt.IsNil)
		time.Sleep(time.Second)
		qt.Assert(t, started.service.Current().Version, qt.Equals, informed.service.Current().Version)
		qt.Assert(t, started.targetCount(), qt.Equals, 2)
		qt.Assert(t, started.service.Usable("a"), qt.IsTrue)
		qt.Assert(t, started.service.Usable("b"), qt.IsFalse)

		started.put(platform.OperatorTable, platform.ConfigKey, `{"version":4}`)
		started.register("c", "ready")
		lateStore.down.Store(false)
		time.Sleep(2 * time.Second)
		qt.Assert(t, started.service.Current().Version, qt.Equals, uint64(4))
		qt.Assert(t, started.targetCount(), qt.Equals, 3)
	})
}
