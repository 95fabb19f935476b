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

// fetchRequest asks for what follows a revision.
type fetchRequest struct {
	After uint64 `cbor:"1,keyasint"`
}

// fetchAnswer holds the revisions after the one asked for, or an image when they are too many.
type fetchAnswer struct {
	// Newest is the revision in force at the answering peer.
	Newest uint64 `cbor:"1,keyasint"`
	// Known is the newest revision that the answering peer has heard of.
	Known     uint64               `cbor:"4,keyasint"`
	Revisions []*settings.Revision `cbor:"2,keyasint,omitempty"`
	Image     *settings.Image      `cbor:"3,keyasint,omitempty"`
}

// Register lets peers fetch revisions from this watcher.
func (w *Watcher) Register(registrar peer.Registrar) {
	registrar.HandleCall(MethodFetch, func(_ context.Context, from peer.Identity, decode func(any) error) (any, error) {
		var request fetchRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		// The question tells of a newer revision as well as the answer does.
		w.ObserveRevision(request.After, from.Address)
		return w.answer(request), nil
	})
	registrar.HandleCall(MethodOffer, func(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
		var offer fetchAnswer
		if err := decode(&offer); err != nil {
			return nil, err
		}
		return w.accept(offer)
	})
}

// accept takes an offered revision and answers with the one in force afterwards. An offer that does
// not follow is only noted; the peer then offers what lacks.
func (w *Watcher) accept(offer fetchAnswer) (fetchRequest, error) {
	if err := w.take(offer); err != nil {
		return fetchRequest{}, err
	}
	w.ObserveRevision(offer.Newest, netip.AddrPort{})
	return fetchRequest{After: w.Current().Revision}, nil
}

func (w *Watcher) answer(request fetchRequest) fetchAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	snapshot := w.current.Load()
	answer := fetchAnswer{Newest: snapshot.Revision, Known: max(snapshot.Revision, w.wanted.Load())}
	if request.After >= snapshot.Revision {
		return answer
	}
	for _, revision := range w.recent {
		if revision.Number > request.After {
			answer.Revisions = append(answer.Revisions, revision)
		}
	}
	if uint64(len(answer.Revisions)) != snapshot.Revision-request.After {
		image := snapshot.Image()
		answer.Revisions = nil
		answer.Image = &image
	}
	return answer
}

// pollPeer asks one random peer for newer revisions.
func (w *Watcher) pollPeer(ctx context.Context) {
	peers := w.config.Peers()
	if len(peers) == 0 {
		return
	}
	w.ask(ctx, peers[rand.IntN(len(peers))])
}

// ask asks one peer for newer revisions. An answer confirms the revision in force, for the peer
// would have named a newer one that it knows.
func (w *Watcher) ask(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := time.Now()
	var answer fetchAnswer
	request := fetchRequest{After: w.Current().Revision}
	if err := w.config.Caller.Call(ctx, address, MethodFetch, request, &answer); err != nil {
		failedPolls.Inc()
		w.config.Log.Debug().Err(err).Stringer("peer", address).Msg("settings: a peer did not answer")
		return
	}
	if err := w.take(answer); err != nil {
		w.config.Log.Error().Err(err).Stringer("peer", address).Msg("settings: a peer's revision does not apply")
		return
	}
	w.ObserveRevision(answer.Known, address)
	current := w.Current().Revision
	// A peer that knows no revision may have started in the same outage and confirms nothing.
	if current > 0 && answer.Newest >= current {
		w.confirm(asked)
	}
}

// Replicate offers the revision in force to the configured addresses at once, so that it outlives
// this VM even while the table is down.
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
				w.config.Log.Warn().Err(err).Stringer("peer", address).Msg("settings: a peer took no offer")
			}
		})
	}
	group.Wait()
}

// Offer sends the revision in force to the peer at address, if that is behind it.
func (w *Watcher) Offer(ctx context.Context, address netip.AddrPort) error {
	var state fetchRequest
	if err := w.config.Caller.Call(ctx, address, MethodOffer, w.answer(fetchRequest{After: w.Current().Revision}), &state); err != nil {
		return err
	}
	if state.After >= w.Current().Revision {
		return nil
	}
	return w.config.Caller.Call(ctx, address, MethodOffer, w.answer(state), &state)
}

func (w *Watcher) take(answer fetchAnswer) error {
	if answer.Image != nil {
		next, err := settings.FromImage(*answer.Image)
		if err != nil {
			return err
		}
		w.advance(next, nil)
		return nil
	}
	next := w.Current()
	for _, revision := range answer.Revisions {
		if revision.Number <= next.Revision {
			continue
		}
		var err error
		if next, err = next.Apply(revision); err != nil {
			return err
		}
	}
	w.advance(next, answer.Revisions)
	return nil
}
