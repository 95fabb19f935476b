package usage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/usage"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 60) }

const acme = "acme"

// fleet of VMs in a network that loses, repeats, delays and cuts off messages.
type network struct {
	mu     sync.Mutex
	random *rand.Rand
	vms    []*testVM
	// loss is the part of messages that are lost, and as many are repeated.
	loss float64
	sent map[peer.Method]int
	// cut holds the pairs of VMs whose link is cut.
	cut      map[[2]int]bool
	accounts *account.Directory
	version  uint64
	ended    bool
	store    Store
}

// slowStore takes some ms for each call, and fails during an outage.
type slowStore struct {
	Store
	network *network
	away    bool
	// forgets means that reads find nothing, so that no VM learns of an overdraft.
	forgets bool
}

func (s *slowStore) wait() (forgets bool, err error) {
	s.network.mu.Lock()
	delay, away, forgets := time.Duration(s.network.random.IntN(30))*time.Millisecond, s.away, s.forgets
	s.network.mu.Unlock()
	time.Sleep(delay)
	if away {
		return forgets, platform.ErrUnavailable
	}
	return forgets, nil
}

func (s *slowStore) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	forgets, err := s.wait()
	if err != nil {
		return platform.Page{}, err
	}
	page, err := s.Store.Read(ctx, table, part, keys)
	if forgets {
		page.Rows = nil
	}
	return page, err
}

func (s *slowStore) Apply(ctx context.Context, txn platform.RowTxn) (uint64, error) {
	forgets, err := s.wait()
	if err != nil {
		return 0, err
	}
	if forgets {
		txn.Conditions = nil
	}
	return s.Store.Apply(ctx, txn)
}

// testVM is one VM. Its service is replaced when it restarts.
type testVM struct {
	net      *network
	index    int
	handlers map[peer.Method]datagram.MessageHandler
	service  *Service
	members  []member.Member
	// old means that the build of the VM does not know the messages.
	dead, old, frozen bool
	thaw              *sync.Cond
	log               syncLog
}

// syncLog records log lines.
type syncLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *syncLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *syncLog) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), message)
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }
func vmAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func newNetwork(vms int, seed uint64, limit account.Limit) *network {
	n := &network{random: rand.New(rand.NewPCG(seed, seed)), cut: map[[2]int]bool{}, sent: map[peer.Method]int{}}
	n.store = &slowStore{Store: memory.New(), network: n}
	n.setLimit(limit)
	var members []member.Member
	for i := range vms {
		members = append(members, member.Member{VM: vmName(i), State: member.Alive, EntryPeers: vmAddress(i).String(), Incarnation: 1})
	}
	for i := range vms {
		v := &testVM{net: n, index: i, members: slices.Clone(members)}
		v.thaw = sync.NewCond(&n.mu)
		n.vms = append(n.vms, v)
		v.start()
		go v.tick()
	}
	return n
}

func (n *network) setLimit(limit account.Limit) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version++
	n.accounts, _ = account.NewDirectory([]account.Entry{{Account: account.Account{Name: acme, Limit: limit}}})
}

func (n *network) account() *account.Account {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, _ := n.accounts.Lookup(acme)
	return a
}

// start starts the process of a VM.
func (v *testVM) start() {
	handlers := map[peer.Method]datagram.MessageHandler{}
	s := New(Config{Node: registrar{v, handlers}, Members: v, Expected: len(v.members), Store: v.net.store, Log: zerolog.New(&v.log), Accounts: func() (*account.Directory, uint64) {
		v.net.mu.Lock()
		defer v.net.mu.Unlock()
		return v.net.accounts, v.net.version
	}})
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	v.handlers, v.service, v.dead = handlers, s, false
	go s.readOverdrafts(context.Background())
}

type registrar struct {
	*testVM
	handlers map[peer.Method]datagram.MessageHandler
}

func (r registrar) HandleMessage(method peer.Method, handler datagram.MessageHandler) {
	r.handlers[method] = handler
}

