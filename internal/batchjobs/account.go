package batchjobs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/account"
	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	// accountSeparator precedes the digest of the account in the ID of a job. Clients' job IDs contain no tilde.
	accountSeparator = "~"
	// accountDigestBytes is the length of the digest of an account's name. As text it leaves room for the longest client ID and
	// for the numbers of rows in a key of the store.
	accountDigestBytes = 16
	// maxKeyBytes is the length of the longest key that the store accepts.
	maxKeyBytes = 200
)

// accountName returns the name of an account, or "" without one.
func accountName(a *account.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

// accountDigest returns text of a fixed length for an account's name, which may hold any character.
func accountDigest(name string) string {
	digest := sha256.Sum256([]byte(name))
	return hex.EncodeToString(digest[:accountDigestBytes])
}

// qualifiedID returns the ID of an account's job in the store and between VMs. Without an account it is the client's ID.
func qualifiedID(name, job string) string {
	if name == "" {
		return job
	}
	return job + accountSeparator + accountDigest(name)
}

// splitID returns the client's ID of a job, and the digest of its account or "".
func splitID(job string) (clientID, digest string) {
	clientID, digest, _ = strings.Cut(job, accountSeparator)
	return clientID, digest
}

// accountOf returns the name of the account that submitted a job, or "". A VM of the earlier build drops the name from each
// head that it writes; the quota rows have it too.
func (v *headCache) accountOf(job string, head *Head) string {
	_, digest := splitID(job)
	if head.Account != "" || digest == "" {
		return head.Account
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.accounts[digest]
}

// jobName writes the ID of a job to log lines: that of the client as "job", and that in the store as "job_key" if it differs.
type jobName string

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (j jobName) MarshalZerologObject(e *zerolog.Event) {
	clientID, digest := splitID(string(j))
	e.Str("job", clientID)
	if digest != "" {
		e.Str("job_key", string(j))
	}
}

// itemAccount returns the name of a job's account, and the weight and priority of its items. An account that the configuration
// in force does not have has weight zero and the route's priority. Without accounts, items are not ranked by priority.
func (s *Service) itemAccount(job string, head *Head, route *routing.Route) (name string, weight float64, priority int) {
	name = s.heads.accountOf(job, head)
	table := s.config.Configuration.Current()
	if table == nil || table.Accounts == nil {
		return name, 0, 0
	}
	priority = route.Priority
	if a, ok := table.Accounts.Lookup(name); ok {
		weight = a.Weight
		if a.Priority != nil {
			priority = *a.Priority
		}
	}
	return name, weight, priority
}

// hasAccounts reports whether the configuration in force has accounts.
func (s *Service) hasAccounts() bool {
	table := s.config.Configuration.Current()
	return table != nil && table.Accounts != nil
}

// errNoSuchJob means that the caller's account has no such job and that there is none without an account.
var errNoSuchJob = errors.New("no such job")

// findJob returns the ID in the store and the head of the job that a caller means: the one of the caller's account, or else one
// without an account. A cached head is used if it is fresh, or if the caller accepts a stale one. Only the store can tell that a
// job does not exist, so that a job without an account costs a read for the one that takes precedence over it. It fails with
// errNoSuchJob.
func (s *Service) findJob(ctx context.Context, a *account.Account, clientID string, acceptStale bool) (string, *cachedHead, error) {
	if !platform.ValidJobID(clientID) {
		// Qualified IDs must not reach the jobs of other accounts.
		return "", nil, errNoSuchJob
	}
	ids := []string{clientID}
	if a != nil {
		ids = []string{qualifiedID(a.Name, clientID), clientID}
	}
	for _, id := range ids {
		if e := s.heads.get(id); e != nil && (acceptStale || s.fresh()) {
			return id, e, s.checkPublic(a, e.head)
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		head, version, err := s.store.readHead(callCtx, id)
		cancel()
		if err != nil {
			return "", nil, errors.Join(errStoreUnavailable, err)
		}
		if head != nil {
			s.heads.put(id, head, version)
			return id, &cachedHead{head: head, version: version}, s.checkPublic(a, head)
		}
	}
	return "", nil, errNoSuchJob
}

// checkPublic fails with errNoSuchJob for a caller without a key if the job is not one of a public route, where keys are needed.
func (s *Service) checkPublic(a *account.Account, head *Head) error {
	if a != nil || !s.hasAccounts() {
		return nil
	}
	if route := s.route(head); route == nil || !route.Public {
		return errNoSuchJob
	}
	return nil
}

// quotaKey returns the key of the row that serializes the submissions of an account to a route.
func quotaKey(route, account string) rowstore.RowKey {
	return rowstore.RowKey{Table: tableHeads, Key: quotaPrefix + quotaName(route, account)}
}

func quotaName(route, account string) string {
	if account == "" {
		return route
	}
	name := accountSeparator + accountDigest(account) + "/"
	if len(quotaPrefix+name+route) > maxKeyBytes {
		digest := sha256.Sum256([]byte(route))
		route = hex.EncodeToString(digest[:])
	}
	return name + route
}

// parseQuotaKey returns the name of a quota row and the digest of its account or "", and whether the key is that of a quota row.
func parseQuotaKey(key string) (name, digest string, ok bool) {
	name, ok = strings.CutPrefix(key, quotaPrefix)
	if rest, qualified := strings.CutPrefix(name, accountSeparator); qualified && ok {
		digest, _, _ = strings.Cut(rest, "/")
	}
	return name, digest, ok
}
