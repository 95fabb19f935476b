package batchjobs_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// latentRows is a store that takes a while to respond.
type latentRows struct {
	rowstore.Rows
	latency time.Duration
}

func (r latentRows) Read(ctx context.Context, table, part string, keys rowstore.KeyRange) (rowstore.Page, error) {
	time.Sleep(r.latency)
	return r.Rows.Read(ctx, table, part, keys)
}

func (r latentRows) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	page, err := r.Rows.Follow(ctx, table, after, wait)
	time.Sleep(r.latency)
	return page, err
}

func (r latentRows) Apply(ctx context.Context, txn rowstore.RowTxn) (uint64, error) {
	time.Sleep(r.latency)
	return r.Rows.Apply(ctx, txn)
}

// Submissions to one route that came together at several VMs were refused, because each had lost against another one for half
// a second.
func TestSubmissionsThatComeTogetherAreAccepted(t *testing.T) {
	const vms, perVM = 6, 8
	c := newCluster(t, 1_000_000)
	var started []*vm
	for i := range vms {
		v := c.start(fmt.Sprintf("vm-%d", i), latentRows{c.state, 5 * time.Millisecond})
		c.submitUntilAccepted(v, fmt.Sprintf("first-%d", i), 1)
		started = append(started, v)
	}
	statuses := make([]int, vms*perVM)
	var clients sync.WaitGroup
	began := time.Now()
	for i := range statuses {
		clients.Go(func() {
			job := fmt.Sprintf("j%d", i)
			statuses[i] = started[i%vms].submit(c.config, job, body(job, 1, 10)).Code
		})
	}
	clients.Wait()
	took := time.Since(began)
	refused := 0
	for _, status := range statuses {
		if status != http.StatusAccepted {
			refused++
		}
	}
	qt.Assert(t, refused, qt.Equals, 0, qt.Commentf("of %d, in %s", len(statuses), took))
	// The store accepts them one after the other, each with a transaction and a change that the others read.
	qt.Assert(t, took < 2*time.Second, qt.IsTrue, qt.Commentf("%s", took))
}