func (v *testVM) Members() []member.Member {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(v.members), func(m member.Member) bool { return m.State == member.Dead })
}

func (v *testVM) Self() member.Member {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	return v.members[v.index]
}

// tick replaces Service.Run, which could not be frozen.
func (v *testVM) tick() {
	for {
		time.Sleep(tickInterval)
		v.net.mu.Lock()
		s, idle, ended := v.service, v.dead || v.frozen, v.net.ended
		v.net.mu.Unlock()
		if ended {
			return
		}
		if !idle {
			s.tick()
		}
	}
}

func (v *testVM) Send(to netip.AddrPort, method peer.Method, message any) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	n := v.net
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[method]++
	target := int(to.Addr().As4()[3])
	if v.dead || v.old || n.ended || n.cut[pair(v.index, target)] {
		return nil
	}
	copies := 1
	if x := n.random.Float64(); x < n.loss {
		copies = 0
	} else if x < 2*n.loss {
		copies = 2
	}
	for range copies {
		delay := 500*time.Microsecond + time.Duration(n.random.IntN(1000))*time.Microsecond
		go func() {
			time.Sleep(delay)
			n.vms[target].receive(v.index, method, payload)
		}()
	}
	return nil
}

// receive handles a message. A frozen VM handles it when it wakes.
func (v *testVM) receive(from int, method peer.Method, payload []byte) {
	v.net.mu.Lock()
	for v.frozen && !v.net.ended {
		v.thaw.Wait()
	}
	handler, lost := v.handlers[method], v.dead || v.old || v.net.ended
	v.net.mu.Unlock()
	if lost || handler == nil {
		return
	}
	handler(peer.Identity{VM: vmName(from), Address: vmAddress(from)}, func(out any) error { return cbor.Unmarshal(payload, out) })
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// set changes VMs and the network, then informs the services of their members.
func (n *network) set(change func()) {
	n.mu.Lock()
	change()
	n.mu.Unlock()
	for _, v := range n.vms {
		n.mu.Lock()
		s, dead := v.service, v.dead
		n.mu.Unlock()
		if !dead {
			s.MembersChanged()
		}
	}
}

// see sets the state of VMs in the view of those VMs that the condition selects.
func (n *network) see(state member.State, of func(viewer, seen int) bool) {
	n.set(func() {
		for _, v := range n.vms {
			for i := range v.members {
				if i != v.index && of(v.index, i) {
					v.members[i].State = state
				}
			}
		}
	})
}

func (n *network) end() {
	n.mu.Lock()
	n.ended = true
	for _, v := range n.vms {
		v.frozen = false
		v.thaw.Broadcast()
	}
	n.mu.Unlock()
	time.Sleep(time.Second)
}

// acquire sends a request of the account to a VM.
func (n *network) acquire(vm int) error {
	n.mu.Lock()
	s := n.vms[vm].service
	n.mu.Unlock()
	return s.Acquire(context.Background(), n.account())
}

func (n *network) isDown(vm int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.vms[vm]
	return v.dead || v.old || v.frozen
}

func (n *network) count(method peer.Method) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[method]
}

// ranked returns the first VMs in the order in which they count for the account.
func (n *network) ranked() []int {
	var order []int
	for _, m := range usage.Rank(acme, n.vms[0].members, func(string) (bool, bool) { return false, false }).VMs {
		order = append(order, slices.IndexFunc(n.vms[0].members, func(o member.Member) bool { return o.VM == m.VM }))
	}
	return order
}

