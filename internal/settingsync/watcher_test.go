package settingsync

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/faulty"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/settingstore"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// inForceBound is the users' target for a change to be in force on every VM.
const inForceBound = 17 * time.Second

var errCut = errors.New("the network is cut")

// network connects watchers in memory.
type network struct {
	mu       sync.Mutex
	handlers map[netip.AddrPort]map[peer.Method]peer.CallHandler
	cut      map[netip.AddrPort]bool
}

// route returns the handler at to, nil when from cannot reach it.
func (n *network) route(from, to netip.AddrPort, method peer.Method) peer.CallHandler {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[from] || n.cut[to] {
		return nil
	}
	return n.handlers[to][method]
}

func (n *network) isolate(vm netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[vm] = true
}

// host is one VM's place in the network.
type host struct {
	net     *network
	address netip.AddrPort
}

func (h host) HandleCall(method peer.Method, handler peer.CallHandler) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.handlers[h.address] == nil {
		h.net.handlers[h.address] = map[peer.Method]peer.CallHandler{}
	}
	h.net.handlers[h.address][method] = handler
}

func (h host) HandleStream(peer.Method, peer.StreamHandler) {}

func (h host) OpenStream(context.Context, netip.AddrPort, peer.Method) (peer.Stream, error) {
	return nil, errCut
}

func (h host) Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error {
	handler := h.net.route(h.address, to, method)
	if handler == nil {
		return errCut
	}
	content, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, peer.Identity{Address: h.address}, func(out any) error { return cbor.Unmarshal(content, out) })
	if err != nil {
		return err
	}
	if content, err = cbor.Marshal(answer); err != nil {
		return err
	}
	return cbor.Unmarshal(content, response)
}

// fleet is a set of VMs that follow one table.
type fleet struct {
	platform *memory.Platform
	table    *faulty.Table
	net      *network
	// naive VMs poll the table and ask no peers.
	naive    bool
	watchers []*Watcher
	stops    []context.CancelFunc
}

func newFleet(size int, naive bool) *fleet {
	p := memory.New()
	f := &fleet{
		platform: p, table: faulty.New(p), naive: naive,
		net: &network{handlers: map[netip.AddrPort]map[peer.Method]peer.CallHandler{}, cut: map[netip.AddrPort]bool{}},
	}
	for range size {
		f.watchers = append(f.watchers, nil)
		f.stops = append(f.stops, func() {})
	}
	for i := range size {
		f.start(i)
	}
	return f
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 1)
}

// start starts VM i anew, without any state.
func (f *fleet) start(i int) {
	f.stops[i]()
	ctx, cancel := context.WithCancel(context.Background())
	f.stops[i] = cancel
	h := host{net: f.net, address: address(i)}
	w := New(Config{
		Store:       settingstore.New(f.table, f.platform.Objects()),
		Caller:      h,
		Peers:       func() []netip.AddrPort { return f.peersOf(i) },
		ReplicateTo: func(context.Context) []netip.AddrPort { return f.peersOf(i)[:2] },
		Announce:    func(revision uint64) { f.gossip(i, revision) },
	})
	w.Register(h)
	f.watchers[i] = w
	w.Start(ctx)
}

// gossip tells the VMs that VM i can reach of a revision, as the membership does within seconds.
func (f *fleet) gossip(i int, revision uint64) {
	for j, to := range f.peersOf(i) {
		time.AfterFunc(time.Duration(j)*time.Second/2, func() {
			_ = host{net: f.net, address: address(i)}.Call(context.Background(), to, MethodFetch, fetchRequest{After: revision}, &fetchAnswer{})
		})
	}
}

func (f *fleet) peersOf(i int) []netip.AddrPort {
	var peers []netip.AddrPort
	for j := range f.watchers {
		if j != i && !f.naive {
			peers = append(peers, address(j))
		}
	}
	return peers
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
}

