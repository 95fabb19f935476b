package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// stable is stable_ms of the sheet.
	stable = 3 * time.Second
	// allowedRetries is what the rule BUDGET allows.
	allowedRetries = 3
	// workerBack is how long a worker is down after a crash ("the worker is back after some seconds").
	workerBack = 3 * time.Second
	// crashers is the number of requests that crash workers, and crashWaves the number of times that each of them comes.
	crashers   = 6
	crashWaves = 14
	waveGap    = 5 * time.Second
)

// crashingRequests has a few clients whose requests crash the workers that begin to run them, after the first events, and come again.
func crashingRequests(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	crashes := map[string][]time.Time{}
	attempts := map[string]map[string]time.Time{}
	f.configure(streamRoute("/lohu930/", 2, true), streamRoute("/pufi791/", 1, false))
	err = f.startWorkers(9, workerConfig{
		restart: workerBack,
		behave: func(path, _ string) script {
			s := script{crashAfter: -1, events: 34, interval: 10 * time.Millisecond, first: 20 * time.Millisecond, data: func(id string, event int) string { return fmt.Sprintf("%s %d", id, event) }}
			if trouble && isCrasher(path) {
				s.crashAfter = 3
			}
			return s
		},
		onRun: func(x run) {
			r.log(x.worker, "runs attempt %s of %s from event %d", x.id, x.path, x.lastEvent+1)
			mu.Lock()
			defer mu.Unlock()
			if attempts[x.path] == nil {
				attempts[x.path] = map[string]time.Time{}
			}
			if _, known := attempts[x.path][x.id]; !known {
				attempts[x.path][x.id] = x.at
			}
		},
		onCrash: func(path, _ string) {
			mu.Lock()
			defer mu.Unlock()
			crashes[path] = append(crashes[path], time.Now())
		},
	})
	if err != nil {
		return false, err
	}
	if err := f.startVMs(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var others sync.WaitGroup
	served, failed := 0, 0
	for i := range 6 {
		others.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := f.stream(ctx, fmt.Sprintf("/pufi791/%d-%d", i, n))
				mu.Lock()
				if a.err == nil && a.status == http.StatusOK {
					served++
				} else if ctx.Err() == nil {
					failed++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for range crashWaves {
		var wave sync.WaitGroup
		for i := range crashers {
			wave.Go(func() {
				a := f.stream(ctx, crasherPath(i))
				r.log("client", "%s: status %d, %d bytes, %v", crasherPath(i), a.status, len(a.body), a.err)
			})
		}
		began := time.Now()
		wave.Wait()
		time.Sleep(waveGap - time.Since(began))
	}
	cancel()
	others.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.log("case", "other streams: %d served, %d not", served, failed)
	broken := false
	for i := range crashers {
		path := crasherPath(i)
		list := crashes[path]
		retries := 0
		if len(list) >= 3 {
			for _, at := range attempts[path] {
				if at.After(list[2].Add(stable)) {
					retries++
				}
			}
		}
		r.log("case", "%s: %d crashes, %d attempts reached workers later than %s after the third", path, len(list), retries, stable)
		broken = broken || retries > allowedRetries
	}
	return broken, nil
}

func crasherPath(i int) string   { return fmt.Sprintf("/lohu930/c%d", i) }
func isCrasher(path string) bool { return len(path) > 9 && path[:10] == "/lohu930/c" }

// stream sends a stream's request to a machine that is chosen at random.
func (f *fleet) stream(ctx context.Context, path string) answer {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	v := f.vms[rand.IntN(len(f.vms))]
	return call(ctx, v.clients, "POST", path, map[string]string{
		"X-Attempt-Id": f.newID("a"), "X-Deadline-Ms": "5000", "X-Model": "m", "X-Token-Count": "450,34",
		"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%x:350", []byte(path)),
	}, []byte("prompt of "+path))
}
