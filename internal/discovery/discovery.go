// Package discovery watches the operator's configuration and the registered targets in the
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

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/boottime"
	"github.com/rosemarydyke/rosemarydyke/internal/follow"
	store "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	// missingEntryGrace is how long a target whose entry is missing after an outage of the store is kept: by the
	// platform's protocol, live targets register again within about two seconds.
	missingEntryGrace = 2300 * time.Millisecond
	// expiryInterval is the interval between checks for entries whose grace period has ended.
	expiryInterval = 100 * time.Millisecond
	// goneRetention is how long a removed target is distinguished from one that is not known yet: longer than
	// a coordinator may be disconnected from the registry before its runs fail.
	goneRetention = time.Minute
	// registryCoalesceDelay is the time for which changes of the registry are coalesced. It is short compared to the
	// time within which a draining target must get no more work.
	registryCoalesceDelay = 100 * time.Millisecond
)

var (
	unreadableEntries = metrics.NewCounter(`rosemarydyke_unreadable_entries_total`)
	// outdatedTotal counts how often the configuration got too old for new clients.
	outdatedTotal = metrics.NewCounter(`rosemarydyke_config_outdated_total`)
)

// Config configures a Service.
type Config struct {
	Rows store.Rows
	// OnTargets is called with all targets after each change.
	OnTargets func([]routing.Target)
	// Node and Peers reach the other live VMs, whose state is copied when the store is unavailable at the start. Optional.
	Node  Node
	Peers func() []netip.AddrPort
	// Clock is the clock of the configuration's age. Default: the monotonic clock.
	Clock boottime.Clock
	// Revocation limits the age of a configuration with client accounts.
	Revocation account.Revocation
	Log        zerolog.Logger
}

// Service maintains the latest configuration and the registered targets.
type Service struct {
	config        Config
	table         atomic.Pointer[routing.Table]
	confirmations *account.ConfirmationTracker
	// unlisted means that the log says that this VM is not listed. Only Run uses it.
	unlisted         bool
	configFollower   *follow.Follower
	registryFollower *follow.Follower

	mu       sync.Mutex
	registry *routing.Registry
	targets  map[string]routing.Target
	// goneSince holds the removal times of targets that were registered before.
	goneSince map[string]time.Time
	// leaving holds the targets that said in a response that they are leaving.
	leaving map[string]incarnation
	// registryLoaded is true once the registry has been read.
	registryLoaded bool
	// published is true once OnTargets has been called, even with no targets.
	published bool
	// unknownServices are the registered targets whose service the configuration does not have, sorted.
	unknownServices []string
	// targetRows and configRow hold the rows that were read last.
	targetRows map[string][]byte
	configRow  []byte
}

// incarnation is one start of a target's process.
type incarnation struct {
	startedUnixMilli int64
	// known is false until the registry has shown which start it is.
	known bool
}

// New returns a service without configuration or targets.
func New(config Config) *Service {
	if config.Clock == nil {
		config.Clock = boottime.Monotonic()
	}
	s := &Service{
		config:        config,
		confirmations: account.NewConfirmationTracker(),
		registry:      routing.NewRegistry(),
		goneSince:     map[string]time.Time{},
		leaving:       map[string]incarnation{},
		targetRows:    map[string][]byte{},
	}
	s.configFollower = follow.New(follow.Config{
		Rows: config.Rows, Table: platform.OperatorTable, Log: config.Log,
		Replace: s.readConfig, Change: s.readConfig,
		Clock: config.Clock, PollInterval: config.Revocation.PollInterval(), OnConfirmed: s.confirmations.Answered,
	})
	s.registryFollower = follow.New(follow.Config{
		Rows: config.Rows, Table: platform.TargetTable, Log: config.Log, CoalesceDelay: registryCoalesceDelay,
		Replace: s.replaceTargets, Change: s.changeTargets, OnAvailable: s.storeRecovered,
	})
	if config.Node != nil {
		config.Node.HandleCall(methodCopy, s.handleCopy)
	}
	return s
}

