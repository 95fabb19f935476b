package discovery

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	store "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// methodCopy asks a VM for what it knows: struct{} to copyAnswer.
	methodCopy peer.Method = "discovery.copy"
	// copyAfter is how long after the start the store has to answer itself: many of its calls, which take milliseconds.
	copyAfter = 300 * time.Millisecond
	// copyRetry is the time between two tries.
	copyRetry = 300 * time.Millisecond
	// copyTimeout bounds one try: some round trips between availability zones.
	copyTimeout = 250 * time.Millisecond
)

var copiesTaken = metrics.NewCounter(`rosemarydyke_discovery_copies_total`)

// Node is the transport to other VMs.
type Node interface {
	Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error
	HandleCall(method peer.Method, handler peer.CallHandler)
}

// copyAnswer is what a VM knows, as it was read from the store.
type copyAnswer struct {
	// Config is the row of the configuration in force; empty when none is known.
	Config []byte `cbor:"1,keyasint,omitempty"`
	// Targets are the rows of the registry by key; nil when it has not been read.
	Targets map[string][]byte `cbor:"2,keyasint"`
}

// handleCopy tells another VM what this one knows.
func (s *Service) handleCopy(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var request struct{}
	if err := decode(&request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := copyAnswer{Config: s.configRow}
	if s.registered {
		answer.Targets = make(map[string][]byte, len(s.targets))
		for id := range s.targets {
			answer.Targets[id] = s.targetRows[id]
		}
	}
	return answer, nil
}

// copyFromOthers asks other VMs, one after the other, while the store does not tell this VM anything. A VM that starts
// while the store is away serves with what the others serve with.
func (s *Service) copyFromOthers(ctx context.Context) {
	if s.config.Node == nil {
		return
	}
	for wait := copyAfter; !s.isInformed(); wait = copyRetry {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		others := s.config.Peers()
		if len(others) == 0 || s.isInformed() {
			continue
		}
		from := others[rand.IntN(len(others))]
		call, cancel := context.WithTimeout(ctx, copyTimeout)
		var answer copyAnswer
		err := s.config.Node.Call(call, from, methodCopy, struct{}{}, &answer)
		cancel()
		if err != nil {
			s.config.Log.Debug().Err(err).Stringer("from", from).Msg("what another VM knows cannot be read")
			continue
		}
		s.takeCopy(from, answer)
	}
}

// isInformed reports whether a configuration and the registry are known.
func (s *Service) isInformed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load() != nil && s.registered
}

// takeCopy takes what is not known yet. What the store tells replaces it.
func (s *Service) takeCopy(from netip.AddrPort, answer copyAnswer) {
	if len(answer.Config) > 0 {
		s.readConfig([]store.TableRow{{RowKey: store.RowKey{Table: platform.OperatorTable, Key: platform.ConfigKey}, Value: answer.Config}})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registered || answer.Targets == nil {
		return
	}
	rows := make([]store.TableRow, 0, len(answer.Targets))
	for id, value := range answer.Targets {
		rows = append(rows, store.TableRow{RowKey: store.RowKey{Table: platform.TargetTable, Key: id}, Value: value})
	}
	s.replaceLocked(rows)
	copiesTaken.Inc()
	s.config.Log.Info().Stringer("from", from).Int("targets", len(rows)).Msg("registry taken from another VM, the store does not answer")
}
