package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["backlog"] = playBacklog }

const (
	trafficTime = 45 * time.Second
	finishTime  = 18 * time.Second
	// usualRate is the number of batch jobs of a route in a second, and burstFactor multiplies that of the first route in a burst.
	usualRateA  = 0.25
	usualRateB  = 0.3
	burstFactor = 6
	burstTime   = 3 * time.Second
	bursts      = 14
	firstBurst  = 2 * time.Second
	// calmTime is the time before the end in which the workers and the finished items are looked at.
	calmTime = 5 * time.Second
	// itemTokens is what an item of the sheet takes: 350 tokens of prompt, and 236 events.
	itemTokens = 1800
)

// jobRecord is an accepted batch job.
type jobRecord struct {
	id, service string
	items       []string
}

// playBacklog lets many batch jobs come at once on the route of one service. The batch jobs of another service, whose workers are free, may
// not be left lying.
func playBacklog(f *fleet, trouble bool, o *outcome) {
	f.configure(1, []string{"svc-a", "svc-b"}, []map[string]any{
		batchRoute("notes-a", "/aa11/", "svc-a", 1500000),
		batchRoute("notes-b", "/bb22/", "svc-b", 1500000),
	}, nil)
	for s, n := range map[string]int{"a": 3, "b": 4} {
		for i := range n {
			f.addWorker(&worker{id: fmt.Sprintf("i-%s%d", s, i), service: "svc-" + s, slots: 8, interval: 30 * time.Millisecond, events: itemLength})
		}
	}
	f.addVMs(3, "")
	time.Sleep(1500 * time.Millisecond)
	began := time.Now()
	var mu sync.Mutex
	var jobs []jobRecord
	var clients sync.WaitGroup
	for _, s := range []string{"a", "b"} {
		clients.Go(func() {
			usualRate := map[string]float64{"a": usualRateA, "b": usualRateB}[s]
			for i := 0; time.Since(began) < trafficTime; i++ {
				rate := usualRate
				if at := time.Since(began) - firstBurst; trouble && s == "a" && at >= 0 && at < bursts*burstTime {
					rate *= burstFactor
				}
				time.Sleep(min(time.Duration(float64(time.Second)/rate), time.Until(began.Add(trafficTime))))
				clients.Go(func() {
					job := fmt.Sprintf("%s%03d", s, i)
					body, ids := jobBody(job, "/"+s+s+map[string]string{"a": "11/", "b": "22/"}[s], 6+rand.IntN(9), itemTokens)
					v := f.vms[rand.IntN(len(f.vms))]
					if a := f.submit(v, "/"+s+s+map[string]string{"a": "11/", "b": "22/"}[s], job, body); a.status == http.StatusAccepted {
						mu.Lock()
						jobs = append(jobs, jobRecord{job, "svc-" + s, ids})
						mu.Unlock()
					}
				})
			}
		})
	}
	clients.Wait()
	f.note("traffic has ended")
	time.Sleep(finishTime)
	f.judgeBacklog(jobs, o)
}

// judgeBacklog checks the rule LOST on batch jobs that are open when the time to finish is over.
func (f *fleet) judgeBacklog(jobs []jobRecord, o *outcome) {
	end := time.Now()
	runs := f.allRuns()
	unlisted, waiting := map[string]map[string]bool{}, 0
	for _, j := range jobs {
		listed := map[string]bool{}
		for i := 0; ; i++ {
			r, a := f.read(f.vms[i%len(f.vms)], j.id, len(listed))
			if a.status != http.StatusOK && i < 30 {
				continue
			}
			for _, item := range r.Results {
				listed[item.ID] = true
			}
			if len(r.Results) == 0 || len(listed) == len(j.items) {
				break
			}
		}
		unlisted[j.id] = map[string]bool{}
		for _, id := range j.items {
			if !listed[id] {
				unlisted[j.id][id] = true
				waiting++
			}
		}
	}
	finished := 0
	for _, r := range runs {
		if r.ended == "complete" && end.Sub(r.endedAt) < calmTime {
			finished++
		}
	}
	f.note("at the end %d items wait, and %d were finished in the last %s", waiting, finished, calmTime)
	for _, j := range jobs {
		if len(unlisted[j.id]) == 0 {
			continue
		}
		atWorker := false
		for _, r := range runs {
			atWorker = atWorker || unlisted[j.id][r.id] && (r.ended == "" || end.Sub(r.endedAt) < calmTime)
		}
		most, places := f.mostRunning(runs, j.service, end.Add(-calmTime), end)
		f.note("batch job %s of %s: %d of %d items are not listed; one of them at a worker in the last %s: %v; at most %d of %d places taken", j.id, j.service,
			len(unlisted[j.id]), len(j.items), calmTime, atWorker, most, places)
		// Finished items excuse only if they are a tenth of all that wait.
		if !atWorker && 2*most < places && finished*10 < waiting {
			o.breaks(f, "LOST: %d items of batch job %s are not listed, though %d of %d places of %s were taken at most", len(unlisted[j.id]), j.id, most, places, j.service)
		}
	}
}

// mostRunning returns the largest number of requests that ran at the same time at the workers of a service, and the number of their places.
func (f *fleet) mostRunning(runs []run, service string, from, to time.Time) (most, places int) {
	for _, w := range f.workers {
		if w.service == service {
			places += w.slots
		}
	}
	for at := from; at.Before(to); at = at.Add(50 * time.Millisecond) {
		n := 0
		for _, r := range runs {
			if r.service == service && !r.at.After(at) && (r.ended == "" || r.endedAt.After(at)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most, places
}

// itemLength returns between 200 and 378 events for an item.
func itemLength(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return 200 + int(h.Sum32()%179)
}
