package jobstore

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// MethodCancelled notifies a batch process that a job was cancelled. It takes a Cancelled and returns struct{}.
const MethodCancelled = "batch.cancelled"

// Cancelled names a job that was cancelled.
type Cancelled struct {
	Job string `cbor:"1,keyasint"`
}

const (
	announceTimeout = 2 * time.Second
	// maxAnnounceCalls is the maximum number of concurrent calls.
	maxAnnounceCalls = 32
)

// AnnounceCancel notifies the batch processes of all members that a job was cancelled, so that they
// stop before they next read the job's row, and even while they cannot read it. It returns when
// all have responded, or after two seconds. Failed calls are not retried: a batch process that was not
// notified finds the cancellation when it reads the row.
func AnnounceCancel(ctx context.Context, caller peer.Caller, members []member.Member, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxAnnounceCalls)
	for _, m := range members {
		to, err := netip.ParseAddrPort(m.BatchPeers)
		if err != nil {
			continue
		}
		group.Go(func() error { return caller.Call(ctx, to, MethodCancelled, Cancelled{Job: id}, &struct{}{}) })
	}
	_ = group.Wait()
}
