package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// RPC methods of the state sync.
const (
	methodSync peer.Method = "member.sync"
	methodPush peer.Method = "member.push"
)

// syncTimeout bounds one state sync.
const syncTimeout = 3 * time.Second

// syncRequest asks for the receiver's state unless its digest is equal.
type syncRequest struct {
	Digest uint64 `cbor:"1,keyasint"`
}

// syncResponse holds the responder's state. Members is empty when the digests are equal.
type syncResponse struct {
	Digest  uint64          `cbor:"1,keyasint"`
	From    string          `cbor:"2,keyasint"`
	Members []member.Member `cbor:"3,keyasint,omitempty"`
}

// pushRequest sends the sender's state to the receiver.
type pushRequest struct {
	Members []member.Member `cbor:"1,keyasint"`
}

// startSync runs a state sync in the background, at most one at a time for each address.
func (s *Service) startSync(to string) {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return
	}
	if _, ok := s.syncing[to]; ok || s.ctx.Err() != nil {
		return
	}
	s.syncing[to] = struct{}{}
	s.tasks.Go(func() {
		if err := s.sync(address); err != nil {
			s.cfg.Log.Debug().Err(err).Str("address", to).Msg("membership state sync failed")
		}
		s.mu.Lock()
		delete(s.syncing, to)
		s.mu.Unlock()
	})
}

func (s *Service) sync(to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(s.ctx, syncTimeout)
	defer cancel()
	var response syncResponse
	if err := s.cfg.Node.Call(ctx, to, methodSync, syncRequest{Digest: s.digest()}, &response); err != nil {
		return err
	}
	if len(response.Members) == 0 {
		return nil
	}
	s.handle(member.Synced{From: response.From, Members: response.Members})
	if s.digest() == response.Digest {
		return nil
	}
	return s.cfg.Node.Call(ctx, to, methodPush, pushRequest{Members: s.snapshot()}, nil)
}

func (s *Service) digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Digest()
}

func (s *Service) snapshot() []member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Snapshot()
}

func (s *Service) handleSync(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var request syncRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := syncResponse{Digest: s.machine.Digest(), From: s.cfg.Self.VM}
	if response.Digest != request.Digest {
		response.Members = s.machine.Snapshot()
	}
	return response, nil
}

func (s *Service) handlePush(_ context.Context, from peer.Identity, decode func(any) error) (any, error) {
	var request pushRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	s.handle(member.Synced{From: from.VM, Members: request.Members})
	return struct{}{}, nil
}