// Run watches the store until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.configFollower.Run(ctx) })
	tasks.Go(func() { s.registryFollower.Run(ctx) })
	tasks.Go(func() { s.copyFromPeers(ctx) })
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			tasks.Wait()
			return
		case <-ticker.C:
			s.expire()
			s.logListed()
		}
	}
}

// logListed logs when the configuration gets too old for new clients, and when it is recent again.
func (s *Service) logListed() {
	listed := s.Listed()
	if listed == !s.unlisted {
		return
	}
	s.unlisted = !listed
	confirmation := s.Confirmation()
	if listed {
		s.config.Log.Info().Dur("config_age_ms", confirmation.Age).Msg("configuration is recent again; this VM is listed to clients")
		return
	}
	outdatedTotal.Inc()
	s.config.Log.Warn().Dur("config_age_ms", confirmation.Age).Bool("config_confirmed", confirmation.Known).Dur("bound_ms", s.config.Revocation.Bound).
		Msg("configuration is too old for new clients; this VM is not listed, and refuses API keys at the bound")
}

// Current returns the current configuration, or nil when none is known yet.
func (s *Service) Current() *routing.Table { return s.table.Load() }

// Age returns an upper bound of the configuration's staleness, or zero if it is not known.
func (s *Service) Age() time.Duration { return s.Confirmation().Age }

// Confirmation says how old the configuration may be for accepting API keys.
func (s *Service) Confirmation() account.Confirmation {
	return s.confirmations.Confirmation(s.config.Clock())
}

// Listed reports whether the configuration is recent enough for new clients. One without client accounts always is.
func (s *Service) Listed() bool {
	confirmation := s.Confirmation()
	table := s.Current()
	return table == nil || table.Accounts == nil || s.config.Revocation.Listed(confirmation)
}

// Usable reports whether a target is neither removed nor draining nor leaving as far as this VM knows. A target that is
// not known yet is usable.
func (s *Service) Usable(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, gone := s.goneSince[id]
	_, leaving := s.leaving[id]
	return !gone && !leaving && !s.targets[id].Draining
}

// UsableAddress reports whether an address is that of a registered target that is usable.
func (s *Service) UsableAddress(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.targets {
		if _, leaving := s.leaving[id]; t.Address == address && !leaving && !t.Draining {
			return true
		}
	}
	return false
}

// MarkLeaving records that a target is leaving, by its own response. It holds for the registered process, so that a
// later start under the same ID is usable. It returns the start time of the process, zero if that is not known, and
// whether this is news.
func (s *Service) MarkLeaving(id string) (startedUnixMilli int64, news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, known := s.targets[id]
	if _, marked := s.leaving[id]; marked {
		return t.StartedUnixMilli, false
	}
	s.leaving[id] = incarnation{startedUnixMilli: t.StartedUnixMilli, known: known}
	s.config.Log.Info().Str("target", id).Int64("started_ms", t.StartedUnixMilli).Bool("registered", known).
		Msg("target says that it is leaving; it is sent no more requests")
	return t.StartedUnixMilli, true
}

// updateLeaving drops the marks of processes that were replaced by another start under their ID, or that were removed
// long ago. s.mu must be held.
func (s *Service) updateLeaving() {
	for id, marked := range s.leaving {
		t, registered := s.targets[id]
		_, gone := s.goneSince[id]
		switch {
		case registered && !marked.known:
			s.leaving[id] = incarnation{startedUnixMilli: t.StartedUnixMilli, known: true}
		case registered && marked.startedUnixMilli != t.StartedUnixMilli, !registered && marked.known && !gone:
			delete(s.leaving, id)
		}
	}
}

// readConfig adopts a configuration unless the current one has the same or a later version.
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
			s.config.Log.Error().Err(err).Uint64("row_version", row.Version).Msg("configuration not adopted, keeping the current one")
			continue
		}
		if current := s.table.Load(); current != nil && table.Version <= current.Version {
			continue
		}
		s.table.Store(table)
		s.configRow = row.Value
		s.config.Log.Info().Uint64("version", table.Version).Int("routes", len(table.Routes)).Msg("configuration adopted")
		if s.registryLoaded {
			// Services may have been added or removed.
			s.publish()
		}
	}
}

func (s *Service) replaceTargets(rows []store.TableRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceLocked(rows)
}

