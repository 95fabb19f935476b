// Package batchjobs keeps batch jobs in the platform's store and runs their items in the slots that
// online requests leave.
//
// A job has one owner among the VMs, which runs its items and lists their results. Ownership is not
// a lease: it lasts until another VM takes the job over with a conditional write, after which
// nothing that the former owner writes is accepted.
package batchjobs

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/follow"
	"github.com/rosemarydyke/rosemarydyke/internal/periodic"
	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	// staleAfter is the age of the copy of the table from which a call is answered from the store itself.
	staleAfter = 2500 * time.Millisecond
	// lookInterval is the time between two looks for jobs whose owner is gone.
	lookInterval = 200 * time.Millisecond
	// jobsPause is the time in which changes of the jobs gather: each result changes one, and every VM follows all. It is
	// half of the time between two reads of a client.
	jobsPause = 250 * time.Millisecond
)

var (
	jobsAccepted   = metrics.NewCounter(`rosemarydyke_jobs_accepted_total`)
	jobsRefused    = metrics.NewCounter(`rosemarydyke_jobs_refused_total`)
	jobsTakenOver  = metrics.NewCounter(`rosemarydyke_jobs_taken_over_total`)
	itemsCompleted = metrics.NewCounter(`rosemarydyke_items_completed_total`)
	itemsGivenUp   = metrics.NewCounter(`rosemarydyke_items_given_up_total`)
	itemsYielded   = metrics.NewCounter(`rosemarydyke_items_yielded_total`)
	itemsFailed    = metrics.NewCounter(`rosemarydyke_item_runs_failed_total`)
	itemTime       = metrics.NewHistogram(`rosemarydyke_item_seconds`)
)

// Config configures a Service.
type Config struct {
	// VM is this VM's name.
	VM            string
	Rows          rowstore.Rows
	Members       member.View
	Configuration routing.Source
	Slots         scheduling.Slots
	Targets       *platform.TargetClient
	Node          Node
	// ResultRetention is how long after a job's submission its results have to be kept. Zero keeps them for ever.
	ResultRetention time.Duration
	Log             zerolog.Logger
}

// Service serves and runs batch jobs.
type Service struct {
	config   Config
	store    store
	follower *follow.Follower
	// inherited is what items have reached on VMs that left.
	inherited *inheritance
	view      *view
	texts     *textCache
	wake      chan struct{}
	lengths   lengthEstimator

	mu      sync.Mutex
	runs    map[string]*jobRun
	leaving bool
	// kept are the items of jobs that were accepted here and do not run yet.
	kept map[string][]platform.JobItem
	// endedProgress are rows of progress that nobody needs any more.
	endedProgress []rowstore.RowKey
	// claiming are the jobs that are being taken over.
	claiming map[string]bool
	// unowned is since when the owner of a job has been missing.
	unowned map[string]time.Time
	tasks   sync.WaitGroup
	waits   *waitQueue
	started time.Time
}

// New returns a service.
func New(config Config) *Service {
	s := &Service{
		config:    config,
		store:     store{rows: config.Rows},
		view:      newView(),
		texts:     newTextCache(),
		wake:      make(chan struct{}, 1),
		runs:      map[string]*jobRun{},
		unowned:   map[string]time.Time{},
		waits:     newWaitQueue(config.Slots, maxWaits),
		kept:      map[string][]platform.JobItem{},
		claiming:  map[string]bool{},
		started:   time.Now(),
		inherited: newInheritance(),
	}
	config.Node.HandleCall(methodProgress, s.handleProgress)
	s.follower = follow.New(follow.Config{
		Rows: config.Rows, Table: tableHeads, CoalesceDelay: jobsPause, Log: config.Log, Replace: s.replace, Change: s.change,
	})
	return s
}

// Run follows the table and runs the jobs of this VM until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.tasks.Go(func() { s.follower.Run(ctx) })
	s.tasks.Go(func() {
		periodic.Every(ctx, checkpointInterval, func(time.Time) { s.checkpoint(ctx) })
	})
	ticker, sweeps := time.NewTicker(lookInterval), time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer sweeps.Stop()
	for {
		select {
		case <-ctx.Done():
			s.tasks.Wait()
			return
		case <-sweeps.C:
			s.sweep(ctx)
			continue
		case <-ticker.C:
		case <-s.wake:
		}
		s.look(ctx)
	}
}

func (s *Service) wakeRunner() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// fresh reports whether the copy of the table is young enough to answer from.
func (s *Service) fresh() bool {
	age, known := s.follower.Age()
	return known && age < staleAfter
}
