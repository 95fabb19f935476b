// Package batchjobs stores batch jobs in the platform's store and runs their items in the slots that online
// requests leave free.
//
// Each job is owned by one VM, which runs its items and commits their results. Ownership is not a lease: it
// lasts until another VM takes the job over with a conditional write, after which no write of the former owner
// is accepted.
package batchjobs

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/rosemarydyke/rosemarydyke/internal/follow"
	"github.com/rosemarydyke/rosemarydyke/internal/periodic"
	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/reserve"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	// maxCacheAge is the age of the cached heads beyond which requests are answered from the store instead.
	// The age counts from the begin of the last call, so it is up to twice the time for which the store holds one.
	maxCacheAge = 3500 * time.Millisecond
	// reconcileInterval is the time between two checks for jobs to start, stop or take over.
	reconcileInterval = 200 * time.Millisecond
	// coalesceDelay is the time during which changes of the heads accumulate before they are read: each result
	// changes a head, and every VM follows all of them. It is half of the interval between a client's reads.
	coalesceDelay = 250 * time.Millisecond
	// idleDelay replaces coalesceDelay on a VM where no client waits for results. The copy stays fresher than maxCacheAge,
	// and an ended job stops within it.
	idleDelay = 600 * time.Millisecond
)

var (
	jobsAccepted   = metrics.NewCounter(`rosemarydyke_jobs_accepted_total`)
	jobsRefused    = metrics.NewCounter(`rosemarydyke_jobs_refused_total`)
	jobsTakenOver  = metrics.NewCounter(`rosemarydyke_jobs_taken_over_total`)
	itemsCompleted = metrics.NewCounter(`rosemarydyke_items_completed_total`)
	itemsGivenUp   = metrics.NewCounter(`rosemarydyke_items_given_up_total`)
	itemsPreempted = metrics.NewCounter(`rosemarydyke_items_yielded_total`)
	itemsHeld      = metrics.NewCounter(`rosemarydyke_items_held_total`)
	itemsFailed    = metrics.NewCounter(`rosemarydyke_item_runs_failed_total`)
	jobsOverMemory = metrics.NewCounter(`rosemarydyke_jobs_refused_for_memory_total`)
	jobsWaited     = metrics.NewCounter(`rosemarydyke_jobs_waited_for_memory_total`)
	itemTime       = metrics.NewHistogram(`rosemarydyke_item_seconds`)
)

// Quarantine tracks what the requests have in common under which targets crash.
type Quarantine interface {
	// Check returns the status of an item, and how long it remains quarantined if that is known.
	Check(content quarantine.Content) (quarantine.Status, time.Duration)
	// RecordUnanswered records that a target broke off an item sent at sentAt before it began to answer.
	RecordUnanswered(sentAt time.Time, content quarantine.Content, target string)
	// RecordBegun records that a target has begun to answer an item.
	RecordBegun(content quarantine.Content)
}

// Config configures a Service.
type Config struct {
	// VM is this VM's name.
	VM            string
	Rows          rowstore.Rows
	Members       member.View
	Configuration routing.Source
	Slots         scheduling.Slots
	Targets       *platform.TargetClient
	Quarantine    Quarantine
	Node          Node
	// ResultRetention is how long after a job's submission its results must be available. Zero keeps them
	// forever.
	ResultRetention time.Duration
	// HeadMemory is the memory for the heads of all jobs, which each VM holds. Further jobs are refused. Zero means no bound.
	HeadMemory int64
	// ItemMemory is the memory for the items of the jobs that this VM runs, in bytes. Further jobs wait. Zero means no bound.
	ItemMemory int64
	// TextMemory is the memory for the texts of items until they are committed, in bytes, beside 16 KB of each. Items for which there
	// is none start anew. Zero means no bound.
	TextMemory int64
	Log        zerolog.Logger
}

// Service serves and runs batch jobs.
type Service struct {
	config   Config
	store    store
	follower *follow.Follower
	// handedOver holds the item progress that VMs handed over when they left.
	handedOver *handedOverProgress
	heads      *headCache
	texts      *textCache
	wake       chan struct{}
	estimator  lengthEstimator

	mu      sync.Mutex
	runs    map[string]*jobRun
	leaving bool
	// acceptedItems holds the items of jobs that were accepted here and do not run yet.
	acceptedItems map[string]acceptedItems
	// obsoleteProgress holds the keys of progress rows that the next checkpoints delete.
	obsoleteProgress []rowstore.RowKey
	// claiming is the set of jobs that are being taken over.
	claiming map[string]bool
	// ownerMissingSince is when the owner of a job was first found missing.
	ownerMissingSince map[string]time.Time
	tasks             sync.WaitGroup
	// itemRoom is what is left of Config.ItemMemory.
	itemRoom *semaphore.Weighted
	// textRoom is Config.TextMemory.
	textRoom  *reserve.Room
	waitQueue *waitQueue
	started   time.Time
}

// New returns a Service, which Run starts.
func New(config Config) *Service {
	if config.ItemMemory == 0 {
		config.ItemMemory = math.MaxInt64
	}
	if config.TextMemory == 0 {
		config.TextMemory = math.MaxInt64
	}
	s := &Service{
		config:            config,
		store:             store{rows: config.Rows},
		heads:             newHeadCache(),
		texts:             newTextCache(),
		wake:              make(chan struct{}, 1),
		runs:              map[string]*jobRun{},
		ownerMissingSince: map[string]time.Time{},
		waitQueue:         newWaitQueue(config.Slots, maxWaitingItems),
		acceptedItems:     map[string]acceptedItems{},
		claiming:          map[string]bool{},
		started:           time.Now(),
		handedOver:        newHandedOverProgress(),
		itemRoom:          semaphore.NewWeighted(config.ItemMemory),
		textRoom:          reserve.NewRoom(config.TextMemory),
	}
	config.Node.HandleCall(methodProgress, s.handleProgress)
	s.follower = follow.New(follow.Config{
		Rows: config.Rows, Table: tableHeads, CoalesceDelay: coalesceDelay, IdleDelay: idleDelay, Awaited: s.heads.awaited, Log: config.Log, Replace: s.replaceHeads, Change: s.applyChanges,
	})
	s.heads.onWait = s.follower.Hurry
	return s
}

// Run follows the table of heads and runs the jobs of this VM until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.tasks.Go(func() { s.follower.Run(ctx) })
	s.tasks.Go(func() {
		periodic.Every(ctx, checkpointInterval, func(time.Time) { s.checkpoint(ctx) })
	})
	reconciles, sweeps := time.NewTicker(reconcileInterval), time.NewTicker(sweepInterval)
	defer reconciles.Stop()
	defer sweeps.Stop()
	for {
		select {
		case <-ctx.Done():
			s.tasks.Wait()
			return
		case <-sweeps.C:
			s.sweep(ctx)
			continue
		case <-reconciles.C:
		case <-s.wake:
		}
		s.reconcile(ctx)
	}
}

func (s *Service) requestReconcile() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// fresh reports whether the cached heads are recent enough to answer from.
func (s *Service) fresh() bool {
	age, known := s.follower.Age()
	return known && age < maxCacheAge
}
