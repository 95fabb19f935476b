package main

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// finish is finish_s of the sheet, calm how long before its end nothing may be disturbed, and idle how long no item may have finished.
	finish = 18 * time.Second
	calm   = 5 * time.Second
	idle   = 3 * time.Second
	// cutFor is for_s of srv_cut, and cutAtOnce its share (0.2) of 9 workers.
	cutFor    = 4500 * time.Millisecond
	cutAtOnce = 2
	maxCuts   = 12
	// liveClients request a stream each some two times in three seconds: most of the work is that of overnight jobs.
	liveClients = 3
	// retention is retention_s of the route.
	retention = 60 * time.Second
	// itemsPerJob and jobGap make more work than the workers can do while some are away.
	itemsPerJob = 24
	jobGap      = time.Second
	// itemPause makes an item take 4.7 s.
	itemPause = 20 * time.Millisecond
	// itemEvents is the mean number of events of an item on the sheet.
	itemEvents = 236
)

// returningWorkers cuts a few workers at a time off from the store for some seconds. Their entries go and come back.
func returningWorkers(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	lastRun := map[string]time.Time{}
	runsOf := map[string]int{}
	// finished holds when items were done, and acceptedAt when their jobs were.
	finished, acceptedAt := map[string]time.Time{}, map[string]time.Time{}
	f.configure(streamRoute("/lohu930/", 2, true), batchRoute("/pule252/"))
	err = f.startWorkers(9, workerConfig{
		behave: func(path, _ string) script {
			s := script{crashAfter: -1, events: 34, interval: 10 * time.Millisecond, first: 20 * time.Millisecond, data: func(id string, event int) string { return fmt.Sprintf("%s %d", id, event) }}
			if isItem(path) {
				s.events, s.interval = itemEvents, itemPause
			}
			return s
		},
		onRun: func(x run) {
			r.log(x.worker, "runs %s of %s from event %d", x.id, x.path, x.lastEvent+1)
			mu.Lock()
			defer mu.Unlock()
			lastRun[x.worker] = time.Now()
			runsOf[x.id]++
		},
		onEnd: func(path, id string) {
			if !isItem(path) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			finished[id] = time.Now()
		},
	})
	if err != nil {
		return false, err
	}
	if err := f.startVMs(12); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	streams := map[bool]int{}
	for range liveClients {
		clients.Go(func() {
			for ctx.Err() == nil {
				a := f.stream(ctx, "/lohu930/"+f.newID("s"))
				mu.Lock()
				streams[a.err == nil && a.status == http.StatusOK]++
				mu.Unlock()
				time.Sleep(time.Duration(500+rand.IntN(500)) * time.Millisecond)
			}
		})
	}
	clients.Go(func() {
		for ctx.Err() == nil {
			list := f.newItems(itemsPerJob)
			if f.submit(f.newID("n"), "/pule252/", list) == nil {
				mu.Lock()
				for _, x := range list {
					acceptedAt[x.ID] = time.Now()
				}
				mu.Unlock()
			}
			sleep(ctx, jobGap)
		}
	})
	sleep(ctx, 4*time.Second)
	for range maxCuts {
		// The workers that took requests lately are those that the system still uses.
		var used []*worker
		for _, w := range f.workers {
			mu.Lock()
			at := lastRun[w.name]
			mu.Unlock()
			if away, _ := w.state(); !away && time.Since(at) < idle {
				used = append(used, w)
			}
		}
		r.log("case", "%d workers are used", len(used))
		rand.Shuffle(len(used), func(i, j int) { used[i], used[j] = used[j], used[i] })
		cut := used[:min(len(used), cutAtOnce)]
		if !trouble {
			cut = nil
		}
		for _, w := range cut {
			w.setCut(true)
		}
		sleep(ctx, cutFor)
		for _, w := range cut {
			w.setCut(false)
		}
		// The workers write their entries again within an interval.
		sleep(ctx, heartbeat+300*time.Millisecond)
	}
	sleep(ctx, idle)
	job, items := f.newID("j"), f.newItems(10)
	if err := f.submit(job, "/pule252/", items); err != nil {
		return false, err
	}
	accepted := time.Now()
	// The traffic ends; finish_s begins.
	cancel()
	clients.Wait()
	// How full the workers are is watched in the last seconds.
	time.Sleep(finish - time.Since(accepted))
	most := 0
	for ended := time.Now().Add(calm); time.Now().Before(ended); time.Sleep(20 * time.Millisecond) {
		full := 0
		for _, w := range f.workers {
			_, n := w.state()
			full += n
		}
		most = max(most, full)
	}
	judged := time.Now()
	mu.Lock()
	defer mu.Unlock()
	r.log("case", "streams: %d complete, %d not", streams[true], streams[false])
	for _, w := range f.workers {
		away, n := w.state()
		r.log("case", "%s: registered %v, %d requests, last run began %.1f s ago", w.name, !away, n, judged.Sub(lastRun[w.name]).Seconds())
	}
	lately, lastIdle, waiting := 0, true, 0
	for _, at := range finished {
		if judged.Sub(at) < calm {
			lately++
		}
		lastIdle = lastIdle && judged.Sub(at) >= idle
	}
	for id, at := range acceptedAt {
		if _, done := finished[id]; !done && judged.Sub(at) < retention {
			waiting++
		}
	}
	underHalf := 2*most < len(f.workers)*slots
	excused := !lastIdle && lately*10 >= waiting
	r.log("case", "in the last %s: at most %d of %d slots taken, %d items finished, %d items wait", calm, most, len(f.workers)*slots, lately, waiting)
	broken := false
	for _, v := range []*vm{f.vms[0], f.vms[len(f.vms)/2], f.vms[len(f.vms)-1]} {
		total, list, err := f.results(job, v)
		if err != nil {
			return false, fmt.Errorf("results of job %s at %s: %w", job, v.name, err)
		}
		listed := map[string]string{}
		for _, x := range list {
			listed[x.ID] = x.State
		}
		lost := 0
		for _, x := range items {
			// An item that a worker has run is left out.
			if listed[x.ID] == "" && runsOf[x.ID] == 0 {
				lost++
			}
		}
		r.log("case", "job %s at %s: %d items, %d listed, %d neither listed nor run, %.1f s after the 202", job, v.name, total, len(list), lost, judged.Sub(accepted).Seconds())
		broken = broken || lost > 0 && underHalf && !excused
	}
	return broken, nil
}

func isItem(path string) bool { return len(path) > 9 && path[:9] == "/pule252/" }

// newItems returns items of batch jobs.
func (f *fleet) newItems(count int) []item {
	items := make([]item, count)
	for i := range items {
		id := f.newID("e")
		items[i] = item{ID: id, Path: "/pule252/3/" + id, Headers: map[string]string{"X-Model": "m", "X-Token-Count": "350,236", "X-Prompt-Prefix": "9c2e41:100," + id[1:] + ":250"},
			Body: base64.StdEncoding.EncodeToString([]byte("prompt of " + id)), Tokens: 586}
	}
	return items
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