// fault is what happens to VMs at a time.
func (n *network) fault(kind string, vms []int, duration time.Duration) {
	is := func(i int) bool { return slices.Contains(vms, i) }
	crossing := func(viewer, seen int) bool { return is(viewer) != is(seen) }
	switch kind {
	case "restart":
		n.set(func() {
			for _, i := range vms {
				n.vms[i].dead = true
			}
		})
		time.Sleep(duration)
		// A VM that starts knows no other one for half a second.
		for _, i := range vms {
			n.see(member.Dead, func(viewer, _ int) bool { return viewer == i })
			n.vms[i].start()
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		n.see(member.Alive, func(viewer, _ int) bool { return is(viewer) })
	case "freeze":
		n.set(func() {
			for _, i := range vms {
				n.vms[i].frozen = true
			}
		})
		time.Sleep(duration)
		n.set(func() {
			for _, i := range vms {
				n.vms[i].frozen = false
				n.vms[i].thaw.Broadcast()
			}
		})
	case "cut links":
		for _, v := range vms[1:] {
			n.set(func() { n.cut[pair(vms[0], v)] = true })
		}
		time.Sleep(duration)
		n.set(func() { clear(n.cut) })
	case "partition":
		n.set(func() {
			for i := range n.vms {
				for j := range n.vms {
					if crossing(i, j) {
						n.cut[pair(i, j)] = true
					}
				}
			}
		})
		time.Sleep(min(duration, time.Second))
		if duration > time.Second {
			n.see(member.Suspect, crossing)
			time.Sleep(duration - time.Second)
		}
		n.set(func() { clear(n.cut) })
		time.Sleep(200 * time.Millisecond)
		n.see(member.Alive, crossing)
	}
}

// limitHolds checks the limit over sliding windows under any load and faults.
func limitHolds(t *rapid.T) {
	const vms, half = 12, 500 * time.Millisecond
	limit := account.Limit{PerSecond: float64(rapid.IntRange(1, 30).Draw(t, "per second")), Burst: float64(rapid.IntRange(0, 40).Draw(t, "burst"))}
	demand := rapid.SliceOfN(rapid.SampledFrom([]int{0, 5, 30, 120}), 20, 20).Draw(t, "requests per second, by half second")
	saturated := rapid.Bool().Draw(t, "saturated")
	type event struct {
		kind     string
		at       int
		vms      []int
		duration int
	}
	n := newNetwork(vms, rapid.Uint64().Draw(t, "seed"), limit)
	defer n.end()
	loss := float64(rapid.IntRange(0, 3).Draw(t, "percent lost")) / 100
	store := n.store.(*slowStore)
	n.set(func() { n.loss = loss })
	// Accounts are not let overdraw their buckets by VMs that have just started.
	time.Sleep(time.Duration(rapid.IntRange(0, 6000).Draw(t, "age of the fleet in ms")) * time.Millisecond)
	awayAt := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms until the store is away")) * time.Millisecond
	time.AfterFunc(awayAt, func() { n.set(func() { store.away = true }) })
	time.AfterFunc(awayAt+2*time.Second, func() { n.set(func() { store.away = false }) })
	ranked := n.ranked()
	for range rapid.IntRange(0, 2).Draw(t, "faults") {
		e := event{rapid.SampledFrom([]string{"restart", "restart all", "freeze", "cut links", "partition"}).Draw(t, "kind"), rapid.IntRange(0, 6000).Draw(t, "at ms"),
			[]int{ranked[0], rapid.IntRange(0, vms-1).Draw(t, "another VM")}, rapid.IntRange(100, 3000).Draw(t, "for ms")}
		if e.vms[1] == e.vms[0] || rapid.Bool().Draw(t, "one VM") {
			e.vms = e.vms[:1]
		}
		if e.kind == "restart all" {
			e.kind, e.vms = "restart", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
		}
		go func() {
			time.Sleep(time.Duration(e.at) * time.Millisecond)
			n.fault(e.kind, e.vms, time.Duration(e.duration)*time.Millisecond)
		}()
	}
	var mu sync.Mutex
	var allowed []time.Time
	begin, wanted := time.Now(), 0.0
	for at := time.Duration(0); at < 10*time.Second; at += 5 * time.Millisecond {
		time.Sleep(5 * time.Millisecond)
		perSecond := float64(demand[at/half])
		if saturated {
			perSecond = 120
		}
		for wanted += perSecond * 0.005; wanted >= 1; wanted-- {
			go func() {
				n.mu.Lock()
				vm := n.random.IntN(vms)
				for n.vms[vm].frozen && !n.ended {
					n.vms[vm].thaw.Wait()
				}
				lost := n.vms[vm].dead
				n.mu.Unlock()
				started := time.Now()
				if !lost && n.acquire(vm) == nil {
					mu.Lock()
					allowed = append(allowed, time.Now())
					mu.Unlock()
				}
				if took := time.Since(started); took > 120*time.Millisecond {
					t.Errorf("a request was held for %s", took)
				}
			}()
		}
	}
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	start, most := 0, (limit.PerSecond*5+limit.Burst)*1.1+20
	for i, at := range allowed {
		for at.Sub(allowed[start]) > usage.Window {
			start++
		}
		if got := float64(i - start + 1); got > most {
			t.Fatalf("%.0f requests in the 5 s before %s, %.1f permitted", got, at.Sub(begin), most)
		}
	}
}

func TestLimitHoldsUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(withoutDeadline{t}, limitHolds) })
}

