package origins_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/origins"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling/schedulingtest"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/origin"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const service = "llm"

var v1 = origin.Origin{Service: service, Version: "v1"}

// view is the member list of one VM. All VMs share the list.
type view struct {
	self string
	mu   *sync.Mutex
	list *[]member.Member
}

func (v view) Members() []member.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]member.Member(nil), *v.list...)
}

func (v view) Self() member.Member { return member.Member{VM: v.self, State: member.Alive} }

type vm struct {
	*origins.Service
	node *datagram.Node
	stop context.CancelFunc
}

func registry(versions ...string) []routing.Target {
	var targets []routing.Target
	for i, version := range versions {
		targets = append(targets, routing.Target{ID: fmt.Sprint(i), Service: service, Version: version})
	}
	return targets
}

func start(t *testing.T, count int, versions ...string) []vm {
	return startAt(t, func(int) platform.Rows { return memory.New() }, count, versions...)
}

// startAt starts VMs with stores of their own.
func startAt(t *testing.T, store func(i int) platform.Rows, count int, versions ...string) []vm {
	var mu sync.Mutex
	var list []member.Member
	targets := registry(versions...)
	vms := make([]vm, count)
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		node, err := datagram.Listen("127.0.0.1:0", name, zerolog.Nop())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = node.Close() })
		mu.Lock()
		list = append(list, member.Member{VM: name, State: member.Alive, EntryPeers: node.Address().String()})
		mu.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		vms[i] = vm{origins.New(origins.Config{Members: view{name, &mu, &list}, Node: node, Rows: store(i), Log: zerolog.Nop()}), node, cancel}
		vms[i].SetTargets(targets)
		node.Start()
		go vms[i].Run(ctx)
	}
	return vms
}

// holders returns the VMs that know an origin by themselves, and the others.
func holders(vms []vm, attempt string) (holders, others []vm) {
	for _, v := range vms {
		if v.Knows(attempt) {
			holders = append(holders, v)
		} else {
			others = append(others, v)
		}
	}
	return holders, others
}

// record records an origin at the first VM, and returns the VMs that know it then, and the others.
func record(t *testing.T, vms []vm, attempt string) (known, others []vm) {
	vms[0].Record(attempt, v1, false)
	for deadline := time.Now().Add(5 * time.Second); len(known) < 3; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the origin has %d copies", len(known)))
		known, others = holders(vms, attempt)
	}
	return known, others
}

func TestOriginOfAStreamIsFoundAtAnyVM(t *testing.T) {
	for _, lost := range []struct {
		name  string
		count int
		found bool
	}{
		{"while all VMs live", 0, true},
		{"after the loss of the VM where it began", 1, true},
		{"after the loss of that VM and of one that was told", 2, true},
		{"but not after the loss of all that knew it", 3, false},
	} {
		t.Run(lost.name, func(t *testing.T) {
			vms := start(t, 9, "v1", "v2")
			known, others := record(t, vms, "attempt")
			for _, v := range known[:lost.count] {
				qt.Assert(t, v.node.Close(), qt.IsNil)
			}
			for _, v := range others {
				began := time.Now()
				got, err := v.Resolve(t.Context(), "attempt", service, true)
				qt.Assert(t, err == nil, qt.Equals, lost.found)
				qt.Assert(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue)
				if lost.found {
					qt.Assert(t, got, qt.Equals, v1)
				}
			}
		})
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("condition not met"))
	}
}

// rows returns the number of rows in the table of origins with a prefix.
func rows(t *testing.T, store platform.Rows, prefix, end string) int {
	page, err := store.Read(t.Context(), "rosemarydyke-origins", "", platform.KeyRange{From: prefix, To: end})
	qt.Assert(t, err, qt.IsNil)
	return len(page.Rows)
}

// unavailable is a store that does not serve a VM.
type unavailable struct{ platform.Rows }

func (unavailable) Read(context.Context, string, string, platform.KeyRange) (platform.Page, error) {
	return platform.Page{}, platform.ErrUnavailable
}

func (unavailable) Apply(context.Context, platform.RowTxn) (uint64, error) {
	return 0, platform.ErrUnavailable
}

// stream is a stream that a client resumes.
type stream struct {
	attempt string
	began   origin.Origin
}

// resumption is the answer for one stream.
type resumption struct {
	stream
	origin origin.Origin
	err    error
}

// judge checks the answers for streams whose origins are known to the test: none goes on elsewhere, and, if required, at least
// half of them go on.
func judge(answers []resumption, half bool) error {
	resumed := 0
	for _, a := range answers {
		switch {
		case a.err != nil:
		case a.origin != a.began:
			return fmt.Errorf("stream %s that began at %v goes on at %v", a.attempt, a.began, a.origin)
		default:
			resumed++
		}
	}
	if half && 2*resumed < len(answers) {
		return fmt.Errorf("%d of %d streams go on", resumed, len(answers))
	}
	return nil
}

