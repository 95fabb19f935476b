// Package evidence distributes evidence of requests that crash targets: to the other entries immediately, and
// to the platform's table, from which VMs that were not running or reachable read it later.
package evidence

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
)

// MethodMerge is the RPC that sends evidence to an entry: message to struct{}.
const MethodMerge peer.Method = "quarantine.evidence"

// Tracker tracks evidence and decides which requests are quarantined. *controller.Controller implements it.
type Tracker interface {
	// TakeEvidence removes and returns the evidence that is due to be sent.
	TakeEvidence() []quarantine.Evidence
	// MergeEvidence merges evidence from other VMs.
	MergeEvidence(evidence []quarantine.Evidence)
	// QuarantineStatus returns the status of a fingerprint.
	QuarantineStatus(fingerprint uint64) quarantine.Status
	// TakeReport removes and returns what the other VMs have to learn of crashes and blamed groups, and the IDs of the stored
	// groups that are cleared.
	TakeReport() (quarantine.Report, []uint64)
	// MergeReport adds the report of another VM, and returns the blamed groups that the VM doesn't seem to know.
	MergeReport(from string, report quarantine.Report) []quarantine.BlameReport
	// MergeStored adds a blamed group from the table.
	MergeStored(blame quarantine.BlameReport)
	// Blames returns all blamed groups.
	Blames() []quarantine.BlameReport
}

// Caller calls the other entries.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error
}

// Registrar registers RPC handlers.
type Registrar interface {
	HandleCall(method peer.Method, handler peer.CallHandler)
}

// Config configures a Service.
type Config struct {
	Tracker Tracker
	Members member.View
	Caller  Caller
	Table   platform.Table
	Log     zerolog.Logger

	// Interval is the interval between checks for new evidence. Default 25ms.
	Interval time.Duration
	// ReadInterval is the interval between reads of the table. Default 10s.
	ReadInterval time.Duration
	// SyncInterval is the interval at which the blamed groups are compared with those of another VM, which makes up for lost
	// messages and for those sent before this VM started. Default 5s.
	SyncInterval time.Duration
	// SendTimeout bounds one distribution of evidence to the other entries. Default 300ms.
	SendTimeout time.Duration
	// WriteTimeout bounds one write of evidence to the table. Default 30s.
	WriteTimeout time.Duration
}

const (
	defaultInterval     = 25 * time.Millisecond
	defaultReadInterval = 10 * time.Second
	defaultSyncInterval = 5 * time.Second
	// firstSyncRetry is the delay until another VM is asked while none has answered since the start.
	firstSyncRetry      = 250 * time.Millisecond
	defaultSendTimeout  = 300 * time.Millisecond
	defaultWriteTimeout = 30 * time.Second
	// maxParallelSends bounds the number of concurrent sends to other entries.
	maxParallelSends = 32
	// writeCalls is the number of calls that may hang within WriteTimeout.
	writeCalls = 10
	// maxReadRows bounds the rows of one read of the table.
	maxReadRows = 1000
	// maxPendingWrites bounds the queue of evidence to be written.
	maxPendingWrites = 256
	// maxStoredNames bounds the targets and the keys of a stored quarantine: far more than it takes to quarantine a request.
	maxStoredNames = 200
	rowPrefix      = "quarantine/"
)

func (c *Config) setDefaults() {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.ReadInterval == 0 {
		c.ReadInterval = defaultReadInterval
	}
	if c.SyncInterval == 0 {
		c.SyncInterval = defaultSyncInterval
	}
	if c.SendTimeout == 0 {
		c.SendTimeout = defaultSendTimeout
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = defaultWriteTimeout
	}
}

type message struct {
	Evidence []quarantine.Evidence `cbor:"1,keyasint"`
	Report   quarantine.Report     `cbor:"2,keyasint"`
	// WantBlames asks for all blamed groups.
	WantBlames bool `cbor:"3,keyasint,omitempty"`
}

// response holds the blamed groups that the sender of a message doesn't seem to know.
type response struct {
	Report quarantine.Report `cbor:"2,keyasint"`
}

