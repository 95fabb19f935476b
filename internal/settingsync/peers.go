package settingsync

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// fetchRequest asks for the revisions after a revision.
type fetchRequest struct {
	After uint64 `cbor:"1,keyasint"`
}

// fetchResponse holds the revisions after the requested one, or an image if the peer does not have all of them.
type fetchResponse struct {
	// Newest is the revision in force on the peer.
	Newest uint64 `cbor:"1,keyasint"`
	// Known is the newest revision number that the peer knows of.
	Known     uint64               `cbor:"4,keyasint"`
	Revisions []*settings.Revision `cbor:"2,keyasint,omitempty"`
	Image     *settings.Image      `cbor:"3,keyasint,omitempty"`
}

// Register registers the handlers by which peers fetch revisions from this watcher and offer revisions to it.
func (w *Watcher) Register(registrar peer.Registrar) {
	registrar.HandleCall(MethodFetch, func(_ context.Context, from peer.Identity, decode func(any) error) (any, error) {
		var request fetchRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		// The request reveals the peer's revision, which may be newer.
		w.ObserveRevision(request.After, from.Address)
		return w.responseTo(request), nil
	})
	registrar.HandleCall(MethodOffer, func(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
		var offer fetchResponse
		if err := decode(&offer); err != nil {
			return nil, err
		}
		return w.handleOffer(offer)
	})
}

// handleOffer applies the offered revisions and returns the revision in force afterwards. If it is still older than the
// peer's, the peer offers the missing revisions.
func (w *Watcher) handleOffer(offer fetchResponse) (fetchRequest, error) {
	if err := w.adopt(offer); err != nil {
		return fetchRequest{}, err
	}
	w.ObserveRevision(offer.Newest, netip.AddrPort{})
	return fetchRequest{After: w.Current().Revision}, nil
}

// responseTo returns the revisions after the requested one, or an image if they are not all in recent.
func (w *Watcher) responseTo(request fetchRequest) fetchResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	snapshot := w.current.Load()
	response := fetchResponse{Newest: snapshot.Revision, Known: max(snapshot.Revision, w.newestKnown.Load())}
	if request.After >= snapshot.Revision {
		return response
	}
	for _, revision := range w.recent {
		if revision.Number > request.After {
			response.Revisions = append(response.Revisions, revision)
		}
	}
	if uint64(len(response.Revisions)) != snapshot.Revision-request.After {
		image := snapshot.Image()
		response.Revisions = nil
		response.Image = &image
	}
	return response
}

// pollPeer fetches newer revisions from one random peer.
func (w *Watcher) pollPeer(ctx context.Context) {
	peers := w.config.Peers()
	if len(peers) == 0 {
		return
	}
	w.fetchFrom(ctx, peers[rand.IntN(len(peers))])
}

// fetchFrom fetches newer revisions from one peer. A response confirms the revision in force, because the peer would
// have returned a newer revision that it knows of.
func (w *Watcher) fetchFrom(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := time.Now()
	var response fetchResponse
	request := fetchRequest{After: w.Current().Revision}
	if err := w.config.Caller.Call(ctx, address, MethodFetch, request, &response); err != nil {
		failedPolls.Inc()
		w.config.Log.Debug().Err(err).Stringer("peer", address).Msg("settings: no response from peer; nothing fetched from it")
		return
	}
	if err := w.adopt(response); err != nil {
		w.config.Log.Error().Err(err).Stringer("peer", address).Msg("settings: cannot apply revisions of peer; keeping the revision in force")
		return
	}
	w.ObserveRevision(response.Known, address)
	current := w.Current().Revision
	// A peer at revision zero may have started during the same outage, so it confirms nothing.
	if current > 0 && response.Newest >= current {
		w.confirm(sent)
	}
}

// Replicate offers the revision in force to the addresses of Config.ReplicateTo concurrently, so that it survives
// the loss of this VM even while the table is unavailable.
func (w *Watcher) Replicate(ctx context.Context) {
	if w.config.ReplicateTo == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range w.config.ReplicateTo(ctx) {
		group.Go(func() {
			if err := w.Offer(ctx, address); err != nil {
				w.config.Log.Warn().Err(err).Stringer("peer", address).Msg("settings: cannot replicate revision to peer; the peer has to fetch it")
			}
		})
	}
	group.Wait()
}

// Offer announces the revision in force to the peer at address, and then sends the revisions that the peer lacks.
func (w *Watcher) Offer(ctx context.Context, address netip.AddrPort) error {
	var state fetchRequest
	if err := w.config.Caller.Call(ctx, address, MethodOffer, w.responseTo(fetchRequest{After: w.Current().Revision}), &state); err != nil {
		return err
	}
	if state.After >= w.Current().Revision {
		return nil
	}
	return w.config.Caller.Call(ctx, address, MethodOffer, w.responseTo(state), &state)
}

// adopt puts the revisions or the image of update in force if they are newer.
func (w *Watcher) adopt(update fetchResponse) error {
	if update.Image != nil {
		next, err := settings.FromImage(*update.Image)
		if err != nil {
			return err
		}
		w.advance(next, nil)
		return nil
	}
	next := w.Current()
	for _, revision := range update.Revisions {
		if revision.Number <= next.Revision {
			continue
		}
		var err error
		if next, err = next.Apply(revision); err != nil {
			return err
		}
	}
	w.advance(next, update.Revisions)
	return nil
}
