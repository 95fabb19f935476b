package ingress_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/internal/usage"
)

// fakeUsage allows a number of requests.
type fakeUsage struct {
	mu sync.Mutex
	// left is the number of requests that are still allowed, if limited.
	left              int
	limited           bool
	counted, returned int
}

func (u *fakeUsage) Acquire(_ context.Context, a *account.Account) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limited && u.left == 0 {
		return &usage.OverLimitError{Account: a.Name, RetryAfter: 250 * time.Millisecond}
	}
	u.left--
	u.counted++
	return nil
}

func (u *fakeUsage) Return(*account.Account) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.left++
	u.returned++
}

// Guards against requests beyond a usage limit that reach a target, and against limits that are used up by requests that did not run.
func TestUsageLimitOfAnAccount(t *testing.T) {
	f := startWithAccounts(t)
	f.usage.limited, f.usage.left = true, 2
	send := func(path string, authorization ...string) int {
		response, id := f.sendAs(t, http.MethodPost, f.table.Load().Routes[0].Host, path, authorization...)
		if response.status == http.StatusTooManyRequests {
			reached, _ := f.reached(t, id)
			qt.Assert(t, reached, qt.IsFalse)
			qt.Assert(t, response.header.Get("Retry-After"), qt.Equals, "0.250")
		}
		return response.status
	}
	qt.Assert(t, send("/once/", "Bearer "+validKey), qt.Equals, http.StatusOK)
	// Both targets refuse the request, which therefore does not count.
	f.inject(streamtarget.Shed)
	qt.Assert(t, send("/once/", "Bearer "+validKey), qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, f.usage.returned, qt.Equals, 1)
	// The targets are ejected for 400 ms.
	time.Sleep(time.Second)
	qt.Assert(t, send("/once/", "Bearer "+validKey), qt.Equals, http.StatusOK)
	qt.Assert(t, send("/once/", "Bearer "+validKey), qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, send("/public/"), qt.Equals, http.StatusOK)
	qt.Assert(t, f.usage.counted, qt.Equals, 3)
}
