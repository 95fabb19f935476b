package jobstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/faulty"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const (
	simRunners = 3
	simItems   = 40
	// simLease is the length of a lease of the naive version that trusts wall clocks, in steps.
	simLease = 16
)

// repeating hides from CommitSettled that a reply was lost.
type repeating struct{ platform.Table }

// Commit implements platform.Table.
func (t repeating) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	version, err := t.Table.Commit(ctx, txn)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		err = platform.ErrUnavailable
	}
	return version, err
}

// flakyObjects is an object store whose next puts fail, half of them after they took effect.
type flakyObjects struct {
	platform.Objects
	failing *int
}

// Put implements platform.Objects.
func (o flakyObjects) Put(ctx context.Context, name string, content []byte) error {
	if *o.failing == 0 {
		return o.Objects.Put(ctx, name, content)
	}
	*o.failing--
	if *o.failing%2 == 0 {
		return platform.ErrUnavailable
	}
	_ = o.Objects.Put(ctx, name, content)
	return platform.ErrOutcomeUnknown
}

// world is a platform with one job and several runners.
type world struct {
	t         *rapid.T
	ctx       context.Context
	protocol  protocol
	platform  *memory.Platform
	truth     *Store
	tables    []*faulty.Table
	runners   []*simRunner
	spec      Spec
	job       string
	cancelled bool
	oracle    *oracle
	step      int
	ids       int
	// failingPuts is the number of puts to the object store that will fail.
	failingPuts int
	now         time.Time
	// leases are those of the naive version that trusts wall clocks.
	leases map[string]clockLease
}

// clockLease is a lease with the time of its last renewal by the holder's clock.
type clockLease struct {
	holder  string
	renewed int
}

// simRunner is a runner whose every step the fuzzer chooses. A runner that no step is chosen for is paused.
type simRunner struct {
	world *world
	id    string
	skew  int
	store *Store
	held  map[string]*simChunk
}

type simChunk struct {
	work    *Work
	record  *Record
	run     *job.Run
	running []int
	staged  *staged
}

// staged is a segment that is written and waits for its row.
type staged struct {
	row     *job.Chunk
	segment job.Segment
	closing bool
	// inLease says that the runner's lease lasted by its own clock when the segment was written.
	inLease bool
}

func (r *simRunner) clock() int { return r.world.step + r.skew }

// hasLease reports whether the lease lasts by the runner's own clock.
func (r *simRunner) hasLease(h *simChunk) bool {
	lease := r.world.leases[h.work.Key]
	return lease.holder == r.id && lease.renewed+simLease >= r.clock()
}

func newWorld(t *rapid.T, p protocol) *world {
	w := &world{t: t, ctx: context.Background(), protocol: p, platform: memory.New(), leases: map[string]clockLease{}, now: time.Now()}
	w.truth = w.newStore(w.platform)
	w.oracle = newOracle()
	input := simInput(t, w.oracle)
	file, err := w.truth.CreateFile(w.ctx, "client", "in", "batch", strings.NewReader(input), 1<<20)
	w.must(err)
	rules := job.Rules{Endpoint: "/v1/completions", HasModel: func(string) bool { return true }}
	chunks, items, err := job.Split(strings.NewReader(input), rules)
	w.must(err)
	w.spec = Spec{
		Client: "client", Endpoint: rules.Endpoint, CompletionWindow: time.Hour, InputFile: file.ID,
		IdempotencyKey: "key", Identity: "identity", Chunks: chunks, Items: items,
	}
	for range simRunners {
		table := faulty.New(w.platform)
		w.tables = append(w.tables, table)
		w.runners = append(w.runners, &simRunner{world: w})
	}
	for i := range w.runners {
		w.restart(i)
	}
	record, err := w.runners[0].store.Create(w.ctx, w.spec)
	w.must(err)
	w.job = record.Job.ID
	return w
}

// newStore returns a store whose ids are counted, so that a seed repeats.
func (w *world) newStore(table platform.Table) *Store {
	s := New(table, flakyObjects{w.platform.Objects(), &w.failingPuts})
	s.newID = func() string {
		w.ids++
		return fmt.Sprintf("%06d", w.ids)
	}
	return s
}

func simInput(t *rapid.T, o *oracle) string {
	var input strings.Builder
	for i := range simItems {
		id := fmt.Sprintf("c%d", i)
		idempotent := i%4 != 0
		o.idempotent[id] = idempotent
		fmt.Fprintf(&input, `{"custom_id":%q,"method":"POST","url":"/v1/completions","idempotent":%t,"body":{"model":"m"}}`+"\n", id, idempotent)
	}
	return input.String()
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) restart(i int) {
	w.runners[i].id = w.truth.NewOperation()
	w.runners[i].skew = rapid.IntRange(-2*simLease, 2*simLease).Draw(w.t, "skew")
	w.runners[i].store = w.newStore(w.tables[i])
	w.runners[i].held = map[string]*simChunk{}
}