// accept commits a change at VM i and spreads it, as the operators' interface does.
func (f *fleet) accept(c *qt.C, i, value int) uint64 {
	w := f.watchers[i]
	next, err := w.config.Store.Commit(context.Background(), w.Current(), settings.Change{
		Operation: fmt.Sprint(value), Subtree: "teams/a",
		Documents: map[string]string{"teams/a/services/s": fmt.Sprintf("timeout: %ds\n", value)},
	})
	c.Assert(err, qt.IsNil)
	w.Refresh(context.Background())
	if !f.naive {
		w.Replicate(context.Background())
	}
	return next.Revision
}

// lagging counts the VMs that take work under an older revision.
func (f *fleet) lagging(revision uint64) int {
	n := 0
	for _, w := range f.watchers {
		if w.Fresh() && w.Current().Revision < revision {
			n++
		}
	}
	return n
}

// scenarios are the faults around an accepted change. Each returns the number of VMs that still take
// work under an older revision once the bound has passed.
var scenarios = map[string]func(c *qt.C, f *fleet) int{
	"nothing fails": func(c *qt.C, f *fleet) int {
		revision := f.accept(c, 0, 2)
		time.Sleep(inForceBound)
		return f.lagging(revision)
	},
	"the table goes down right after the change was accepted": func(c *qt.C, f *fleet) int {
		revision := f.accept(c, 0, 2)
		f.table.SetDown(true)
		time.Sleep(inForceBound)
		return f.lagging(revision)
	},
	"a VM is cut off from the table and all peers": func(c *qt.C, f *fleet) int {
		f.net.isolate(address(3))
		f.table.SetDown(true)
		w := f.watchers[3]
		time.Sleep(inForceBound)
		if w.Fresh() {
			return 1
		}
		return 0
	},
	"a VM starts while the table is down": func(c *qt.C, f *fleet) int {
		revision := f.accept(c, 0, 2)
		f.table.SetDown(true)
		f.start(2)
		time.Sleep(inForceBound)
		if !f.watchers[2].Fresh() {
			return 1
		}
		return f.lagging(revision)
	},
	"the VM that accepted the change is lost and the table is down": func(c *qt.C, f *fleet) int {
		revision := f.accept(c, 0, 2)
		f.table.SetDown(true)
		f.net.isolate(address(0))
		f.stops[0]()
		time.Sleep(inForceBound)
		return f.lagging(revision)
	},
}

func play(t *testing.T, size int, naive bool, scenario func(*qt.C, *fleet) int) (late int) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(size, naive)
		defer f.stop()
		f.accept(c, 1, 1)
		time.Sleep(inForceBound)
		late = scenario(c, f)
	})
	return late
}

func TestAcceptedSettingsAreInForceEverywhere(t *testing.T) {
	for name, scenario := range scenarios {
		t.Run("when "+name, func(t *testing.T) {
			qt.Assert(t, play(t, 12, false, scenario), qt.Equals, 0)
		})
	}
	t.Run("the oracle rejects VMs that ask only the table", func(t *testing.T) {
		late := play(t, 12, true, scenarios["a VM starts while the table is down"])
		qt.Assert(t, late > 0, qt.IsTrue)
	})
}

func TestARevisionIsNeverUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(3, false)
		defer f.stop()
		var highest uint64
		for value := range 20 {
			f.accept(c, value%3, value+1)
			// A peer that starts anew has nothing and must not take the others back.
			f.start((value + 1) % 3)
			time.Sleep(time.Second)
			current := f.watchers[value%3].Current().Revision
			c.Assert(current >= highest, qt.IsTrue)
			highest = current
		}
	})
}

func TestAVMWithoutSettingsIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, false)
		defer f.stop()
		f.table.SetDown(true)
		for i := range 3 {
			f.start(i)
		}
		time.Sleep(time.Minute)
		for _, w := range f.watchers {
			qt.Assert(t, w.Fresh(), qt.IsFalse)
		}
	})
}
