// Package evidence spreads what one entry learns of requests that crash targets: to the other entries at
// once, and to the platform's table, from which VMs that were away read it later.
package evidence

import (
	"context"
	"errors"
	"fmt"
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

// MethodMerge gives evidence to an entry: message to struct{}.
const MethodMerge peer.Method = "quarantine.evidence"

// Tracker decides about requests. *controller.Controller implements it.
type Tracker interface {
	// TakeEvidence removes and returns the evidence that is due to be sent.
	TakeEvidence() []quarantine.Evidence
	// MergeEvidence adds evidence of other VMs.
	MergeEvidence(evidence []quarantine.Evidence)
	// QuarantineStatus returns what is known of a fingerprint.
	QuarantineStatus(fingerprint uint64) quarantine.Status
}

// Caller reaches the other entries.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error
}

// Registrar takes the handler of evidence.
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

	// Interval is the time between two looks for new evidence. Default 25ms.
	Interval time.Duration
	// ReadInterval is the time between two readings of the table. Default 10s.
	ReadInterval time.Duration
	// SendTimeout bounds the sending of evidence to the other entries. Default 300ms.
	SendTimeout time.Duration
	// WriteTimeout bounds the writing of evidence to the table. Default 30s.
	WriteTimeout time.Duration
}

const (
	defaultInterval     = 25 * time.Millisecond
	defaultReadInterval = 10 * time.Second
	defaultSendTimeout  = 300 * time.Millisecond
	defaultWriteTimeout = 30 * time.Second
	// maxParallelSends bounds the entries that evidence is sent to at once.
	maxParallelSends = 32
	// readLimit bounds the rows of one reading.
	readLimit = 1000
	// maxPendingWrites bounds the evidence that waits to be written.
	maxPendingWrites = 256
	rowPrefix        = "quarantine/"
)

func (c *Config) setDefaults() {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.ReadInterval == 0 {
		c.ReadInterval = defaultReadInterval
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
}

// Service spreads evidence.
type Service struct {
	config Config
	// publishing makes Publish wait for evidence that another call has taken and not sent yet.
	publishing sync.Mutex
	writes     chan quarantine.Evidence
	sent       *metrics.Counter
	unsent     *metrics.Counter
}

// New returns a service.
func New(config Config) *Service {
	config.setDefaults()
	return &Service{
		config: config,
		writes: make(chan quarantine.Evidence, maxPendingWrites),
		sent:   metrics.GetOrCreateCounter("rosemarydyke_quarantine_evidence_sent_total"),
		unsent: metrics.GetOrCreateCounter("rosemarydyke_quarantine_evidence_failed_total"),
	}
}

// Register takes the evidence of other entries.
func (s *Service) Register(registrar Registrar) {
	registrar.HandleCall(MethodMerge, func(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
		var m message
		if err := decode(&m); err != nil {
			return nil, err
		}
		s.config.Tracker.MergeEvidence(m.Evidence)
		return struct{}{}, nil
	})
}

// Run spreads and reads evidence until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return every(ctx, s.config.Interval, s.Publish) })
	tasks.Go(func() error { return every(ctx, s.config.ReadInterval, s.read) })
	tasks.Go(func() error { return s.writeAll(ctx) })
	_ = tasks.Wait()
}

func every(ctx context.Context, interval time.Duration, work func(context.Context)) error {
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

// Publish sends new evidence to the other entries and returns when they have it or the time is up. An
// entry publishes before it answers the caller of a request that was cut off, so that the caller's
// next try through another entry finds the evidence there.
func (s *Service) Publish(ctx context.Context) {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	batch := s.config.Tracker.TakeEvidence()
	if len(batch) == 0 {
		return
	}
	for _, e := range batch {
		s.enqueueWrite(e)
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.SendTimeout)
	defer cancel()
	var sends errgroup.Group
	sends.SetLimit(maxParallelSends)
	for _, address := range s.others() {
		sends.Go(func() error { return s.send(ctx, address, batch) })
	}
	_ = sends.Wait()
}

func (s *Service) others() []netip.AddrPort {
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

func (s *Service) send(ctx context.Context, address netip.AddrPort, batch []quarantine.Evidence) error {
	var answer struct{}
	if err := s.config.Caller.Call(ctx, address, MethodMerge, message{batch}, &answer); err != nil {
		s.unsent.Inc()
		s.config.Log.Debug().Err(err).Stringer("address", address).Msg("evidence not sent")
		return err
	}
	s.sent.Inc()
	return nil
}

// enqueueWrite hands evidence of a quarantine to the writer. Suspects are not written: they are many and short-lived.
func (s *Service) enqueueWrite(e quarantine.Evidence) {
	if s.config.Tracker.QuarantineStatus(e.Fingerprint) != quarantine.Quarantined {
		return
	}
	select {
	case s.writes <- e:
	default:
		s.config.Log.Warn().Msg("quarantine not written: too many wait")
	}
}

func (s *Service) writeAll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-s.writes:
			if err := s.write(ctx, e); err != nil {
				s.config.Log.Warn().Err(err).Uint64("fingerprint", e.Fingerprint).Msg("quarantine not written")
			}
		}
	}
}

// write creates the row of a quarantined fingerprint. A row that another VM has created is as good.
func (s *Service) write(ctx context.Context, e quarantine.Evidence) error {
	value, err := cbor.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode evidence: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.WriteTimeout)
	defer cancel()
	key := rowKey(e.Fingerprint)
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

func rowKey(fingerprint uint64) string { return fmt.Sprintf("%s%016x", rowPrefix, fingerprint) }

// read merges the quarantines that the table holds.
func (s *Service) read(ctx context.Context) {
	rows, err := s.config.Table.Scan(ctx, rowPrefix, "", readLimit)
	if err != nil {
		return
	}
	var batch []quarantine.Evidence
	for _, row := range rows {
		var e quarantine.Evidence
		if cbor.Unmarshal(row.Value, &e) == nil {
			batch = append(batch, e)
		}
	}
	if len(batch) > 0 {
		s.config.Tracker.MergeEvidence(batch)
	}
}