// Service distributes evidence.
type Service struct {
	config Config
	// publishMu makes Publish wait until another call has sent the evidence that it took.
	publishMu  sync.Mutex
	writeQueue chan tableChange
	sent       *metrics.Counter
	failed     *metrics.Counter
}

// New returns a service.
func New(config Config) *Service {
	config.setDefaults()
	return &Service{
		config:     config,
		writeQueue: make(chan tableChange, maxPendingWrites),
		sent:       metrics.GetOrCreateCounter("rosemarydyke_quarantine_evidence_sent_total"),
		failed:     metrics.GetOrCreateCounter("rosemarydyke_quarantine_evidence_failed_total"),
	}
}

// Register registers the handler for evidence from other entries.
func (s *Service) Register(registrar Registrar) {
	registrar.HandleCall(MethodMerge, func(_ context.Context, from peer.Identity, decode func(any) error) (any, error) {
		var m message
		if err := decode(&m); err != nil {
			return nil, err
		}
		s.config.Tracker.MergeEvidence(m.Evidence)
		unknown := s.config.Tracker.MergeReport(from.VM, m.Report)
		if m.WantBlames {
			unknown = s.config.Tracker.Blames()
		}
		return response{quarantine.Report{Blames: unknown}}, nil
	})
}

// Run sends, writes and reads evidence until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return runEvery(ctx, s.config.Interval, s.Publish) })
	tasks.Go(func() error { return runEvery(ctx, s.config.ReadInterval, s.mergeFromTable) })
	tasks.Go(func() error { return s.sync(ctx) })
	tasks.Go(func() error { return s.writeAll(ctx) })
	_ = tasks.Wait()
}

func runEvery(ctx context.Context, interval time.Duration, work func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Publish sends new evidence to the other entries and returns when they have received it or SendTimeout has
// passed. An entry publishes before it responds to the client of a request whose connection to the target
// broke, so that a retry through another entry finds the evidence there.
func (s *Service) Publish(ctx context.Context) {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	batch := s.config.Tracker.TakeEvidence()
	report, cleared := s.config.Tracker.TakeReport()
	s.storeChanges(batch, report, cleared)
	if len(batch) == 0 && report.IsEmpty() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.SendTimeout)
	defer cancel()
	var sends errgroup.Group
	sends.SetLimit(maxParallelSends)
	for _, address := range s.peerAddresses() {
		sends.Go(func() error { return s.send(ctx, address, message{Evidence: batch, Report: report}) })
	}
	_ = sends.Wait()
}