func (w *world) pickRunner() *simRunner {
	w.step++
	return w.runners[rapid.IntRange(0, simRunners-1).Draw(w.t, "runner")]
}

// pickChunk draws one of the runner's chunks that fits. Keys are drawn in order, so that a seed repeats.
func (w *world) pickChunk(r *simRunner, fits func(*simChunk) bool) *simChunk {
	var chunks []*simChunk
	for _, key := range sortedKeys(r.held) {
		if fits(r.held[key]) {
			chunks = append(chunks, r.held[key])
		}
	}
	if len(chunks) == 0 {
		return nil
	}
	h := chunks[rapid.IntRange(0, len(chunks)-1).Draw(w.t, "chunk")]
	if w.leases[h.work.Key].holder == r.id {
		w.leases[h.work.Key] = clockLease{holder: r.id, renewed: r.clock()}
	}
	return h
}

func (w *world) claim(*rapid.T) {
	r := w.pickRunner()
	open, err := r.store.OpenWork(w.ctx, "", simItems)
	if err != nil || len(open) == 0 {
		return
	}
	work := open[rapid.IntRange(0, len(open)-1).Draw(w.t, "work")]
	if _, ok := r.held[work.Key]; ok || !w.protocol.mayClaim(r, work) {
		return
	}
	w.take(r, work)
}

func (w *world) take(r *simRunner, work *Work) {
	claimed, err := r.store.Claim(w.ctx, work, r.id)
	if errors.Is(err, ErrFenced) {
		return
	}
	w.must(err)
	record, err := w.truth.GetAny(w.ctx, w.job)
	w.must(err)
	lines, err := w.truth.Lines(w.ctx, &record.Job, claimed.Chunk)
	w.must(err)
	run, err := job.NewRun(claimed.Chunk, lines, job.Policy{}, w.now)
	w.must(err)
	w.leases[work.Key] = clockLease{holder: r.id, renewed: r.clock()}
	r.held[work.Key] = &simChunk{work: claimed, record: record, run: run}
}

func (w *world) intents(*rapid.T) {
	r := w.pickRunner()
	h := w.pickChunk(r, func(h *simChunk) bool { return h.staged == nil && len(h.run.Intents()) > 0 })
	if h == nil {
		return
	}
	row := h.run.WithIntents(h.run.Intents(), w.truth.NewOperation())
	work, err := r.store.Replace(w.ctx, h.work, row, h.record)
	if w.after(r, h, err) {
		h.work = work
		h.run.Committed(row, w.now)
	}
}

// after takes in the error of a commit. It reports whether the commit took effect.
func (w *world) after(r *simRunner, h *simChunk, err error) bool {
	switch {
	case err == nil:
		return true
	case errors.Is(err, ErrCancelled):
		record, err := w.truth.GetAny(w.ctx, w.job)
		w.must(err)
		h.record = record
	case errors.Is(err, ErrFenced):
		delete(r.held, h.work.Key)
	default:
		w.must(err)
	}
	return false
}

func (w *world) dispatch(*rapid.T) {
	r := w.pickRunner()
	h := w.pickChunk(r, func(h *simChunk) bool { return !h.record.Job.IsCancelled() })
	if h == nil {
		return
	}
	for range rapid.IntRange(1, simItems).Draw(w.t, "items") {
		if !w.send(h) {
			return
		}
	}
}

func (w *world) send(h *simChunk) bool {
	if !w.protocol.recordsIntents() {
		if indexes := h.run.Intents(); len(indexes) > 0 {
			h.run.Committed(h.run.WithIntents(indexes, h.run.Chunk().Operation), w.now)
		}
	}
	d, ok := h.run.Next(w.now)
	if ok {
		h.running = append(h.running, d.Index)
		w.oracle.dispatched(d.Line.CustomID)
	}
	return ok
}

func (w *world) finish(*rapid.T) {
	r := w.pickRunner()
	h := w.pickChunk(r, func(h *simChunk) bool { return len(h.running) > 0 })
	if h == nil {
		return
	}
	for range rapid.IntRange(1, len(h.running)).Draw(w.t, "answers") {
		index := h.running[0]
		h.running = h.running[1:]
		w.end(h, index, rapid.IntRange(0, 5).Draw(w.t, "outcome"))
	}
}

func (w *world) end(h *simChunk, index, outcome int) {
	now := w.now
	switch outcome {
	case 0:
		h.run.Failed(index, &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut}, now)
	case 1:
		w.oracle.notRun(h.run.Line(index).CustomID)
		h.run.Failed(index, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded}, now)
	case 2:
		h.run.Preempted(index, job.Partial{Text: "part", Tokens: 1}, now)
	default:
		// Each answer differs, so that a changed result shows.
		h.run.Answered(index, 200, "id", []byte(fmt.Sprintf(`{"answer":%q}`, w.truth.NewOperation())), now)
	}
	// Waits between tries are not what is tested here.
	w.now = w.now.Add(time.Minute)
}

