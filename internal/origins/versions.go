package origins

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/origin"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/target"
)

const (
	versionsPrefix = "versions/"
	versionsEnd    = "versions0"
	// recordTimeout bounds one call about a record.
	recordTimeout = time.Second
	// recordRetry is the pause before the next attempt, and firstWriterLead the time for which the other VMs leave a change to
	// the first one in rank.
	recordRetry     = 100 * time.Millisecond
	firstWriterLead = 50 * time.Millisecond
	// starvedLead replaces firstWriterLead while a service has no target of a recorded version.
	starvedLead = 10 * time.Millisecond
	// secondWriterLead is the time after which any VM writes a change that is still not recorded.
	secondWriterLead = 500 * time.Millisecond
	// absentBeforeGone is how long a version must have no registered target before it is recorded as gone. It exceeds the age
	// of a registry that is still followed.
	absentBeforeGone = 3 * time.Second
	// verifyInterval is how often the first VMs in rank compare the record with the registry, and verifiers their number.
	verifyInterval = 20 * time.Second
	verifiers      = 3
)

// recordState is what this VM knows of the record of a service.
type recordState struct {
	record  origin.Record
	version uint64
	// live holds the versions that are recorded as serving, and that have been registered ever since.
	live map[string]bool
	// changedAt is when the registered versions began to differ from the record, zero if they don't.
	changedAt time.Time
}

// SetTargets replaces the registered targets.
func (s *Service) SetTargets(targets []routing.Target) {
	s.mu.Lock()
	s.targets = targets
	s.history.SetTargets(time.Now(), targets)
	s.registryKnown = true
	s.markLoaded()
	for _, t := range targets {
		if s.records[t.Service] == nil {
			s.records[t.Service] = &recordState{live: map[string]bool{}}
		}
	}
	for service, state := range s.records {
		registered, _ := s.history.Registered(time.Now(), service, 0)
		for version := range state.live {
			if !slices.Contains(registered, version) {
				delete(state.live, version)
			}
		}
	}
	s.mu.Unlock()
	s.publishTargets()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// markLoaded closes loaded if all is known. s.mu must be held.
func (s *Service) markLoaded() {
	if !s.recordsRead || !s.registryKnown {
		return
	}
	select {
	case <-s.loaded:
	default:
		close(s.loaded)
	}
}

// publishTargets passes on the targets that may begin streams: those whose version is in the record, so that a stream is never
// older than the record of its version. A VM that cannot read the records yet uses all targets. Before the registry has been read
// there is nothing to pass on: an empty list would mean that no targets are registered.
func (s *Service) publishTargets() {
	if s.config.OnTargets == nil {
		return
	}
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.mu.Lock()
	if !s.registryKnown {
		s.mu.Unlock()
		return
	}
	usable := make([]routing.Target, 0, len(s.targets))
	for _, t := range s.targets {
		if !s.recordsRead || s.records[t.Service].live[t.Version] {
			usable = append(usable, t)
		}
	}
	unrecorded := len(usable) == 0 && len(s.targets) > 0
	s.mu.Unlock()
	if s.published == nil && unrecorded {
		return
	}
	if s.published != nil && slices.Equal(usable, s.published) {
		return
	}
	s.published = usable
	s.config.OnTargets(usable)
}

// keepRecords keeps the record of each service's versions until ctx ends.
func (s *Service) keepRecords(ctx context.Context) {
	verify := time.NewTicker(verifyInterval)
	defer verify.Stop()
	for pause := s.reconcile(ctx, false); ; {
		var retry <-chan time.Time
		if pause > 0 {
			retry = time.After(pause)
		}
		verifying := false
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		case <-retry:
		case <-verify.C:
			verifying = s.rankFor(versionsPrefix) < verifiers
		}
		pause = s.reconcile(ctx, verifying)
	}
}

