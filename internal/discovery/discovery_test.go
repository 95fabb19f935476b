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

// settle is the time in which a change of the store is known everywhere.
const settle = 300 * time.Millisecond

// away is a store that can be away.
type away struct {
	rowstore.Rows
	down atomic.Bool
}

func (a *away) Read(ctx context.Context, table, part string, keys rowstore.KeyRange) (rowstore.Page, error) {
	if a.down.Load() {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return a.Rows.Read(ctx, table, part, keys)
}

func (a *away) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	page, err := a.Rows.Follow(ctx, table, after, wait)
	if a.down.Load() {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return page, err
}

// world is a followed store in virtual time.
type world struct {
	t       *testing.T
	state   *memory.Platform
	store   *away
	service *discovery.Service
	targets atomic.Pointer[[]routing.Target]
}

func run(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, state: memory.New()}
		w.store = &away{Rows: w.state}
		w.service = discovery.New(discovery.Config{
			Rows: w.store, Log: zerolog.Nop(),
			OnTargets: func(targets []routing.Target) { w.targets.Store(&targets) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go w.service.Run(ctx)
		time.Sleep(settle)
		test(w)
		cancel()
		synctest.Wait()
	})
}

func (w *world) put(table, key, value string) {
	_, err := w.state.Apply(w.t.Context(), rowstore.RowTxn{Writes: []rowstore.RowWrite{{RowKey: rowstore.RowKey{Table: table, Key: key}, Value: []byte(value)}}})
	qt.Assert(w.t, err, qt.IsNil)
}

func (w *world) register(id, state string) {
	w.put(platform.TargetTable, id, fmt.Sprintf(`{"service":"s","address":"10.0.0.1:1","zone":"z","slots":8,"state":%q}`, state))
}

func (w *world) lapse(id string) {
	_, err := w.state.Apply(w.t.Context(), rowstore.RowTxn{Deletes: []rowstore.RowKey{{Table: platform.TargetTable, Key: id}}})
	qt.Assert(w.t, err, qt.IsNil)
}

func (w *world) known() int {
	if w.targets.Load() == nil {
		return 0
	}
	return len(*w.targets.Load())
}

func TestARegistryWithoutTargetsIsPassedOnToo(t *testing.T) {
	run(t, func(w *world) {
		qt.Assert(t, w.targets.Load(), qt.IsNotNil)
		qt.Assert(t, w.known(), qt.Equals, 0)
	})
}

func TestTheConfigurationNeverGoesBack(t *testing.T) {
	run(t, func(w *world) {
		qt.Assert(t, w.service.Current(), qt.IsNil)
		for _, step := range []struct {
			value string
			want  uint64
		}{{`{"version":5}`, 5}, {`{"version":3}`, 5}, {`{"version":`, 5}, {`{"version":9}`, 9}} {
			w.put(platform.OperatorTable, platform.ConfigKey, step.value)
			time.Sleep(settle)
			qt.Assert(t, w.service.Current().Version, qt.Equals, step.want)
		}
		w.state.DiscardHistory()
		w.put(platform.OperatorTable, platform.ConfigKey, `{"version":12}`)
		time.Sleep(settle)
		qt.Assert(t, w.service.Current().Version, qt.Equals, uint64(12))
	})
}

func TestAnEntryThatCannotBeReadNamesNoTargetAndTheOthersHold(t *testing.T) {
	run(t, func(w *world) {
		w.register("a", "ready")
		w.register("b", "ready")
		time.Sleep(settle)
		qt.Assert(t, w.known(), qt.Equals, 2)
		w.put(platform.TargetTable, "b", "\x00\xff")
		w.put(platform.TargetTable, "c", `{"service":7}`)
		time.Sleep(settle)
		qt.Assert(t, w.known(), qt.Equals, 1)
		qt.Assert(t, w.service.Usable("a"), qt.IsTrue)
		qt.Assert(t, w.service.Usable("b"), qt.IsFalse)
		w.register("b", "ready")
		time.Sleep(settle)
		qt.Assert(t, w.service.Usable("b"), qt.IsTrue)
	})
}

func TestATargetThatDrainsOrIsGoneIsNotUsable(t *testing.T) {
	run(t, func(w *world) {
		w.register("a", "ready")
		w.register("b", "ready")
		time.Sleep(settle)
		w.register("a", "draining")
		w.lapse("b")
		time.Sleep(settle)
		qt.Assert(t, w.service.Usable("a"), qt.IsFalse)
		qt.Assert(t, w.service.Usable("b"), qt.IsFalse)
		qt.Assert(t, w.service.Usable("not known yet"), qt.IsTrue)
	})
}

func TestAnEntryThatLapsedWhileTheStoreWasAway(t *testing.T) {
	run(t, func(w *world) {
		w.register("back", "ready")
		w.register("gone", "ready")
		time.Sleep(settle)
		w.store.down.Store(true)
		time.Sleep(3 * time.Second)
		w.lapse("back")
		w.lapse("gone")
		w.store.down.Store(false)
		time.Sleep(time.Second)
		qt.Assert(t, w.known(), qt.Equals, 2, qt.Commentf("believed too early"))
		w.register("back", "ready")
		time.Sleep(2500 * time.Millisecond)
		qt.Assert(t, w.known(), qt.Equals, 1)
		qt.Assert(t, w.service.Usable("gone"), qt.IsFalse)
	})
}

// pair connects two services: each call of one is answered by the other.
type pair struct {
	handlers map[peer.Method]peer.CallHandler
	other    *pair
}

func (p *pair) HandleCall(method peer.Method, handler peer.CallHandler) { p.handlers[method] = handler }

func (p *pair) Call(ctx context.Context, _ netip.AddrPort, method peer.Method, request, response any) error {
	recode := func(from, into any) error {
		content, err := cbor.Marshal(from)
		if err != nil {
			return err
		}
		return cbor.Unmarshal(content, into)
	}
	answer, err := p.other.handlers[method](ctx, peer.Identity{}, func(into any) error { return recode(request, into) })
	if err != nil {
		return err
	}
	return recode(answer, response)
}

// store-away-at-the-start: VMs that lost power start again while the store is silent, and others know all that is needed.
func TestAVMThatStartsWhileTheStoreIsAwayLearnsFromTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, other := &pair{handlers: map[peer.Method]peer.CallHandler{}}, &pair{handlers: map[peer.Method]peer.CallHandler{}}
		one.other, other.other = other, one
		others := func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")} }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		startOn := func(store *away, node *pair) *world {
			w := &world{t: t, state: store.Rows.(*memory.Platform), store: store}
			w.service = discovery.New(discovery.Config{
				Rows: store, Log: zerolog.Nop(), Node: node, Peers: others,
				OnTargets: func(targets []routing.Target) { w.targets.Store(&targets) },
			})
			go w.service.Run(ctx)
			return w
		}
		state := memory.New()
		informed := startOn(&away{Rows: state}, one)
		informed.register("a", "ready")
		informed.register("b", "draining")
		informed.put(platform.OperatorTable, platform.ConfigKey, `{"version":3}`)
		time.Sleep(settle)
		informed.store.down.Store(true)

		late := &away{Rows: state}
		late.down.Store(true)
		started := startOn(late, other)
		qt.Assert(t, started.service.Current(), qt.IsNil)
		time.Sleep(time.Second)
		qt.Assert(t, started.service.Current().Version, qt.Equals, informed.service.Current().Version)
		qt.Assert(t, started.known(), qt.Equals, 2)
		qt.Assert(t, started.service.Usable("a"), qt.IsTrue)
		qt.Assert(t, started.service.Usable("b"), qt.IsFalse)

		started.put(platform.OperatorTable, platform.ConfigKey, `{"version":4}`)
		started.register("c", "ready")
		late.down.Store(false)
		time.Sleep(2 * time.Second)
		qt.Assert(t, started.service.Current().Version, qt.Equals, uint64(4))
		qt.Assert(t, started.known(), qt.Equals, 3)
	})
}
