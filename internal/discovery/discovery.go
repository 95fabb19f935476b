// Package discovery follows the operator's configuration and the registered targets in the
// platform's store.
package discovery

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/follow"
	store "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	// lapseGrace is how long after an outage of the store a missing entry is not yet believed: live targets
	// are back within about two seconds, by the platform's protocol.
	lapseGrace = 2300 * time.Millisecond
	// expiryInterval is the time between two looks for entries whose grace period is over.
	expiryInterval = 100 * time.Millisecond
	// rememberGone is how long a target that is gone is told apart from one that is not known yet: longer
	// than a coordinator may be cut off from the registry before its runs fail.
	rememberGone = time.Minute
	// registryPause is the time in which changes of the registry gather. It is short beside the time within
	// which a draining target gets no more work.
	registryPause = 100 * time.Millisecond
)

var unreadableEntries = metrics.NewCounter(`rosemarydyke_unreadable_entries_total`)

// Config configures a Service.
type Config struct {
	Rows store.Rows
	// OnTargets takes the targets after each change.
	OnTargets func([]routing.Target)
	// Node and Others reach the other live VMs, which tell what they know while the store is away. Optional.
	Node  Node
	Peers func() []netip.AddrPort
	Log   zerolog.Logger
}

// Service keeps the newest configuration and the registered targets.
type Service struct {
	config   Config
	table    atomic.Pointer[routing.Table]
	settings *follow.Follower
	entries  *follow.Follower

	mu       sync.Mutex
	registry *routing.Registry
	targets  map[string]routing.Target
	// gone are targets that were registered once, and when they went.
	gone map[string]time.Time
	// registered says that the registry has been read, and targetRows and configRow are what was read last.
	registered bool
	// published says that the targets have been passed on once, also if there are none.
	published  bool
	targetRows map[string][]byte
	configRow  []byte
}

// New returns a service that knows nothing yet.
func New(config Config) *Service {
	s := &Service{config: config, registry: routing.NewRegistry(), gone: map[string]time.Time{}, targetRows: map[string][]byte{}}
	s.settings = follow.New(follow.Config{
		Rows: config.Rows, Table: platform.OperatorTable, Log: config.Log,
		Replace: s.readConfig, Change: s.readConfig,
	})
	s.entries = follow.New(follow.Config{
		Rows: config.Rows, Table: platform.TargetTable, Log: config.Log, CoalesceDelay: registryPause,
		Replace: s.replaceTargets, Change: s.changeTargets, OnAvailable: s.storeReturned,
	})
	if config.Node != nil {
		config.Node.HandleCall(methodCopy, s.handleCopy)
	}
	return s
}

// Run follows the store until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.settings.Run(ctx) })
	tasks.Go(func() { s.entries.Run(ctx) })
	tasks.Go(func() { s.copyFromOthers(ctx) })
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			tasks.Wait()
			return
		case <-ticker.C:
			s.expire()
		}
	}
}

// Current returns the configuration in force, or nil when none is known yet.
func (s *Service) Current() *routing.Table { return s.table.Load() }

// Age returns how old the configuration may be.
func (s *Service) Age() time.Duration {
	age, _ := s.settings.Age()
	return age
}

// Usable reports whether a target may get work as far as this VM knows. One that it does not know yet may.
func (s *Service) Usable(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, gone := s.gone[id]
	return !gone && !s.targets[id].Draining
}

// readConfig adopts a configuration unless a later one is in force.
func (s *Service) readConfig(rows []store.TableRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		if row.Key != platform.ConfigKey || row.Part != "" || row.Deleted {
			continue
		}
		table, err := platform.DecodeConfig(row.Value)
		if err != nil {
			unreadableEntries.Inc()
			s.config.Log.Error().Err(err).Uint64("row_version", row.Version).Msg("configuration cannot be read, the present one stays in force")
			continue
		}
		if current := s.table.Load(); current != nil && table.Version <= current.Version {
			continue
		}
		s.table.Store(table)
		s.configRow = row.Value
		s.config.Log.Info().Uint64("version", table.Version).Int("routes", len(table.Routes)).Msg("configuration adopted")
	}
}

func (s *Service) replaceTargets(rows []store.TableRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceLocked(rows)
}

// replaceLocked takes the whole registry. The lock is held.
func (s *Service) replaceLocked(rows []store.TableRow) {
	s.registered = true
	targets := make([]routing.Target, 0, len(rows))
	for _, row := range rows {
		if t, ok := s.decode(row); ok {
			targets = append(targets, t)
		}
	}
	s.registry.Replace(time.Now(), targets)
	s.publish()
}

func (s *Service) changeTargets(rows []store.TableRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		if t, ok := s.decode(row); ok {
			s.registry.Put(t)
		} else if row.Part == "" {
			s.registry.Remove(time.Now(), row.Key)
		}
	}
	s.publish()
}

// decode reads an entry, and reports whether it names a target.
func (s *Service) decode(row store.TableRow) (routing.Target, bool) {
	if row.Deleted || row.Part != "" {
		return routing.Target{}, false
	}
	t, err := platform.DecodeTarget(row.Key, row.Value)
	if err != nil {
		unreadableEntries.Inc()
		s.config.Log.Warn().Err(err).Uint64("row_version", row.Version).Msg("entry names no target to use")
		return routing.Target{}, false
	}
	s.targetRows[t.ID] = row.Value
	return t, true
}

func (s *Service) storeReturned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.StoreRecovered(time.Now(), lapseGrace)
}

func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gone := s.registry.Expire(time.Now()); len(gone) > 0 {
		s.publish()
	}
}

// publish passes the targets on if they have changed, and the first time.
func (s *Service) publish() {
	before := s.targets
	s.targets = s.registry.Targets()
	changed := false
	for id, t := range s.targets {
		if old, known := before[id]; !known || old != t {
			changed = true
			s.config.Log.Info().Str("target", id).Str("service", t.Service).Str("address", t.Address).Bool("draining", t.Draining).Msg("target registered")
		}
	}
	now := time.Now()
	for id, at := range s.gone {
		if _, known := s.targets[id]; known || now.Sub(at) > rememberGone {
			delete(s.gone, id)
		}
	}
	for id := range before {
		if _, known := s.targets[id]; !known {
			changed = true
			s.gone[id] = now
			delete(s.targetRows, id)
			s.config.Log.Info().Str("target", id).Msg("target is gone")
		}
	}
	if !changed && s.published {
		return
	}
	s.published = true
	list := make([]routing.Target, 0, len(s.targets))
	for _, t := range s.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b routing.Target) int { return strings.Compare(a.ID, b.ID) })
	s.config.OnTargets(list)
}