// reconcile reads the records if the registered versions differ from them, and corrects them. It returns when to continue,
// zero if nothing is left to do.
func (s *Service) reconcile(ctx context.Context, verifying bool) time.Duration {
	rank := s.rankFor(versionsPrefix)
	s.mu.Lock()
	read, starved := s.recordsRead, s.starved()
	s.mu.Unlock()
	first, lead := rank == 0, firstWriterLead
	if starved {
		// Nothing serves until the version is recorded, and the first VM in rank may be out of step.
		first, lead = rank < verifiers, starvedLead
	}
	if read && !verifying && !s.recordsDiffer(time.Now()) {
		return s.nextGone(first)
	}
	if read && !first && !verifying {
		// The first VM in rank has written by then, so that the others only read.
		select {
		case <-ctx.Done():
			return 0
		case <-time.After(lead + rand.N(lead)):
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	asked := time.Now()
	page, err := s.config.Rows.Read(callCtx, tableOrigins, "", platform.KeyRange{From: versionsPrefix, To: versionsEnd})
	cancel()
	if err != nil {
		s.config.Log.Info().Err(err).Msg("versions of services not read from the store; streams of unknown origin are not resumed while several may have begun them")
		return recordRetry
	}
	s.stored.setClock(page.Now)
	s.loadRecords(asked, page)
	for _, change := range s.changes(page.Now, first || verifying) {
		callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		s.writeRecord(callCtx, change)
		cancel()
	}
	s.publishTargets()
	s.stored.resubmitAmbiguous(s.isAmbiguous)
	if s.recordsDiffer(time.Now()) {
		return recordRetry
	}
	return s.nextGone(first)
}

// starved reports whether a service has targets that take requests, and none of a recorded version. s.mu must be held.
func (s *Service) starved() bool {
	served := map[string]bool{}
	for _, t := range s.targets {
		if !t.Draining {
			served[t.Service] = served[t.Service] || s.records[t.Service].live[t.Version]
		}
	}
	for _, serves := range served {
		if !serves {
			return true
		}
	}
	return false
}

// nextGone returns when to look for versions that are gone. Only the first VM in rank records them, and the others when they
// verify the record.
func (s *Service) nextGone(first bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, state := range s.records {
		registered, _ := s.history.Registered(time.Now(), service, 0)
		for _, version := range state.record.Live() {
			if first && !slices.Contains(registered, version) {
				return absentBeforeGone
			}
		}
	}
	return 0
}

// recordsDiffer reports whether a registered version is not known to be recorded, or, at the first VM in rank, whether a
// recorded one is gone.
func (s *Service) recordsDiffer(now time.Time) bool {
	first := s.rankFor(versionsPrefix) == 0
	s.mu.Lock()
	defer s.mu.Unlock()
	differ := false
	for service, state := range s.records {
		registered, gone := s.history.Registered(now, service, absentBeforeGone)
		missing := slices.ContainsFunc(registered, func(v string) bool { return !state.live[v] })
		outdated := first && slices.ContainsFunc(state.record.Live(), func(v string) bool { return slices.Contains(gone, v) })
		if !missing && !outdated {
			state.changedAt = time.Time{}
			continue
		}
		if state.changedAt.IsZero() {
			state.changedAt = now
		}
		differ = true
	}
	return differ
}

// loadRecords adopts the records of a page.
func (s *Service) loadRecords(asked time.Time, page platform.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]bool{}
	for _, row := range page.Rows {
		r, err := decodeRecord(row.Value, page.Now)
		if err != nil {
			unreadableRecords.Inc()
			s.config.Log.Error().Err(err).Str("row", row.Key).Msg("versions of a service not decoded; streams of unknown origin are not resumed until the record has been replaced for a minute")
			r = origin.Record{Versions: []origin.Served{{Version: unreadableVersion, GoneAt: max(page.Now, 1)}}}
		}
		service := row.Key[len(versionsPrefix):]
		found[service] = true
		s.adoptRecord(asked, service, r, row.Version, page.Now)
	}
	for service := range s.records {
		if !found[service] {
			s.history.LoadAbsent(service)
		}
	}
	s.recordsRead = true
	s.markLoaded()
}

const (
	// unreadableVersion stands for the versions of a record that was not decoded.
	unreadableVersion = "?"
	// maxAhead is the largest time by which a time in a row may be ahead of the store's clock.
	maxAhead = time.Minute
)

var unreadableRecords = metrics.NewCounter(`rosemarydyke_unreadable_version_records_total`)

// decodeRecord decodes a record that was read at a time of the store. It fails for a record that no VM writes.
func decodeRecord(value []byte, now time.Duration) (origin.Record, error) {
	var r origin.Record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return origin.Record{}, err
	}
	for _, v := range r.Versions {
		if min(v.AddedAt, v.GoneAt) < 0 || max(v.AddedAt, v.GoneAt) > now+maxAhead {
			return origin.Record{}, fmt.Errorf("version %q was added at %s and gone at %s, read at %s", v.Version, v.AddedAt, v.GoneAt, now)
		}
	}
	return r, nil
}

