package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	pure "github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const fuzzChecks = 200

func TestMain(m *testing.M) { rapidtest.Main(m, fuzzChecks) }

// claimer is what a VM asks before it dispatches a request that must not be repeated.
type claimer interface {
	// begin returns a function to report the end with, or the stored outcome, or an error.
	begin(ctx context.Context, key string, content byte, id string) (end func(ending), stored *pure.Outcome, err error)
	// stop ends the VM.
	stop()
}

// ending is how a dispatched request ended.
type ending int

const (
	endsWhole ending = iota
	endsNotRun
	endsCut
)

// system makes the claimers of VMs that share one table.
type system func(vm string, table platform.Table, check idempotency.OwnerCheck) claimer

// ledgerClaimer is our own claimer.
type ledgerClaimer struct {
	ledger *idempotency.Ledger
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newLedgerClaimer(vm string, table platform.Table, check idempotency.OwnerCheck) claimer {
	ctx, cancel := context.WithCancel(context.Background())
	ledger := idempotency.New(idempotency.Config{VM: vm, Table: table, Check: check})
	l := &ledgerClaimer{ledger: ledger, cancel: cancel}
	l.done.Go(func() { ledger.Run(ctx) })
	return l
}

func (l *ledgerClaimer) begin(ctx context.Context, key string, content byte, id string) (func(ending), *pure.Outcome, error) {
	claim, stored, err := l.ledger.Begin(ctx, "coop", key, pure.Fingerprint{content}, id)
	if claim == nil {
		return nil, stored, err
	}
	return func(e ending) {
		switch e {
		case endsWhole:
			claim.Finish(pure.Outcome{Status: 200, Body: []byte(id)})
		case endsNotRun:
			claim.Release()
		default:
			claim.MarkLost()
		}
	}, nil, nil
}

func (l *ledgerClaimer) stop() {
	l.cancel()
	l.done.Wait()
	l.ledger.Wait()
}

// memoryClaimer is a naive claimer: each VM remembers its own keys only.
type memoryClaimer struct {
	mu   sync.Mutex
	seen map[string]bool
}

func newMemoryClaimer(string, platform.Table, idempotency.OwnerCheck) claimer {
	return &memoryClaimer{seen: map[string]bool{}}
}

func (m *memoryClaimer) begin(_ context.Context, key string, _ byte, _ string) (func(ending), *pure.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen[key] {
		return nil, nil, &verdict.Error{Code: verdict.CodeInProgress}
	}
	m.seen[key] = true
	return func(ending) {}, nil, nil
}

func (m *memoryClaimer) stop() {}

// blindClaimer is a naive claimer: it takes a lost reply for a failure, and deletes what it believes to be its own row.
type blindClaimer struct{ table platform.Table }

func newBlindClaimer(_ string, table platform.Table, _ idempotency.OwnerCheck) claimer {
	return &blindClaimer{table}
}

func (b *blindClaimer) begin(ctx context.Context, key string, _ byte, _ string) (func(ending), *pure.Outcome, error) {
	rows, err := b.table.Get(ctx, key)
	if err != nil || rows[0].Version != 0 {
		return nil, nil, &verdict.Error{Code: verdict.CodeInProgress}
	}
	for range 3 {
		_, err = b.table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte("started")}}})
		if err == nil {
			return func(ending) {}, nil, nil
		}
	}
	return nil, nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodePlatformUnavailable}
}

func (b *blindClaimer) stop() {}

// takeoverClaimer is a naive claimer: it takes the key of an owner that is thought to be gone.
type takeoverClaimer struct {
	table platform.Table
	check idempotency.OwnerCheck
}

func newTakeoverClaimer(_ string, table platform.Table, check idempotency.OwnerCheck) claimer {
	return &takeoverClaimer{table, check}
}

