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

	records "github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const fuzzChecks = 200

func TestMain(m *testing.M) { rapidtest.Main(m, fuzzChecks) }

// claimer decides on a VM whether a non-idempotent request may be dispatched.
type claimer interface {
	// begin returns a function that must be called at the end of the request, or the stored outcome, or an error.
	begin(ctx context.Context, key string, content byte, id string) (end func(requestEnd), stored *records.Outcome, err error)
	// stop ends the claimer, as when its VM stops.
	stop()
}

// requestEnd is how a dispatched request ended.
type requestEnd int

const (
	endFinished requestEnd = iota
	endNotRun
	endLost
)

// newClaimerFunc creates the claimer of one VM. All VMs share one table.
type newClaimerFunc func(vm string, table platform.Table, check idempotency.OwnerCheck) claimer

// ledgerClaimer is the claimer under test.
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

func (l *ledgerClaimer) begin(ctx context.Context, key string, content byte, id string) (func(requestEnd), *records.Outcome, error) {
	claim, stored, err := l.ledger.Begin(ctx, "coop", key, records.Fingerprint{content}, id)
	if claim == nil {
		return nil, stored, err
	}
	return func(e requestEnd) {
		switch e {
		case endFinished:
			claim.Finish(records.Outcome{Status: 200, Body: []byte(id)})
		case endNotRun:
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

// localClaimer is a naive claimer: each VM knows only its own keys.
type localClaimer struct {
	mu   sync.Mutex
	seen map[string]bool
}

func newLocalClaimer(string, platform.Table, idempotency.OwnerCheck) claimer {
	return &localClaimer{seen: map[string]bool{}}
}

func (c *localClaimer) begin(_ context.Context, key string, _ byte, _ string) (func(requestEnd), *records.Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen[key] {
		return nil, nil, &verdict.Error{Code: verdict.CodeInProgress}
	}
	c.seen[key] = true
	return func(requestEnd) {}, nil, nil
}

func (c *localClaimer) stop() {}

// unconditionalClaimer is a naive claimer: it reads the row, and if there is none writes it without a condition, with
// retries after any error.
type unconditionalClaimer struct{ table platform.Table }

func newUnconditionalClaimer(_ string, table platform.Table, _ idempotency.OwnerCheck) claimer {
	return &unconditionalClaimer{table}
}

func (c *unconditionalClaimer) begin(ctx context.Context, key string, _ byte, _ string) (func(requestEnd), *records.Outcome, error) {
	rows, err := c.table.Get(ctx, key)
	if err != nil || rows[0].Version != 0 {
		return nil, nil, &verdict.Error{Code: verdict.CodeInProgress}
	}
	for range 3 {
		_, err = c.table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte("started")}}})
		if err == nil {
			return func(requestEnd) {}, nil, nil
		}
	}
	return nil, nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodePlatformUnavailable}
}

func (c *unconditionalClaimer) stop() {}

// takeoverClaimer is a naive claimer: it takes over the key of an owner that is reported as gone.
type takeoverClaimer struct {
	table platform.Table
	check idempotency.OwnerCheck
}

func newTakeoverClaimer(_ string, table platform.Table, check idempotency.OwnerCheck) claimer {
	return &takeoverClaimer{table, check}
}

func (c *takeoverClaimer) begin(ctx context.Context, key string, _ byte, id string) (func(requestEnd), *records.Outcome, error) {
	rows, err := c.table.Get(ctx, key)
	if err != nil {
		return nil, nil, &verdict.Error{Verdict: verdict.NotRun}
	}
	owner := string(rows[0].Value)
	if owner == "done" || owner != "" && c.check(ctx, records.Owner{RequestID: owner}) != records.Gone {
		return nil, nil, &verdict.Error{Code: verdict.CodeInProgress}
	}
	version, err := c.write(ctx, key, rows[0].Version, id)
	if err != nil {
		return nil, nil, &verdict.Error{Verdict: verdict.NotRun}
	}
	return func(requestEnd) { _, _ = c.write(ctx, key, version, "done") }, nil, nil
}

func (c *takeoverClaimer) write(ctx context.Context, key string, version uint64, value string) (uint64, error) {
	return c.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: []byte(value)}},
	})
}