// withoutDeadline hides the deadline of a test, which may not be read in a synctest bubble.
type withoutDeadline struct{ testing.TB }

// Requests below the limit must be served while the counting VM is silent, killed or of an older build, and without
// waiting again for one that is known not to answer.
func TestRequestsBelowTheLimitAreServed(t *testing.T) {
	limit := account.Limit{PerSecond: 20, Burst: 10}
	for name, prepare := range map[string]func(n *network){
		"no fault":                   func(*network) {},
		"3 of 100 messages are lost": func(n *network) { n.set(func() { n.loss = 0.03 }) },
		"counting VM killed": func(n *network) {
			first := n.ranked()[0]
			n.set(func() { n.vms[first].dead = true })
			go func() {
				time.Sleep(time.Second)
				n.see(member.Suspect, func(_, seen int) bool { return seen == first })
				time.Sleep(time.Second)
				n.see(member.Dead, func(_, seen int) bool { return seen == first })
			}()
		},
		"counting VM silent": func(n *network) {
			first := n.ranked()[0]
			n.set(func() { n.vms[first].frozen = true })
		},
		"counting VM cut off from half of the VMs": func(n *network) {
			first := n.ranked()[0]
			n.set(func() {
				for i := 0; i < len(n.vms); i += 2 {
					n.cut[pair(first, i)] = true
				}
			})
		},
		"counting VM of an older build": func(n *network) {
			first := n.ranked()[0]
			n.set(func() { n.vms[first].old = true })
		},
		"two VMs of the present build": func(n *network) {
			n.set(func() {
				for _, v := range n.vms[2:] {
					v.old = true
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(12, 1, limit)
				defer n.end()
				prepare(n)
				if !strings.Contains(name, "build") {
					time.Sleep(4 * time.Second)
				}
				refused, slow := 0, 0
				spare := slices.IndexFunc(n.vms, func(v *testVM) bool { return !n.isDown(v.index) })
				for i := range 240 {
					time.Sleep(50 * time.Millisecond)
					vm := i % 12
					if n.isDown(vm) {
						vm = spare
					}
					started := time.Now()
					if n.acquire(vm) != nil {
						refused++
					}
					if time.Since(started) > askInterval {
						slow++
					}
				}
				qt.Assert(t, refused, qt.Equals, 0)
				qt.Assert(t, slow <= 20, qt.IsTrue, qt.Commentf("%d requests were held", slow))
			})
		})
	}
}