func (k *takeoverClaimer) begin(ctx context.Context, key string, _ byte, id string) (func(ending), *pure.Outcome, error) {
	rows, err := k.table.Get(ctx, key)
	if err != nil {
		return nil, nil, &verdict.Error{Verdict: verdict.NotRun}
	}
	owner := string(rows[0].Value)
	if owner == "done" || owner != "" && k.check(ctx, pure.Owner{RequestID: owner}) != pure.Gone {
		return nil, nil, &verdict.Error{Code: verdict.CodeInProgress}
	}
	version, err := k.write(ctx, key, rows[0].Version, id)
	if err != nil {
		return nil, nil, &verdict.Error{Verdict: verdict.NotRun}
	}
	return func(ending) { _, _ = k.write(ctx, key, version, "done") }, nil, nil
}

func (k *takeoverClaimer) write(ctx context.Context, key string, version uint64, value string) (uint64, error) {
	return k.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: []byte(value)}},
	})
}

func (k *takeoverClaimer) stop() {}

// plan is one random course of events.
type plan struct {
	seed     uint64
	vms      int
	faults   float64
	requests []planned
	crashes  []crash
}

type planned struct {
	at       time.Duration
	vm       int
	key      string
	content  byte
	duration time.Duration
	ending   ending
}

type crash struct {
	at time.Duration
	vm int
}

func drawPlan(t *rapid.T) plan {
	millis := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	p := plan{
		seed:   rapid.Uint64().Draw(t, "seed"),
		vms:    rapid.IntRange(2, 4).Draw(t, "vms"),
		faults: rapid.SampledFrom([]float64{0, 0.2, 0.6, 1}).Draw(t, "faults"),
	}
	for range rapid.IntRange(1, 12).Draw(t, "requests") {
		p.requests = append(p.requests, planned{
			at:       millis("at", 1000),
			vm:       rapid.IntRange(0, p.vms-1).Draw(t, "vm"),
			key:      rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
			content:  rapid.SampledFrom([]byte{1, 1, 1, 2}).Draw(t, "content"),
			duration: millis("duration", 500),
			ending:   rapid.SampledFrom([]ending{endsWhole, endsWhole, endsNotRun, endsCut}).Draw(t, "ending"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "crashes") {
		p.crashes = append(p.crashes, crash{at: millis("crash", 1200), vm: rapid.IntRange(0, p.vms-1).Draw(t, "crashed")})
	}
	return p
}

// world runs a plan and keeps what the oracle needs.
type world struct {
	mu         sync.Mutex
	claimers   []claimer
	dead       []bool
	inProgress map[string]bool
	// ran holds, for each key, the ids of requests that may have run.
	ran    map[string][]string
	faults []error
	random *rand.Rand
}

func (w *world) report(format string, args ...any) {
	w.faults = append(w.faults, fmt.Errorf(format, args...))
}

// check tells a VM about another VM's request. Now and then it is wrong, as a suspicion may be.
func (w *world) check(_ context.Context, owner pure.Owner) pure.Liveness {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.IntN(5) == 0 {
		return pure.Gone
	}
	if w.inProgress[owner.RequestID] {
		return pure.Running
	}
	return pure.Gone
}

// run executes p on a system and returns what broke the oracle: a request that must not be repeated
// runs at most once, not-run was not run, and a stored answer is the answer of the run.
func run(t *testing.T, p plan, newClaimer system) (broken []error) {
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(p.seed, 1))
		table := &faultyTable{Table: memory.New(), random: rand.New(rand.NewPCG(p.seed, 2)), faults: p.faults}
		w := &world{dead: make([]bool, p.vms), inProgress: map[string]bool{}, ran: map[string][]string{}, random: random}
		for vm := range p.vms {
			w.claimers = append(w.claimers, newClaimer(fmt.Sprintf("vm-%d", vm), table, w.check))
		}
		var tasks sync.WaitGroup
		for i, request := range p.requests {
			tasks.Go(func() { w.serve(request, fmt.Sprintf("r%d", i)) })
		}
		for _, crash := range p.crashes {
			tasks.Go(func() { w.crash(crash) })
		}
		tasks.Wait()
		table.heal()
		table.late.Wait()
		time.Sleep(5 * time.Second)
		for _, claimer := range w.claimers {
			claimer.stop()
		}
		broken = w.faults
	})
	return broken
}

func (w *world) crash(c crash) {
	time.Sleep(c.at)
	w.mu.Lock()
	w.dead[c.vm] = true
	w.mu.Unlock()
	w.claimers[c.vm].stop()
}

