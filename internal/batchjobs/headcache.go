package batchjobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	wire "github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// headCache is this VM's copy of the heads of all jobs.
type headCache struct {
	mu   sync.Mutex
	jobs map[string]*cachedHead
	// bytes is about how much memory the heads take.
	bytes int64
	// quotas holds the version of each quota row, and accounts the names of accounts by their digests.
	quotas   map[string]uint64
	accounts map[string]string
	// changed is closed and replaced at each change.
	changed chan struct{}
	// waiters is the number of calls that wait for a change, and onWait is called after each new one.
	waiters int
	onWait  func()
}

// awaited reports whether any call waits for a change.
func (v *headCache) awaited() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.waiters > 0
}

func (v *headCache) addWaiters(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waiters += n
}

// cachedHead is the head of a job at a version. The head must not be modified.
type cachedHead struct {
	head    *Head
	version uint64
	bytes   int64
}

func newHeadCache() *headCache {
	return &headCache{jobs: map[string]*cachedHead{}, quotas: map[string]uint64{}, accounts: map[string]string{}, changed: make(chan struct{}), onWait: func() {}}
}

// headBytes returns about how much memory a head takes.
func headBytes(job string, head *Head) int64 {
	const perEntry = 48
	bytes := 10*perEntry + len(job) + len(head.Host) + len(head.Path) + len(head.Account) + perEntry*(len(head.Items)+len(head.Results))
	for _, item := range head.Items {
		bytes += len(item.ID)
	}
	return int64(bytes)
}

// size returns about how much memory all heads take.
func (v *headCache) size() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.bytes
}

// put stores a head unless a newer one is cached.
func (v *headCache) put(job string, head *Head, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.jobs[job]; known != nil && known.version >= version {
		return
	}
	if known := v.jobs[job]; known != nil {
		v.bytes -= known.bytes
	}
	e := &cachedHead{head: head, version: version, bytes: headBytes(job, head)}
	v.bytes += e.bytes
	v.jobs[job] = e
	v.broadcast()
}

func (v *headCache) remove(job string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.jobs[job]; known != nil {
		v.bytes -= known.bytes
	}
	delete(v.jobs, job)
	v.broadcast()
}

func (v *headCache) putQuota(name string, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.quotas[name] = max(v.quotas[name], version)
	v.broadcast()
}

// broadcast wakes all waiters. The caller holds the lock.
func (v *headCache) broadcast() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *headCache) get(job string) *cachedHead {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs[job]
}

// all returns a copy of the cache.
func (v *headCache) all() map[string]*cachedHead {
	v.mu.Lock()
	defer v.mu.Unlock()
	jobs := make(map[string]*cachedHead, len(v.jobs))
	for id, e := range v.jobs {
		jobs[id] = e
	}
	return jobs
}

// putAccount stores the name of an account by its digest.
func (v *headCache) putAccount(digest, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.accounts[digest] = name
}

// waitingTokens returns the tokens of an account's items that wait on a route, and the version of their quota row at the last
// submission that they include. The name "" means the jobs without an account.
func (v *headCache) waitingTokens(table *routing.Table, route *routing.Route, account string) (tokens int64, version uint64) {
	digest := ""
	if account != "" {
		digest = accountDigest(account)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for job, e := range v.jobs {
		if _, of := splitID(job); of == digest && e.head.BelongsTo(table, route) {
			tokens += e.head.WaitingTokens()
		}
	}
	return tokens, v.quotas[quotaName(route.Name, account)]
}

// waitFor waits until the condition holds or the timeout expires, and reports whether it holds.
func (v *headCache) waitFor(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	v.addWaiters(1)
	defer v.addWaiters(-1)
	// Other VMs may have made changes that are not in this copy yet.
	v.onWait()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		v.mu.Lock()
		changed := v.changed
		v.mu.Unlock()
		if condition() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return condition()
		case <-changed:
		}
	}
}

// replaceHeads applies a read of the whole table. Jobs that are missing from it have been removed.
func (s *Service) replaceHeads(rows []platform.TableRow) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for job := range s.heads.all() {
		if !present[job] {
			s.heads.remove(job)
		}
	}
	s.applyChanges(rows)
}

// isJobKey reports whether a key is that of a head.
func isJobKey(key string) bool {
	clientID, _ := splitID(key)
	return wire.ValidJobID(clientID)
}

// applyChanges applies changed rows. The heads precede the quota rows, whose versions say which heads are included.
func (s *Service) applyChanges(rows []platform.TableRow) {
	rows = slices.DeleteFunc(slices.Clone(rows), func(row platform.TableRow) bool { return row.Part != "" })
	for _, row := range rows {
		if _, _, ok := parseQuotaKey(row.Key); ok || !isJobKey(row.Key) {
			continue
		}
		if row.Deleted {
			s.heads.remove(row.Key)
			continue
		}
		head, err := decodeHead(row.Value)
		if err != nil {
			s.config.Log.Error().Err(err).EmbedObject(jobName(row.Key)).Uint64("row_version", row.Version).Msg("job head cannot be decoded; the change is ignored")
			continue
		}
		s.heads.put(row.Key, head, row.Version)
	}
	for _, row := range rows {
		if name, digest, ok := parseQuotaKey(row.Key); ok {
			if digest != "" && accountDigest(string(row.Value)) == digest {
				s.heads.putAccount(digest, string(row.Value))
			}
			s.heads.putQuota(name, row.Version)
		}
	}
	s.requestReconcile()
}