// Streams went on at another version than the one that began them after a loss of all VMs.
func TestStreamsAfterTheLossOfAllVMs(t *testing.T) {
	served := func(version string) origin.Origin { return origin.Origin{Service: service, Version: version} }
	for _, test := range []struct {
		name string
		// before and after are the registered versions before and after the loss; streams began at the versions of began.
		before, after, began []string
		// serves says which VMs the store serves after the loss.
		serves func(i int) bool
		// split means that the route of the streams has several services.
		split bool
		// goOn means that the streams have to go on.
		goOn bool
		// soleNow and refuseAll are the errors of the naive policies.
		soleNow, refuseAll string
	}{
		{name: "both versions serve", before: []string{"v1", "v2"}, after: []string{"v1", "v2"}, began: []string{"v1", "v2"}, goOn: true, soleNow: "0 of 24 streams go on", refuseAll: "0 of 24 streams go on"},
		{name: "the old version has just left", before: []string{"v1", "v2"}, after: []string{"v2"}, began: []string{"v1"}, soleNow: "stream .* goes on at .*"},
		{name: "the old version left meanwhile", before: []string{"v1"}, after: []string{"v2"}, began: []string{"v1"}, soleNow: "stream .* goes on at .*"},
		{name: "the new version came meanwhile", before: []string{"v1"}, after: []string{"v1", "v2"}, began: []string{"v1"}, goOn: true, soleNow: "0 of 24 streams go on", refuseAll: "0 of 24 streams go on"},
		{name: "a single version serves", before: []string{"v1"}, after: []string{"v1"}, began: []string{"v1"}, goOn: true, refuseAll: "0 of 24 streams go on"},
		{name: "three versions served", before: []string{"v1", "v2", "v3"}, after: []string{"v2", "v3"}, began: []string{"v1", "v2", "v3"}, goOn: true, soleNow: "0 of 24 streams go on", refuseAll: "0 of 24 streams go on"},
		{name: "a route with several services", before: []string{"v1"}, after: []string{"v1"}, began: []string{"v1"}, split: true, goOn: true, refuseAll: "0 of 24 streams go on"},
		{name: "the store serves a third of the VMs", before: []string{"v1", "v2"}, after: []string{"v1", "v2"}, began: []string{"v1", "v2"}, serves: func(i int) bool { return i%3 == 0 }, soleNow: "0 of 24 streams go on", refuseAll: "0 of 24 streams go on", goOn: false},
		{name: "the store serves nobody", before: []string{"v1", "v2"}, after: []string{"v2"}, began: []string{"v1"}, serves: func(int) bool { return false }, soleNow: "stream .* goes on at .*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := memory.New()
			// The first process finds no record, so a second one is the first to be certain of anything.
			for range 2 {
				first := startAt(t, func(int) platform.Rows { return store }, 1, test.before...)
				eventually(t, func() bool { return rows(t, store, "versions/", "versions0") == 1 })
				stopAll(t, first)
			}
			vms := startAt(t, func(int) platform.Rows { return store }, 6, test.before...)
			streams := make([]stream, 24)
			for i := range streams {
				streams[i] = stream{fmt.Sprintf("attempt-%d", i), served(test.began[i%len(test.began)])}
				vms[i%len(vms)].Record(streams[i].attempt, streams[i].began, test.split)
			}
			if len(test.before) > 1 || test.split {
				eventually(t, func() bool { return storedOrigins(t, store) == len(streams) })
			}
			stopAll(t, vms)
			vms = startAt(t, func(i int) platform.Rows {
				if test.serves != nil && !test.serves(i) {
					return unavailable{store}
				}
				return store
			}, 6, test.after...)
			var answers, soleNow, refuseAll []resumption
			for i, s := range streams {
				o, err := vms[(i+1)%len(vms)].Resolve(t.Context(), s.attempt, service, !test.split)
				answers = append(answers, resumption{s, o, err})
				naive := resumption{stream: s, err: origins.ErrUnknown}
				refuseAll = append(refuseAll, naive)
				if len(test.after) == 1 {
					naive = resumption{s, served(test.after[0]), nil}
				}
				soleNow = append(soleNow, naive)
			}
			qt.Assert(t, judge(answers, test.goOn), qt.IsNil)
			for _, naive := range []struct {
				answers []resumption
				want    string
			}{{soleNow, test.soleNow}, {refuseAll, test.refuseAll}} {
				if err := judge(naive.answers, true); naive.want != "" {
					qt.Assert(t, err, qt.ErrorMatches, naive.want)
				}
			}
			_, err := vms[0].Resolve(t.Context(), "", service, true)
			qt.Assert(t, err == nil, qt.Equals, len(test.before) == 1 && len(test.after) == 1 && test.before[0] == test.after[0])
		})
	}
}

