package origins

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/origin"
	"github.com/rosemarydyke/rosemarydyke/target"
)

func hashOf(attempt string) uint64 { return target.Rank(attempt, "origin") }

func shardOf(attempt string) int { return int(hashOf(attempt) % shards) }

func shardPrefix(shard int) string { return fmt.Sprintf("stream/%02x/", shard) }

// shardCopy is the content of a shard as read from the store.
type shardCopy struct {
	readAt  time.Time
	origins map[uint64]origin.Origin
}

// knowsClock reports whether the store's clock is known. If not, it asks the store.
func (o *storedOrigins) knowsClock(ctx context.Context) bool {
	o.mu.Lock()
	known := !o.clockAt.IsZero()
	o.mu.Unlock()
	if known {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := o.config.Rows.Read(ctx, tableOrigins, "", platform.KeyRange{From: versionsPrefix, To: versionsEnd})
	if err == nil {
		o.setClock(page.Now)
	}
	return err == nil
}

// findOldRows reads one shard after the other, if this VM collects it, so that rows of processes that have ended are deleted.
func (o *storedOrigins) findOldRows(ctx context.Context) {
	o.mu.Lock()
	known, clock := !o.clockAt.IsZero(), o.clock+time.Since(o.clockAt)
	o.mu.Unlock()
	shard := int(clock/cleanupInterval) % shards
	if _, self := o.collector(shard); !known || !self {
		return
	}
	if _, err := o.read(ctx, shard); err != nil {
		o.config.Log.Debug().Err(err).Int("shard", shard).Msg("origins of streams not read; old rows are deleted later")
	}
}

// find looks for the origin of an attempt in the store. read is false if the store was not read. That an origin is not stored is
// only told by a read that began after the call.
func (o *storedOrigins) find(ctx context.Context, attempt string) (from origin.Origin, known, read bool) {
	shard, hash, asked := shardOf(attempt), hashOf(attempt), time.Now()
	for {
		o.mu.Lock()
		held := o.copies[shard]
		if held != nil {
			from, known = held.origins[hash]
		}
		o.mu.Unlock()
		if known || held != nil && held.readAt.After(asked) {
			return from, known, true
		}
		// After a loss of all VMs many clients return at once. They share reads.
		_, err, _ := o.reads.Do(strconv.Itoa(shard), func() (any, error) { return o.read(context.WithoutCancel(ctx), shard) })
		if err != nil {
			o.config.Log.Info().Err(err).Str("attempt", attempt).Msg("origins of streams not read from the store")
			return origin.Origin{}, false, false
		}
	}
}

var unreadableOrigins = metrics.NewCounter(`rosemarydyke_unreadable_origins_total`)

// read reads a shard and keeps the copy. Rows of other writers that are too old are deleted with the next write.
func (o *storedOrigins) read(ctx context.Context, shard int) (*shardCopy, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	fresh := &shardCopy{readAt: time.Now(), origins: map[uint64]origin.Origin{}}
	prefix := shardPrefix(shard)
	keys := platform.KeyRange{From: prefix, To: strings.TrimSuffix(prefix, "/") + "0"}
	for {
		page, err := o.config.Rows.Read(ctx, tableOrigins, "", keys)
		if err != nil {
			return nil, err
		}
		o.setClock(page.Now)
		for _, row := range page.Rows {
			var stored storedRow
			if err := cbor.Unmarshal(row.Value, &stored); err != nil || stored.WrittenAt < 0 || stored.WrittenAt > page.Now+maxAhead {
				unreadableOrigins.Inc()
				o.config.Log.Warn().Err(err).Str("row", row.Key).Dur("written_at_ms", stored.WrittenAt).Msg("stored origins not decoded; the row is skipped")
				continue
			}
			if age := page.Now - stored.WrittenAt; age > origin.Retention {
				o.deleteLater(row.RowKey)
				continue
			}
			for _, entry := range stored.Entries {
				fresh.origins[entry.Attempt] = entry.Origin
			}
		}
		if !page.More || len(page.Rows) == 0 {
			o.mu.Lock()
			o.copies[shard] = fresh
			o.mu.Unlock()
			return fresh, nil
		}
		keys.From = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

func (o *storedOrigins) deleteLater(key platform.RowKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.written) < maxPending && !slices.ContainsFunc(o.written, func(w writtenRow) bool { return w.key == key }) {
		o.written = slices.Insert(o.written, 0, writtenRow{key: key})
	}
}