// A lowered limit must bind with the version that the counting VM has, or with the one of the question if that is newer,
// and the error must lead an operator to the cause.
func TestLimitOfTheNewestVersionIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, 1, account.Limit{PerSecond: 1, Burst: 50})
		defer n.end()
		// Without overdrafts the burst binds exactly.
		n.set(func() { n.store.(*slowStore).away = true })
		ranked := n.ranked()
		time.Sleep(10 * time.Second)
		asker := n.vms[ranked[1]].service
		old := n.account()
		n.setLimit(account.Limit{PerSecond: 1, Burst: 2})
		var over *OverLimitError
		for _, want := range []bool{true, true, false} {
			// The asker's request still has the former limit.
			err := asker.Acquire(t.Context(), old)
			qt.Assert(t, err == nil, qt.Equals, want, qt.Commentf("%v", err))
			errors.As(err, &over)
		}
		qt.Assert(t, over.CountedBy, qt.Equals, vmName(ranked[0]))
		qt.Assert(t, over.Limit, qt.Equals, account.Limit{PerSecond: 1, Burst: 2})
		qt.Assert(t, over.RetryAfter > 0 && over.RetryAfter <= time.Second+time.Millisecond, qt.IsTrue)
		asker.Return(old)
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, asker.Acquire(t.Context(), old), qt.IsNil)
		for range 100 {
			_ = asker.Acquire(t.Context(), old)
		}
		time.Sleep(usage.Window + 3*time.Second)
		log := &n.vms[ranked[1]].log
		qt.Assert(t, log.count("beyond its usage limit"), qt.Equals, 1)
		qt.Assert(t, log.count("no longer refused"), qt.Equals, 1)
		before := n.count(methodAsk)
		qt.Assert(t, asker.Acquire(t.Context(), &account.Account{Name: "free"}), qt.IsNil)
		qt.Assert(t, n.count(methodAsk), qt.Equals, before, qt.Commentf("an account without a limit takes no message"))
	})
}

// A VM whose link to the counting VM is cut must have its requests counted there, by way of the next VM in rank.
func TestQuestionIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(12, 1, account.Limit{PerSecond: 0.01, Burst: 4})
		defer n.end()
		time.Sleep(2 * time.Second)
		first := n.ranked()[0]
		asker := slices.IndexFunc(n.vms, func(v *testVM) bool { return !slices.Contains(n.ranked(), v.index) })
		n.set(func() { n.cut[pair(first, asker)] = true })
		for range 4 {
			qt.Assert(t, n.acquire(asker), qt.IsNil)
		}
		for _, vm := range []int{asker, first} {
			var over *OverLimitError
			qt.Assert(t, errors.As(n.acquire(vm), &over), qt.IsTrue)
			qt.Assert(t, over.CountedBy, qt.Equals, vmName(first))
		}
	})
}

// An account that the newer configuration of the counting VM lacks must not be counted there, but by the asker for its part.
func TestUnknownAccountFallsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, 1, account.Limit{PerSecond: 1, Burst: 9})
		defer n.end()
		time.Sleep(5 * time.Second)
		a := n.account()
		n.mu.Lock()
		n.version++
		n.accounts, _ = account.NewDirectory(nil)
		n.mu.Unlock()
		for _, vm := range n.ranked()[:2] {
			served := 0
			for range 20 {
				if n.vms[vm].service.Acquire(t.Context(), a) == nil {
					served++
				}
			}
			qt.Assert(t, served, qt.Equals, 3, qt.Commentf("at the VM of rank %d", slices.Index(n.ranked(), vm)))
		}
	})
}