func (w *world) isDead(vm int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[vm]
}

func (w *world) serve(request planned, id string) {
	time.Sleep(request.at)
	if w.isDead(request.vm) {
		return
	}
	w.setInProgress(id, true)
	defer w.setInProgress(id, false)
	end, stored, err := w.claimers[request.vm].begin(context.Background(), request.key, request.content, id)
	if end == nil {
		w.checkRefusal(request, id, stored, err)
		return
	}
	if w.isDead(request.vm) {
		return
	}
	w.dispatch(request, id)
	time.Sleep(request.duration)
	if !w.isDead(request.vm) {
		end(request.ending)
	}
}

func (w *world) setInProgress(id string, running bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inProgress[id] = running
}

// dispatch counts a request that reaches its target. Requests that end as not-run do not count.
func (w *world) dispatch(request planned, id string) {
	if request.ending == endsNotRun {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[request.key] = append(w.ran[request.key], id)
	if len(w.ran[request.key]) > 1 {
		w.report("key %s ran more than once: %v", request.key, w.ran[request.key])
	}
}

func (w *world) checkRefusal(request planned, id string, stored *pure.Outcome, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if stored == nil {
		if err == nil {
			w.report("request %s got nothing", id)
		}
		return
	}
	ran := w.ran[request.key]
	if len(ran) != 1 || string(stored.Body) != ran[0] {
		w.report("request %s got the answer of %q, but %v ran", id, stored.Body, ran)
	}
}

func TestANonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if broken := run(t, drawPlan(rt), newLedgerClaimer); len(broken) > 0 {
			rt.Fatal(errors.Join(broken...))
		}
	})
}

func TestNaiveClaimersFailTheSameOracle(t *testing.T) {
	naive := map[string]system{
		"keys remembered on each VM only": newMemoryClaimer,
		"a read followed by a write":      newBlindClaimer,
		"the key of a lost owner taken":   newTakeoverClaimer,
	}
	for name, newClaimer := range naive {
		t.Run(name, func(t *testing.T) {
			failed := 0
			for seed := range 200 {
				p := rapid.Custom(drawPlan).Example(seed)
				if len(run(t, p, newClaimer)) > 0 {
					failed++
				}
			}
			qt.Assert(t, failed > 0, qt.IsTrue)
			t.Logf("the oracle rejected %d of 200 runs", failed)
		})
	}
}

// freedKeys runs plans in which nothing is ever run, heals the table, and returns the keys that stay taken.
func freedKeys(t *testing.T, p plan) (taken []error) {
	synctest.Test(t, func(*testing.T) {
		table := &faultyTable{Table: memory.New(), random: rand.New(rand.NewPCG(p.seed, 2)), faults: p.faults}
		w := &world{dead: make([]bool, p.vms), inProgress: map[string]bool{}, ran: map[string][]string{}, random: rand.New(rand.NewPCG(p.seed, 1))}
		for vm := range p.vms {
			w.claimers = append(w.claimers, newLedgerClaimer(fmt.Sprintf("vm-%d", vm), table, w.check))
		}
		var tasks sync.WaitGroup
		for i, request := range p.requests {
			request.ending, request.content = endsNotRun, 1
			tasks.Go(func() { w.serve(request, fmt.Sprintf("r%d", i)) })
		}
		tasks.Wait()
		table.heal()
		time.Sleep(time.Minute)
		for _, request := range p.requests {
			end, _, err := w.claimers[0].begin(context.Background(), request.key, 1, "last-"+request.key)
			if end == nil {
				taken = append(taken, fmt.Errorf("key %s: %w", request.key, err))
				continue
			}
			end(endsNotRun)
			time.Sleep(time.Minute)
		}
		table.late.Wait()
		for _, claimer := range w.claimers {
			claimer.stop()
		}
	})
	return taken
}

func TestAKeyOfARequestThatWasNotRunIsFreeOnceTheTableAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if taken := freedKeys(t, drawPlan(rt)); len(taken) > 0 {
			rt.Fatal(errors.Join(taken...))
		}
	})
}