// replaceLocked replaces the whole registry. s.mu must be held.
func (s *Service) replaceLocked(rows []store.TableRow) {
	s.registryLoaded = true
	targets := make([]routing.Target, 0, len(rows))
	for _, row := range rows {
		if t, ok := s.decode(row); ok {
			targets = append(targets, t)
		} else if row.Part == "" && !row.Deleted {
			s.registry.Drop(row.Key)
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
		} else if row.Part == "" && row.Deleted {
			s.registry.Remove(time.Now(), row.Key)
		} else if row.Part == "" {
			s.registry.Drop(row.Key)
		}
	}
	s.publish()
}

// decode decodes an entry and reports whether it holds a valid target.
func (s *Service) decode(row store.TableRow) (routing.Target, bool) {
	if row.Deleted || row.Part != "" {
		return routing.Target{}, false
	}
	t, err := platform.DecodeTarget(row.Key, row.Value)
	if err != nil {
		unreadableEntries.Inc()
		s.config.Log.Warn().Err(err).Uint64("row_version", row.Version).Msg("invalid target entry, target not used")
		return routing.Target{}, false
	}
	// Fields that are not known may be long, and a copy for another VM has to fit a message.
	s.targetRows[t.ID] = platform.EncodeTarget(t)
	return t, true
}

func (s *Service) storeRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.StoreRecovered(time.Now(), missingEntryGrace)
}

func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gone := s.registry.Expire(time.Now()); len(gone) > 0 {
		s.publish()
	}
}

// maxLoggedTargets is the number of targets with a log line each when they change at the same time.
const maxLoggedTargets = 8

func (s *Service) logChanges(changed, removed []string) {
	if len(changed)+len(removed) > maxLoggedTargets {
		slices.Sort(removed)
		s.config.Log.Info().Int("registered", len(changed)).Strs("removed", removed).Int("targets", len(s.targets)).Msg("many targets changed")
		return
	}
	for _, id := range changed {
		t := s.targets[id]
		s.config.Log.Info().Str("target", id).Str("service", t.Service).Str("address", t.Address).Str("version", t.Version).Bool("draining", t.Draining).Msg("target registered")
	}
	for _, id := range removed {
		s.config.Log.Info().Str("target", id).Msg("target removed")
	}
}

// ofKnownServices returns the targets whose service the configuration in force has, or all if there is none or if it has no
// services. s.mu must be held.
func (s *Service) ofKnownServices(registered map[string]routing.Target) map[string]routing.Target {
	table := s.table.Load()
	if table == nil || len(table.Services) == 0 {
		return registered
	}
	known := make(map[string]routing.Target, len(registered))
	var unknown []string
	for id, t := range registered {
		if table.UsesService(t.Service) {
			known[id] = t
		} else {
			unknown = append(unknown, id)
		}
	}
	slices.Sort(unknown)
	if !slices.Equal(unknown, s.unknownServices) {
		s.config.Log.Warn().Strs("targets", unknown[:min(len(unknown), maxLoggedTargets)]).Int("count", len(unknown)).Uint64("config_version", table.Version).
			Msg("targets of services that are not in the configuration are not used")
	}
	s.unknownServices = unknown
	return known
}

// publish calls OnTargets if the targets have changed or it has not been called yet.
func (s *Service) publish() {
	before, registered := s.targets, s.registry.Targets()
	s.targets = s.ofKnownServices(registered)
	var changed, removed []string
	for id, t := range s.targets {
		if old, known := before[id]; !known || old != t {
			changed = append(changed, id)
		}
	}
	now := time.Now()
	for id, at := range s.goneSince {
		if _, known := s.targets[id]; known || now.Sub(at) > goneRetention {
			delete(s.goneSince, id)
		}
	}
	for id := range before {
		if _, known := s.targets[id]; !known {
			removed = append(removed, id)
			s.goneSince[id] = now
		}
	}
	for id := range s.targetRows {
		if _, known := registered[id]; !known {
			delete(s.targetRows, id)
		}
	}
	s.updateLeaving()
	s.logChanges(changed, removed)
	if len(changed)+len(removed) == 0 && s.published {
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