func (c *takeoverClaimer) stop() {}

// plan is a random sequence of requests, crashes and faults.
type plan struct {
	seed      uint64
	vms       int
	faultRate float64
	requests  []plannedRequest
	crashes   []plannedCrash
}

type plannedRequest struct {
	at       time.Duration
	vm       int
	key      string
	content  byte
	duration time.Duration
	ending   requestEnd
}

type plannedCrash struct {
	at time.Duration
	vm int
}

func drawPlan(t *rapid.T) plan {
	millis := func(label string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, label)) * time.Millisecond
	}
	p := plan{
		seed:      rapid.Uint64().Draw(t, "seed"),
		vms:       rapid.IntRange(2, 4).Draw(t, "vms"),
		faultRate: rapid.SampledFrom([]float64{0, 0.2, 0.6, 1}).Draw(t, "faults"),
	}
	for range rapid.IntRange(1, 12).Draw(t, "requests") {
		p.requests = append(p.requests, plannedRequest{
			at:       millis("at", 1000),
			vm:       rapid.IntRange(0, p.vms-1).Draw(t, "vm"),
			key:      rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
			content:  rapid.SampledFrom([]byte{1, 1, 1, 2}).Draw(t, "content"),
			duration: millis("duration", 500),
			ending:   rapid.SampledFrom([]requestEnd{endFinished, endFinished, endNotRun, endLost}).Draw(t, "ending"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "crashes") {
		p.crashes = append(p.crashes, plannedCrash{at: millis("crash", 1200), vm: rapid.IntRange(0, p.vms-1).Draw(t, "crashed")})
	}
	return p
}

// simulation runs a plan and records what the oracle checks.
type simulation struct {
	mu         sync.Mutex
	claimers   []claimer
	crashed    []bool
	inProgress map[string]bool
	// dispatched holds, by key, the IDs of requests that may have run.
	dispatched map[string][]string
	violations []error
	random     *rand.Rand
}

func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Errorf(format, args...))
}

// checkOwner reports the liveness of another VM's request. One time in five it reports Gone regardless, as after a
// false suspicion by the failure detector.
func (s *simulation) checkOwner(_ context.Context, owner records.Owner) records.Liveness {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.IntN(5) == 0 {
		return records.Gone
	}
	if s.inProgress[owner.RequestID] {
		return records.Running
	}
	return records.Gone
}

// runPlan runs p and returns the violations of the guarantees: a key runs at most once, every refused request gets an
// error or an outcome, and a stored outcome is that of the request that ran.
func runPlan(t *testing.T, p plan, newClaimer newClaimerFunc) (violations []error) {
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(p.seed, 1))
		table := &faultyTable{Table: memory.New(), random: rand.New(rand.NewPCG(p.seed, 2)), faultRate: p.faultRate}
		s := &simulation{crashed: make([]bool, p.vms), inProgress: map[string]bool{}, dispatched: map[string][]string{}, random: random}
		for vm := range p.vms {
			s.claimers = append(s.claimers, newClaimer(fmt.Sprintf("vm-%d", vm), table, s.checkOwner))
		}
		var tasks sync.WaitGroup
		for i, request := range p.requests {
			tasks.Go(func() { s.serve(request, fmt.Sprintf("r%d", i)) })
		}
		for _, crash := range p.crashes {
			tasks.Go(func() { s.crashVM(crash) })
		}
		tasks.Wait()
		table.stopFaults()
		table.lateCommits.Wait()
		time.Sleep(5 * time.Second)
		for _, claimer := range s.claimers {
			claimer.stop()
		}
		violations = s.violations
	})
	return violations
}

func (s *simulation) crashVM(c plannedCrash) {
	time.Sleep(c.at)
	s.mu.Lock()
	s.crashed[c.vm] = true
	s.mu.Unlock()
	s.claimers[c.vm].stop()
}

func (s *simulation) isCrashed(vm int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed[vm]
}