// storedOrigins returns the number of origins that a VM that starts finds in the store.
func storedOrigins(t *testing.T, store platform.Rows) int {
	page, err := store.Read(t.Context(), "rosemarydyke-origins", "", platform.KeyRange{From: "stream/", To: "stream0"})
	qt.Assert(t, err, qt.IsNil)
	n := 0
	for _, row := range page.Rows {
		var content struct {
			Entries []any `cbor:"2,keyasint"`
		}
		qt.Assert(t, cbor.Unmarshal(row.Value, &content), qt.IsNil)
		n += len(content.Entries)
	}
	return n
}

func stopAll(t *testing.T, vms []vm) {
	for _, v := range vms {
		v.stop()
		qt.Assert(t, v.node.Close(), qt.IsNil)
	}
}

func TestTargetsOfAVersionAreUsedOnceItIsRecorded(t *testing.T) {
	store := &slowRows{Rows: memory.New()}
	node, err := datagram.Listen("127.0.0.1:0", "vm", zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = node.Close() })
	var mu sync.Mutex
	var used []routing.Target
	list := []member.Member{{VM: "vm", State: member.Alive}}
	s := origins.New(origins.Config{Members: view{"vm", &mu, &list}, Node: node, Rows: store, Log: zerolog.Nop(), OnTargets: func(targets []routing.Target) {
		mu.Lock()
		defer mu.Unlock()
		used = targets
	}})
	usedNow := func() string {
		mu.Lock()
		defer mu.Unlock()
		var versions []string
		for _, target := range used {
			versions = append(versions, target.Version)
		}
		return fmt.Sprint(versions)
	}
	s.SetTargets(registry("v1"))
	// Without a recorded version, the targets are used at once.
	qt.Assert(t, usedNow(), qt.Equals, "[v1]")
	go s.Run(t.Context())
	eventually(t, func() bool { return rows(t, store.Rows, "versions/", "versions0") == 1 })
	store.block.Lock()
	s.SetTargets(registry("v1", "v2"))
	qt.Assert(t, usedNow(), qt.Equals, "[v1]")
	store.block.Unlock()
	eventually(t, func() bool { return usedNow() == "[v1 v2]" })
	// A version that left and comes back has to be recorded again.
	s.SetTargets(registry("v2"))
	store.block.Lock()
	s.SetTargets(registry("v1", "v2"))
	qt.Assert(t, usedNow(), qt.Equals, "[v2]")
	store.block.Unlock()
	eventually(t, func() bool { return usedNow() == "[v1 v2]" })
}

func TestNoTargetsArePassedOnBeforeTheRegistryIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []int
		var mu sync.Mutex
		list := []member.Member{{VM: "vm", State: member.Alive}}
		s := origins.New(origins.Config{
			Members: view{"vm", &mu, &list}, Node: schedulingtest.DiscardNode, Rows: memory.New(), Log: zerolog.Nop(),
			OnTargets: func(targets []routing.Target) { calls = append(calls, len(targets)) },
		})
		go s.Run(t.Context())
		time.Sleep(time.Second)
		synctest.Wait()
		qt.Assert(t, calls, qt.HasLen, 0)
		s.SetTargets(registry("v1"))
		synctest.Wait()
		qt.Assert(t, calls[0], qt.Equals, 1)
	})
}

// slowRows delays all calls while block is held.
type slowRows struct {
	platform.Rows
	block sync.Mutex
}

func (r *slowRows) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	r.block.Lock()
	defer r.block.Unlock()
	return r.Rows.Read(ctx, table, part, keys)
}

func TestStreamOfUnknownOriginIsRefusedWhileVersionsAreUncertain(t *testing.T) {
	for name, versions := range map[string][]string{"no earlier process left a record": {"v1", "v1"}, "several versions serve": {"v1", "v2"}} {
		t.Run(name, func(t *testing.T) {
			for _, attempt := range []string{"", "attempt"} {
				_, err := start(t, 1, versions...)[0].Resolve(t.Context(), attempt, service, true)
				qt.Assert(t, err, qt.IsNotNil)
			}
		})
	}
}

// Origins of processes that had ended stayed in the store for ever.
func TestOldOriginsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		list, mu := []member.Member{{VM: "vm", State: member.Alive}}, sync.Mutex{}
		run := func() (*origins.Service, context.CancelFunc) {
			s := origins.New(origins.Config{Members: view{"vm", &mu, &list}, Node: schedulingtest.DiscardNode, Rows: store, Log: zerolog.Nop()})
			s.SetTargets(registry("v1", "v2"))
			ctx, cancel := context.WithCancel(t.Context())
			go s.Run(ctx)
			return s, cancel
		}
		for range 2 {
			s, stop := run()
			time.Sleep(time.Second)
			for i := range 40 {
				s.Record(fmt.Sprintf("attempt-%d", i), v1, false)
			}
			time.Sleep(time.Second)
			qt.Assert(t, rows(t, store, "stream/", "stream0") > 0, qt.IsTrue)
			stop()
		}
		_, stop := run()
		defer stop()
		time.Sleep(20 * time.Minute)
		qt.Assert(t, rows(t, store, "stream/", "stream0"), qt.Equals, 0)
	})
}
