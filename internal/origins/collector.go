package origins

import (
	"context"
	"net/netip"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// collector returns the VM that writes the origins of a shard to the store.
func (s *Service) collector(shard int) (netip.AddrPort, bool) {
	key := shardPrefix(shard)
	self := s.config.Members.Self().VM
	best := s.rankedPeers(key, 1)
	if len(best) == 0 || best[0].rank < target.Rank(key, self) {
		return netip.AddrPort{}, true
	}
	return best[0].address, false
}

// askStore looks for the origin of an attempt in the store, by way of the collector of its shard, so that a shard is read
// once after a loss of all VMs.
func (s *Service) askStore(ctx context.Context, request findRequest) (findResponse, error) {
	if to, self := s.collector(shardOf(request.Attempt)); !self {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		var response findResponse
		err := s.config.Node.Call(callCtx, to, methodFind, request, &response)
		if err == nil && (response.Known || response.StoreRead) {
			return response, nil
		}
	}
	o, known, read := s.stored.find(ctx, request.Attempt)
	return findResponse{Known: known, Origin: o, StoreRead: read}, nil
}

func (s *Service) onStore(from peer.Identity, decode func(any) error) {
	var m recordMessage
	if err := decode(&m); err != nil {
		s.config.Log.Warn().Err(err).Str("from", from.VM).Msg("origin of a stream not decoded; not stored")
		return
	}
	s.stored.add(storedOrigin{Attempt: hashOf(m.Attempt), Origin: m.Origin})
}
