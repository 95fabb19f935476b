package demo

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"
)

const (
	// maxPropagation is the time within which an accepted change must be in effect on all VMs.
	maxPropagation = 17 * time.Second
	// settingsPollInterval is the time between polls of an entry.
	settingsPollInterval = 20 * time.Millisecond
)

// settingsChange adds a client through one VM and waits until all entries accept its key.
func (d *demo) settingsChange(ctx context.Context) error {
	key := "sk-" + ulid.Make().String()
	document := fmt.Sprintf("key_sha256: [%x]\n", sha256.Sum256([]byte(key)))
	var accepted struct {
		TreeRevision uint64 `json:"tree_revision"`
	}
	change := httpRequest{
		method: http.MethodPut,
		url:    d.config.Operator + "/v1/settings/teams/dispatch/clients/night-shift",
		key:    d.config.OperatorKey,
		header: http.Header{"Idempotency-Key": {ulid.Make().String()}},
		body:   []byte(document),
	}
	if err := d.doOK(ctx, change, &accepted); err != nil {
		return err
	}
	acceptedAt := time.Now()
	d.print("revision %d accepted: a new client\n", accepted.TreeRevision)
	for _, entry := range d.config.Entries {
		for {
			err := d.doOK(ctx, httpRequest{method: http.MethodGet, url: entry + "/v1/models", key: key}, nil)
			if err == nil {
				break
			}
			if time.Since(acceptedAt) > maxPropagation {
				return fmt.Errorf("change not in effect at %s after %v: %w", entry, maxPropagation, err)
			}
			time.Sleep(settingsPollInterval)
		}
		d.print("in effect at %s within %v\n", entry, time.Since(acceptedAt).Round(time.Millisecond))
	}
	return nil
}