func (w *world) putSegment(*rapid.T) {
	r := w.pickRunner()
	if h := w.pickChunk(r, func(h *simChunk) bool { return h.staged == nil }); h != nil {
		w.stage(r, h)
	}
}

func (w *world) stage(r *simRunner, h *simChunk) {
	closing := h.record.Job.IsCancelled()
	if closing {
		h.run.Stop()
		h.run.ResolveIntents(w.now)
		h.running = nil
	}
	operation := w.truth.NewOperation()
	batch := h.run.Collect()
	if len(batch.Results) == 0 {
		if closing {
			h.staged = &staged{row: h.run.WithOperation(operation), closing: true, inLease: r.hasLease(h)}
		}
		return
	}
	segment, err := r.store.PutSegment(w.ctx, h.run.Chunk(), operation, batch.Results)
	w.must(err)
	row := h.run.WithBatch(batch, segment, operation)
	h.staged = &staged{row: row, segment: segment, closing: closing || row.IsDone(), inLease: r.hasLease(h)}
}

func (w *world) commit(*rapid.T) {
	r := w.pickRunner()
	if h := w.pickChunk(r, func(h *simChunk) bool { return h.staged != nil }); h != nil {
		w.finishCommit(r, h)
	}
}

func (w *world) finishCommit(r *simRunner, h *simChunk) {
	s := *h.staged
	h.staged = nil
	if !w.after(r, h, w.protocol.replace(w.ctx, r, h, s)) {
		return
	}
	h.run.Committed(s.row, w.now)
	if s.closing {
		delete(r.held, h.work.Key)
	}
}

func (w *world) release(*rapid.T) {
	r := w.pickRunner()
	h := w.pickChunk(r, func(h *simChunk) bool { return h.staged == nil && len(h.running) == 0 })
	if h == nil {
		return
	}
	err := r.store.Release(w.ctx, h.work, h.run.Released(w.truth.NewOperation()))
	if err != nil && !errors.Is(err, ErrFenced) {
		w.must(err)
	}
	delete(r.held, h.work.Key)
}

func (w *world) kill(*rapid.T) {
	w.step++
	if rapid.IntRange(0, 3).Draw(w.t, "rarely") > 0 {
		w.t.Skip("kills are rare")
	}
	w.restart(rapid.IntRange(0, simRunners-1).Draw(w.t, "killed"))
}

func (w *world) cancel(*rapid.T) {
	if w.cancelled || rapid.IntRange(0, 19).Draw(w.t, "rarely") > 0 {
		w.t.Skip("cancels are rare")
	}
	record, err := w.pickRunner().store.Cancel(w.ctx, w.job)
	w.must(err)
	w.cancelled = record.Job.IsCancelled()
}

// resend is a client that sends its job again, through a VM that may have missed the first.
func (w *world) resend(*rapid.T) {
	record, err := w.pickRunner().store.Create(w.ctx, w.spec)
	w.must(err)
	if record.Job.ID != w.job {
		w.t.Fatalf("a resend made a second job")
	}
}

func (w *world) inject(*rapid.T) {
	w.step++
	table := w.tables[rapid.IntRange(0, simRunners-1).Draw(w.t, "table")]
	faults := rapid.SliceOfN(rapid.SampledFrom([]faulty.Fault{
		faulty.Unavailable, faulty.ResponseLost, faulty.RequestLost, faulty.Delayed,
	}), 1, 3).Draw(w.t, "faults")
	table.Inject(faults...)
	w.failingPuts = rapid.IntRange(0, 3).Draw(w.t, "failing puts")
}

func (w *world) flush() {
	w.step++
	for _, table := range w.tables {
		table.Flush(w.ctx)
	}
}

// settle ends all faults and lets one runner finish the job.
func (w *world) settle() {
	w.flush()
	for i := range w.runners {
		w.restart(i)
	}
	r := w.runners[0]
	r.store = w.truth
	for range 100 {
		open, err := w.truth.OpenWork(w.ctx, "", simItems)
		w.must(err)
		if len(open) == 0 {
			return
		}
		w.take(r, open[0])
		w.complete(r, r.held[open[0].Key])
	}
	w.t.Fatal("the job does not finish")
}

func (w *world) complete(r *simRunner, h *simChunk) {
	for h != nil && r.held[h.work.Key] == h {
		if indexes := h.run.Intents(); len(indexes) > 0 && !h.record.Job.IsCancelled() {
			row := h.run.WithIntents(indexes, w.truth.NewOperation())
			work, err := w.truth.Replace(w.ctx, h.work, row, h.record)
			w.must(err)
			h.work = work
			h.run.Committed(row, w.now)
		}
		for !h.record.Job.IsCancelled() && w.send(h) {
			w.end(h, h.running[0], 3)
			h.running = h.running[1:]
		}
		w.stage(r, h)
		if h.staged != nil {
			w.finishCommit(r, h)
		}
	}
}