// BenchmarkAcquire measures a counted request with key lookup for 4,100 accounts and 360 members, without the network.
func BenchmarkAcquire(b *testing.B) {
	var entries []account.Entry
	for i := range 4100 {
		entries = append(entries, account.Entry{
			Account: account.Account{Name: fmt.Sprint("account-", i), Limit: account.Limit{PerSecond: 1e6, Burst: 1e6}},
			Keys:    []account.Digest{account.DigestOf(fmt.Sprint("key-", i))},
		})
	}
	directory, err := account.NewDirectory(entries)
	qt.Assert(b, err, qt.IsNil)
	for _, vms := range []int{1, 360} {
		b.Run(fmt.Sprint(vms, " VMs"), func(b *testing.B) {
			self := member.Member{VM: "vm-0", State: member.Alive, EntryPeers: "10.0.0.1:1"}
			view := fixedView{self}
			for i := 1; i < vms; i++ {
				view = append(view, member.Member{VM: vmName(i), State: member.Alive, EntryPeers: "10.0.0.2:1"})
			}
			node := &answering{}
			s := New(Config{Node: node, Members: view, Log: zerolog.Nop(), Accounts: func() (*account.Directory, uint64) { return directory, 1 }})
			i := 0
			for b.Loop() {
				i = (i + 1) % 4100
				a, _ := directory.Authenticate(account.DigestOf(fmt.Sprint("key-", i)))
				if err := s.Acquire(b.Context(), a); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

type fixedView []member.Member

func (v fixedView) Members() []member.Member { return v }
func (v fixedView) Self() member.Member      { return v[0] }

// answering is a transport that answers each question at once.
type answering struct {
	answer datagram.MessageHandler
}

func (a *answering) HandleMessage(method peer.Method, handler datagram.MessageHandler) {
	if method == methodAnswer {
		a.answer = handler
	}
}

func (a *answering) Send(_ netip.AddrPort, method peer.Method, message any) error {
	if ask, ok := message.(askMessage); ok && method == methodAsk {
		a.answer(peer.Identity{VM: "vm-1"}, func(out any) error {
			*out.(*answerMessage) = answerMessage{ID: ask.ID, Outcome: allowed, CountedBy: "vm-1"}
			return nil
		})
	}
	return nil
}

// A limit of 20 per second and a burst of 10 allows 110 requests in 5 s, also if they come within a second.
func TestRequestsOfAWindowMayComeTogether(t *testing.T) {
	for name, test := range map[string]struct {
		away          bool
		least, beyond int
	}{
		"the store answers": {false, 100, 110},
		"the store is away": {true, 28, 40},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(12, 1, account.Limit{PerSecond: 20, Burst: 10})
				defer n.end()
				n.set(func() { n.store.(*slowStore).away = test.away })
				time.Sleep(usage.Window + 3*time.Second)
				allowed := 0
				for i := range 200 {
					if n.acquire(i%12) == nil {
						allowed++
					}
					time.Sleep(5 * time.Millisecond)
				}
				qt.Assert(t, allowed >= test.least && allowed <= test.beyond, qt.IsTrue, qt.Commentf("%d requests allowed", allowed))
			})
		})
	}
}

// An account that has used up the limit of a window must not get it again from the next VM that counts.
func TestNextVMLearnsOfOverdrafts(t *testing.T) {
	limit := account.Limit{PerSecond: 20, Burst: 10}
	for name, test := range map[string]struct {
		stop    func(n *network)
		forgets bool
	}{
		"the counting VM is lost": {func(n *network) { n.fault("restart", n.ranked()[:1], 4*time.Second) }, false},
		"all VMs are lost": {func(n *network) {
			n.fault("restart", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, 300*time.Millisecond)
		}, false},
		"a naive VM that reads no records": {func(n *network) { n.fault("restart", n.ranked()[:1], 4*time.Second) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(12, 1, limit)
				defer n.end()
				n.set(func() { n.store.(*slowStore).forgets = test.forgets })
				time.Sleep(usage.Window + 3*time.Second)
				allowed := 0
				ask := func(duration time.Duration) {
					for began := time.Now(); time.Since(began) < duration; time.Sleep(5 * time.Millisecond) {
						for vm := range 12 {
							if !n.isDown(vm) && n.acquire(vm) == nil {
								allowed++
							}
						}
					}
				}
				ask(500 * time.Millisecond)
				go test.stop(n)
				ask(4 * time.Second)
				most := (limit.PerSecond*usage.Window.Seconds()+limit.Burst)*1.1 + 20
				qt.Assert(t, float64(allowed) <= most, qt.Equals, !test.forgets, qt.Commentf("%d requests in 4.5 s, %.0f permitted", allowed, most))
				time.Sleep(5 * time.Second)
			})
		})
	}
}
