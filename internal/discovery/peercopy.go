package discovery

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	store "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// methodCopy asks a VM for its copy of the configuration and registry: copyRequest to copyResponse.
	methodCopy peer.Method = "discovery.copy"
	// copyDelay is how long the store has to answer after the start before peers are asked: enough for many calls, which
	// take milliseconds each.
	copyDelay = 300 * time.Millisecond
	// copyRetryInterval is the time between two attempts.
	copyRetryInterval = 300 * time.Millisecond
	// copyTimeout bounds one attempt. It allows for several round trips between availability zones.
	copyTimeout = 250 * time.Millisecond
)

var copiesAdopted = metrics.NewCounter(`rosemarydyke_discovery_copies_total`)

// Node is the transport to peer VMs.
type Node interface {
	Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error
	HandleCall(method peer.Method, handler peer.CallHandler)
}

// copyRequest asks for a copy. Builds before client accounts ignore its fields, and send an empty one.
type copyRequest struct {
	// KnownVersion is the version of the configuration that the sender has. The row of that version or an earlier one is not sent.
	KnownVersion uint64 `cbor:"1,keyasint,omitempty"`
	// ConfigOnly means that the registry is not needed.
	ConfigOnly bool `cbor:"2,keyasint,omitempty"`
}

// copyResponse holds a VM's copy of the configuration and registry, as read from the store.
type copyResponse struct {
	// Config is the row of the current configuration; empty when none is known.
	Config []byte `cbor:"1,keyasint,omitempty"`
	// Targets holds the rows of the registry by key; nil when it has not been read.
	Targets map[string][]byte `cbor:"2,keyasint"`
	// Version is the version of the VM's configuration, and Age the time since the store was asked for what confirms it. Age is nil
	// if that is not known. Builds before client accounts send neither.
	Version uint64         `cbor:"3,keyasint,omitempty"`
	Age     *time.Duration `cbor:"4,keyasint,omitempty"`
}

// handleCopy returns this VM's copy to a peer.
func (s *Service) handleCopy(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var request copyRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := copyResponse{}
	// The configuration is read after its confirmation, so that it is at least as recent.
	if confirmation := s.Confirmation(); confirmation.Known {
		response.Age = &confirmation.Age
	}
	if table := s.table.Load(); table != nil {
		response.Version = table.Version
	}
	if response.Version > request.KnownVersion || request.KnownVersion == 0 {
		response.Config = s.configRow
	}
	if s.registryLoaded && !request.ConfigOnly {
		response.Targets = make(map[string][]byte, len(s.targets))
		for id := range s.targets {
			response.Targets[id] = s.targetRows[id]
		}
	}
	return response, nil
}

// copyFromPeers asks one random peer after another until configuration and registry are loaded, so that a VM that starts
// during an outage of the store can serve with the state of its peers. Where API keys need a recent configuration, it goes on
// whenever that of this VM gets old.
func (s *Service) copyFromPeers(ctx context.Context) {
	if s.config.Node == nil {
		return
	}
	for wait := copyDelay; s.config.Revocation.Bound > 0 || !s.isLoaded(); wait = copyRetryInterval {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		peers := s.config.Peers()
		if len(peers) == 0 || s.isLoaded() && s.Listed() {
			continue
		}
		from := peers[rand.IntN(len(peers))]
		callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		var response copyResponse
		asked := s.config.Clock()
		err := s.config.Node.Call(callCtx, from, methodCopy, s.copyRequest(), &response)
		cancel()
		if err != nil {
			s.config.Log.Debug().Err(err).Stringer("from", from).Msg("configuration and registry not copied from peer, trying another")
			continue
		}
		s.adoptCopy(from, response)
		s.confirmCopy(asked, response)
	}
}

// copyRequest returns the request for what this VM lacks.
func (s *Service) copyRequest() copyRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := copyRequest{ConfigOnly: s.registryLoaded}
	if table := s.table.Load(); table != nil {
		request.KnownVersion = table.Version
	}
	return request
}

// confirmCopy records the age of a peer's configuration for that of this VM, if that is of the same version or a later one.
func (s *Service) confirmCopy(asked time.Duration, response copyResponse) {
	table := s.table.Load()
	if table == nil || response.Version == 0 || table.Version < response.Version || response.Age == nil {
		return
	}
	s.confirmations.Copied(asked, account.Confirmation{Age: *response.Age, Known: true})
}

// isLoaded reports whether both a configuration and the registry are known.
func (s *Service) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load() != nil && s.registryLoaded
}

// adoptCopy adopts what is not known yet. Later reads from the store replace it.
func (s *Service) adoptCopy(from netip.AddrPort, response copyResponse) {
	if len(response.Config) > 0 {
		s.readConfig([]store.TableRow{{RowKey: store.RowKey{Table: platform.OperatorTable, Key: platform.ConfigKey}, Value: response.Config}})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registryLoaded || response.Targets == nil {
		return
	}
	rows := make([]store.TableRow, 0, len(response.Targets))
	for id, value := range response.Targets {
		rows = append(rows, store.TableRow{RowKey: store.RowKey{Table: platform.TargetTable, Key: id}, Value: value})
	}
	s.replaceLocked(rows)
	copiesAdopted.Inc()
	s.config.Log.Info().Stringer("from", from).Int("targets", len(rows)).Msg("store unavailable, registry copied from peer")
}