func (s *simulation) serve(request plannedRequest, id string) {
	time.Sleep(request.at)
	if s.isCrashed(request.vm) {
		return
	}
	s.setInProgress(id, true)
	defer s.setInProgress(id, false)
	end, stored, err := s.claimers[request.vm].begin(context.Background(), request.key, request.content, id)
	if end == nil {
		s.checkRefusal(request, id, stored, err)
		return
	}
	if s.isCrashed(request.vm) {
		return
	}
	s.dispatch(request, id)
	time.Sleep(request.duration)
	if !s.isCrashed(request.vm) {
		end(request.ending)
	}
}

func (s *simulation) setInProgress(id string, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress[id] = running
}

// dispatch records a request that reaches its target. Requests that end as not-run are not recorded.
func (s *simulation) dispatch(request plannedRequest, id string) {
	if request.ending == endNotRun {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatched[request.key] = append(s.dispatched[request.key], id)
	if len(s.dispatched[request.key]) > 1 {
		s.addViolation("key %s ran more than once: %v", request.key, s.dispatched[request.key])
	}
}

func (s *simulation) checkRefusal(request plannedRequest, id string, stored *records.Outcome, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored == nil {
		if err == nil {
			s.addViolation("request %s got neither a claim, an outcome nor an error", id)
		}
		return
	}
	ids := s.dispatched[request.key]
	if len(ids) != 1 || string(stored.Body) != ids[0] {
		s.addViolation("request %s got the outcome of %q, but %v ran", id, stored.Body, ids)
	}
}

func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violations := runPlan(t, drawPlan(rt), newLedgerClaimer); len(violations) > 0 {
			rt.Fatal(errors.Join(violations...))
		}
	})
}

func TestOracleRejectsNaiveClaimers(t *testing.T) {
	naive := map[string]newClaimerFunc{
		"keys known on each VM only":          newLocalClaimer,
		"unconditional write after a read":    newUnconditionalClaimer,
		"takeover of the key of a gone owner": newTakeoverClaimer,
	}
	for name, newClaimer := range naive {
		t.Run(name, func(t *testing.T) {
			failed := 0
			for seed := range 200 {
				p := rapid.Custom(drawPlan).Example(seed)
				if len(runPlan(t, p, newClaimer)) > 0 {
					failed++
				}
			}
			qt.Assert(t, failed > 0, qt.IsTrue)
			t.Logf("the oracle rejected %d of 200 plans", failed)
		})
	}
}

// unreleasedKeys runs p with requests that all end as not-run, stops the table's faults, and returns an error for each
// key that can't be claimed afterwards.
func unreleasedKeys(t *testing.T, p plan) (unreleased []error) {
	synctest.Test(t, func(*testing.T) {
		table := &faultyTable{Table: memory.New(), random: rand.New(rand.NewPCG(p.seed, 2)), faultRate: p.faultRate}
		s := &simulation{crashed: make([]bool, p.vms), inProgress: map[string]bool{}, dispatched: map[string][]string{}, random: rand.New(rand.NewPCG(p.seed, 1))}
		for vm := range p.vms {
			s.claimers = append(s.claimers, newLedgerClaimer(fmt.Sprintf("vm-%d", vm), table, s.checkOwner))
		}
		var tasks sync.WaitGroup
		for i, request := range p.requests {
			request.ending, request.content = endNotRun, 1
			tasks.Go(func() { s.serve(request, fmt.Sprintf("r%d", i)) })
		}
		tasks.Wait()
		table.stopFaults()
		time.Sleep(time.Minute)
		for _, request := range p.requests {
			end, _, err := s.claimers[0].begin(context.Background(), request.key, 1, "last-"+request.key)
			if end == nil {
				unreleased = append(unreleased, fmt.Errorf("key %s: %w", request.key, err))
				continue
			}
			end(endNotRun)
			time.Sleep(time.Minute)
		}
		table.lateCommits.Wait()
		for _, claimer := range s.claimers {
			claimer.stop()
		}
	})
	return unreleased
}

func TestKeyOfARequestThatWasNotRunIsReleasedOnceTheTableResponds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if unreleased := unreleasedKeys(t, drawPlan(rt)); len(unreleased) > 0 {
			rt.Fatal(errors.Join(unreleased...))
		}
	})
}
