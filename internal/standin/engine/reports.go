package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
)

const (
	// maxLoadSamples is the maximum length of the load history.
	maxLoadSamples = 512
	// loadSampleInterval is the minimum time between load samples.
	loadSampleInterval = 10 * time.Millisecond
	// maxCacheEvents is the maximum length of the cache event history.
	maxCacheEvents = 8192
)

// Load is a load report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

type loadSample struct {
	at               time.Time
	running, waiting int
}

// CacheAction is what happened to cached blocks.
type CacheAction string

// Actions of cache events.
const (
	CacheStored  CacheAction = "stored"
	CacheEvicted CacheAction = "evicted"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Seq    uint64      `json:"seq"`
	Action CacheAction `json:"action"`
	Blocks []uint64    `json:"blocks"`
}

type cacheEvent struct {
	at    time.Time
	event CacheEvent
}

// CacheEvents is a page of cache events. Next is the after parameter of the next page.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// sampleLoad records the load at this time. The caller must hold e.mu.
func (e *Engine) sampleLoad(now time.Time) {
	if n := len(e.loadSamples); n > 0 && now.Sub(e.loadSamples[n-1].at) < loadSampleInterval {
		return
	}
	e.loadSamples = append(e.loadSamples, loadSample{at: now, running: e.core.Running(), waiting: e.core.Waiting()})
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = e.loadSamples[1:]
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !e.waitWhileFrozen(r) {
		return
	}
	writeJSON(w, http.StatusOK, e.load(time.Now()))
}

// load returns the newest sample that is at least as old as the lag; without a lag, the current load.
func (e *Engine) load(now time.Time) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	slots := e.core.Config().Slots
	if e.cfg.LoadLag == 0 {
		return Load{Running: e.core.Running(), Waiting: e.core.Waiting(), Slots: slots}
	}
	e.sampleLoad(now)
	report := Load{Slots: slots, AgeMS: e.cfg.LoadLag.Milliseconds()}
	for _, s := range e.loadSamples {
		age := now.Sub(s.at)
		if age < e.cfg.LoadLag {
			break
		}
		report = Load{Running: s.running, Waiting: s.waiting, Slots: slots, AgeMS: age.Milliseconds()}
	}
	return report
}

// recordCacheEvents records changes of the cache. The caller must hold e.mu.
func (e *Engine) recordCacheEvents(changes []batching.CacheEvent, now time.Time) {
	for _, action := range []CacheAction{CacheStored, CacheEvicted} {
		blocks := changedBlocks(changes, action == CacheStored)
		if len(blocks) == 0 {
			continue
		}
		e.lastSeq++
		event := CacheEvent{Seq: e.lastSeq, Action: action, Blocks: blocks}
		e.events = append(e.events, cacheEvent{at: now, event: event})
	}
	if excess := len(e.events) - maxCacheEvents; excess > 0 {
		e.events = e.events[excess:]
	}
}

func changedBlocks(changes []batching.CacheEvent, stored bool) []uint64 {
	var blocks []uint64
	for _, change := range changes {
		if change.Stored == stored {
			blocks = append(blocks, change.Block)
		}
	}
	return blocks
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	if !e.waitWhileFrozen(r) {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "invalid_request", "after is not a number")
		return
	}
	writeJSON(w, http.StatusOK, e.cacheEvents(after, time.Now()))
}

func (e *Engine) cacheEvents(after uint64, now time.Time) CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	page := CacheEvents{Events: []CacheEvent{}, Next: after}
	for _, c := range e.events {
		if c.event.Seq <= after {
			continue
		}
		if now.Sub(c.at) < e.cfg.CacheEventLag {
			break
		}
		page.Next = c.event.Seq
		if e.cfg.CacheEventGap > 0 && c.event.Seq%e.cfg.CacheEventGap == 0 {
			continue
		}
		page.Events = append(page.Events, c.event)
	}
	return page
}

// waitWhileFrozen blocks while a freeze fault is active. It returns false if the client disconnects first.
func (e *Engine) waitWhileFrozen(r *http.Request) bool {
	for {
		if _, frozen := e.cfg.Faults.Has(e.cfg.Name, fault.Freeze); !frozen {
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(freezePollInterval):
		}
	}
}