// adoptRecord adopts the record of a service. s.mu must be held.
func (s *Service) adoptRecord(asked time.Time, service string, r origin.Record, version uint64, storeNow time.Duration) {
	state := s.records[service]
	if state == nil {
		state = &recordState{}
		s.records[service] = state
	}
	now := time.Now()
	s.history.Load(asked, now, service, r, storeNow)
	// Reads for resumptions run beside those and the writes of keepRecords.
	if version < state.version {
		return
	}
	state.record, state.version, state.live = r, version, map[string]bool{}
	registered, _ := s.history.Registered(now, service, 0)
	for _, v := range r.Live() {
		if slices.Contains(registered, v) {
			state.live[v] = true
		}
	}
}

// recordChange is a record to be written.
type recordChange struct {
	service  string
	record   origin.Record
	version  uint64
	storeNow time.Duration
}

// changes returns the records that this VM has to write.
func (s *Service) changes(storeNow time.Duration, first bool) []recordChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var changes []recordChange
	for service, state := range s.records {
		registered, gone := s.history.Registered(now, service, absentBeforeGone)
		updated, differs := state.record.Update(storeNow, registered, gone)
		late := !state.changedAt.IsZero() && now.Sub(state.changedAt) > secondWriterLead
		if differs && (first || late) {
			changes = append(changes, recordChange{service, updated, state.version, storeNow})
		}
	}
	return changes
}

// writeRecord writes a record if nobody else has changed it.
func (s *Service) writeRecord(ctx context.Context, change recordChange) {
	value, err := cbor.Marshal(change.record)
	if err != nil {
		s.config.Log.Error().Err(err).Str("service", change.service).Msg("versions of a service not encoded; the record stays as it is")
		return
	}
	key := platform.RowKey{Table: tableOrigins, Key: versionsPrefix + change.service}
	version, err := s.config.Rows.Apply(ctx, platform.RowTxn{
		Conditions: []platform.RowCondition{{RowKey: key, Version: change.version}},
		Writes:     []platform.RowWrite{{RowKey: key, Value: value}},
	})
	var conflict *platform.RowConflictError
	if errors.As(err, &conflict) {
		return
	}
	if err != nil {
		s.config.Log.Info().Err(err).Str("service", change.service).Msg("versions of a service not recorded; tried again")
		return
	}
	s.config.Log.Info().Str("service", change.service).Strs("serving", change.record.Live()).Int("recent", len(change.record.Versions)).Msg("versions of a service recorded")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptRecord(time.Now(), change.service, change.record, version, change.storeNow)
}

// isAmbiguous reports whether the origin of a stream can't be told from the versions of its service.
func (s *Service) isAmbiguous(o origin.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Mixed(time.Now(), o.Service)
}

// rankFor returns the position of this VM among the live ones for a key, 0 being the first.
func (s *Service) rankFor(key string) int {
	self := target.Rank(key, s.config.Members.Self().VM)
	position := 0
	for _, p := range s.rankedPeers(key, verifiers) {
		if p.rank > self {
			position++
		}
	}
	return position
}
