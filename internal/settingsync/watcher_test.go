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

// propagationBound is the required maximum time until a change is in force on every VM.
const propagationBound = 17 * time.Second

var errUnreachable = errors.New("peer is unreachable")

// network connects watchers in memory.
type network struct {
	mu       sync.Mutex
	handlers map[netip.AddrPort]map[peer.Method]peer.CallHandler
	isolated map[netip.AddrPort]bool
}

// handlerFor returns the handler at to, or nil if from cannot reach it.
func (n *network) handlerFor(from, to netip.AddrPort, method peer.Method) peer.CallHandler {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[from] || n.isolated[to] {
		return nil
	}
	return n.handlers[to][method]
}

func (n *network) isolate(vm netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[vm] = true
}

// host is one VM's endpoint in the network.
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
	return nil, errUnreachable
}

func (h host) Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error {
	handler := h.net.handlerFor(h.address, to, method)
	if handler == nil {
		return errUnreachable
	}
	content, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	result, err := handler(ctx, peer.Identity{Address: h.address}, func(out any) error { return cbor.Unmarshal(content, out) })
	if err != nil {
		return err
	}
	if content, err = cbor.Marshal(result); err != nil {
		return err
	}
	return cbor.Unmarshal(content, response)
}

// fleet is a set of VMs that follow one table.
type fleet struct {
	platform *memory.Platform
	table    *faulty.Table
	net      *network
	// naive VMs poll only the table, not their peers.
	naive    bool
	watchers []*Watcher
	stops    []context.CancelFunc
}

func newFleet(size int, naive bool) *fleet {
	p := memory.New()
	f := &fleet{
		platform: p, table: faulty.New(p), naive: naive,
		net: &network{handlers: map[netip.AddrPort]map[peer.Method]peer.CallHandler{}, isolated: map[netip.AddrPort]bool{}},
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

// start restarts VM i without any state.
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

// gossip announces a revision to the VMs that VM i can reach, as the membership protocol does within seconds.
func (f *fleet) gossip(i int, revision uint64) {
	for j, to := range f.peersOf(i) {
		time.AfterFunc(time.Duration(j)*time.Second/2, func() {
			_ = host{net: f.net, address: address(i)}.Call(context.Background(), to, MethodFetch, fetchRequest{After: revision}, &fetchResponse{})
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

// commit commits a change at VM i and replicates it, as the operator API does.
func (f *fleet) commit(c *qt.C, i, value int) uint64 {
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

// countLagging counts the VMs that accept work under an older revision.
func (f *fleet) countLagging(revision uint64) int {
	n := 0
	for _, w := range f.watchers {
		if w.Fresh() && w.Current().Revision < revision {
			n++
		}
	}
	return n
}

// scenarios are faults around a committed change. Each returns the number of VMs that violate the bound: they still
// accept work under an older revision, or are not in the state that the scenario requires.
var scenarios = map[string]func(c *qt.C, f *fleet) int{
	"nothing fails": func(c *qt.C, f *fleet) int {
		revision := f.commit(c, 0, 2)
		time.Sleep(propagationBound)
		return f.countLagging(revision)
	},
	"the table fails right after the change was committed": func(c *qt.C, f *fleet) int {
		revision := f.commit(c, 0, 2)
		f.table.SetDown(true)
		time.Sleep(propagationBound)
		return f.countLagging(revision)
	},
	"a VM is isolated from the table and all peers": func(c *qt.C, f *fleet) int {
		f.net.isolate(address(3))
		f.table.SetDown(true)
		w := f.watchers[3]
		time.Sleep(propagationBound)
		if w.Fresh() {
			return 1
		}
		return 0
	},
	"a VM starts while the table is down": func(c *qt.C, f *fleet) int {
		revision := f.commit(c, 0, 2)
		f.table.SetDown(true)
		f.start(2)
		time.Sleep(propagationBound)
		if !f.watchers[2].Fresh() {
			return 1
		}
		return f.countLagging(revision)
	},
	"the VM that committed the change fails and the table is down": func(c *qt.C, f *fleet) int {
		revision := f.commit(c, 0, 2)
		f.table.SetDown(true)
		f.net.isolate(address(0))
		f.stops[0]()
		time.Sleep(propagationBound)
		return f.countLagging(revision)
	},
}

func play(t *testing.T, size int, naive bool, scenario func(*qt.C, *fleet) int) (lagging int) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(size, naive)
		defer f.stop()
		f.commit(c, 1, 1)
		time.Sleep(propagationBound)
		lagging = scenario(c, f)
	})
	return lagging
}

func TestCommittedSettingsReachAllVMs(t *testing.T) {
	for name, scenario := range scenarios {
		t.Run("when "+name, func(t *testing.T) {
			qt.Assert(t, play(t, 12, false, scenario), qt.Equals, 0)
		})
	}
	t.Run("the test detects VMs that poll only the table", func(t *testing.T) {
		lagging := play(t, 12, true, scenarios["a VM starts while the table is down"])
		qt.Assert(t, lagging > 0, qt.IsTrue)
	})
}

func TestRevisionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(3, false)
		defer f.stop()
		var highest uint64
		for value := range 20 {
			f.commit(c, value%3, value+1)
			// A peer that restarts has no settings and must not make others go back to an older revision.
			f.start((value + 1) % 3)
			time.Sleep(time.Second)
			current := f.watchers[value%3].Current().Revision
			c.Assert(current >= highest, qt.IsTrue)
			highest = current
		}
	})
}

func TestVMWithoutSettingsIsNotFresh(t *testing.T) {
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