func (s *Service) peerAddresses() []netip.AddrPort {
	self := s.config.Members.Self().VM
	var addresses []netip.AddrPort
	for _, m := range s.config.Members.Members() {
		if m.VM == self || m.State == member.Dead {
			continue
		}
		if address, err := netip.ParseAddrPort(m.EntryPeers); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (s *Service) send(ctx context.Context, address netip.AddrPort, m message) error {
	var r response
	if err := s.config.Caller.Call(ctx, address, MethodMerge, m, &r); err != nil {
		s.failed.Inc()
		s.config.Log.Debug().Err(err).Stringer("address", address).Msg("evidence not sent to entry")
		return err
	}
	s.sent.Inc()
	s.config.Tracker.MergeReport("", r.Report)
	return nil
}

// sync exchanges the blamed groups with one other VM at a time.
func (s *Service) sync(ctx context.Context) error {
	wait := firstSyncRetry
	for {
		if addresses := s.peerAddresses(); len(addresses) > 0 {
			callCtx, cancel := context.WithTimeout(ctx, s.config.SendTimeout)
			m := message{Report: quarantine.Report{Blames: s.config.Tracker.Blames()}, WantBlames: true}
			if s.send(callCtx, addresses[rand.IntN(len(addresses))], m) == nil {
				wait = s.config.SyncInterval
			}
			cancel()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// tableChange is a row of the table to be written, or to be deleted if there is no evidence.
type tableChange struct {
	id       uint64
	evidence *quarantine.Evidence
}

// storeChanges queues the changes of what is quarantined for writing. Suspects are not written, because they are many and
// short-lived.
func (s *Service) storeChanges(batch []quarantine.Evidence, report quarantine.Report, cleared []uint64) {
	for _, e := range batch {
		if s.config.Tracker.QuarantineStatus(e.Fingerprint) == quarantine.Quarantined {
			s.enqueue(tableChange{e.Fingerprint, &e})
		}
	}
	for _, b := range report.Blames {
		s.config.Log.Warn().Uint64("group", b.ID()).Uints64("keys", b.Keys).Int("times", b.Times).
			Msg("targets crash under requests that hold these keys; such requests will be refused")
		s.enqueue(tableChange{b.ID(), &quarantine.Evidence{Fingerprint: b.ID(), Blame: &b}})
	}
	for _, id := range cleared {
		s.config.Log.Info().Uint64("group", id).Msg("a target answered a request that holds a blamed key; the group is no longer refused")
		s.enqueue(tableChange{id: id})
	}
}

func (s *Service) enqueue(change tableChange) {
	select {
	case s.writeQueue <- change:
	default:
		s.config.Log.Warn().Uint64("id", change.id).Msg("quarantine not written: write queue is full; VMs that start later do not learn of it")
	}
}

func (s *Service) writeAll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case change := <-s.writeQueue:
			if err := s.writeWithRetry(ctx, change); err != nil {
				s.config.Log.Warn().Err(err).Uint64("id", change.id).Msg("quarantine not written; VMs that start later do not learn of it")
			}
		}
	}
}

// writeWithRetry writes a change until it succeeds or WriteTimeout has passed. A call that hangs takes a part of that only.
func (s *Service) writeWithRetry(ctx context.Context, change tableChange) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.WriteTimeout)
	defer cancel()
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, s.config.WriteTimeout/writeCalls)
		err := s.write(callCtx, change)
		hung := callCtx.Err() != nil
		cancelCall()
		if err == nil || !hung || ctx.Err() != nil {
			return err
		}
	}
}

// write creates or deletes the row of what is quarantined. A row already created by another VM counts as success.
func (s *Service) write(ctx context.Context, change tableChange) error {
	key := rowKey(change.id)
	if change.evidence == nil {
		return s.deleteRow(ctx, key)
	}
	value, err := cbor.Marshal(change.evidence)
	if err != nil {
		return fmt.Errorf("encode evidence: %w", err)
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
	err = platform.CommitWithRetry(ctx, s.config.Table, txn, func(rows []platform.Row) bool { return rows[0].Version != 0 })
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// deleteRow deletes a row at the version that it has now. One that has changed since was blamed again.
func (s *Service) deleteRow(ctx context.Context, key string) error {
	rows, err := s.config.Table.Get(ctx, key)
	if err != nil || rows[0].Version == 0 {
		return err
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: rows[0].Version}},
		Writes:     []platform.Write{{Key: key, Delete: true}},
	}
	err = platform.CommitWithRetry(ctx, s.config.Table, txn, func(rows []platform.Row) bool { return rows[0].Version == 0 })
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

func rowKey(fingerprint uint64) string { return fmt.Sprintf("%s%016x", rowPrefix, fingerprint) }

// mergeFromTable merges the quarantines in the table into the tracker.
func (s *Service) mergeFromTable(ctx context.Context) {
	rows, err := s.config.Table.Scan(ctx, rowPrefix, "", maxReadRows)
	if err != nil {
		return
	}
	var batch []quarantine.Evidence
	for _, row := range rows {
		var e quarantine.Evidence
		if err := cbor.Unmarshal(row.Value, &e); err != nil {
			s.config.Log.Warn().Err(err).Str("key", row.Key).Msg("stored quarantine not decoded; it is ignored")
			continue
		}
		if len(e.Targets) > maxStoredNames || e.Blame != nil && len(e.Blame.Keys) > maxStoredNames {
			s.config.Log.Warn().Str("key", row.Key).Int("targets", len(e.Targets)).Msg("stored quarantine has too many targets or keys; it is ignored")
			continue
		}
		if e.Blame != nil {
			s.config.Tracker.MergeStored(*e.Blame)
			continue
		}
		batch = append(batch, e)
	}
	if len(batch) > 0 {
		s.config.Tracker.MergeEvidence(batch)
	}
}
