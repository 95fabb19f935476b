package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"time"
)

func init() { cases["restart"] = playRestart }

const (
	restartVictims = 5
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 100 * time.Millisecond
	// waitingTime is how long the batch jobs of a machine wait before its process is killed.
	waitingTime = 300 * time.Millisecond
	// roundLimit is the longest time that the batch jobs of a round may take.
	roundLimit = 16 * time.Second
)

// playRestart kills a machine's process while the items of its batch jobs wait for places at workers, and starts it again. This happens to
// one machine after another. No item may be run by the service of another route.
func playRestart(f *fleet, trouble bool, o *outcome) {
	f.configure(1, []string{"svc-a", "svc-b"}, []map[string]any{
		batchRoute("notes-a", "/aa11/", "svc-a", 0),
		batchRoute("notes-b", "/bb22/", "svc-b", 0),
	}, nil)
	for _, s := range []string{"a", "b"} {
		for i := range 3 {
			f.addWorker(&worker{id: fmt.Sprintf("i-%s%d", s, i), service: "svc-" + s, slots: 8, interval: 20 * time.Millisecond, events: variedLength})
		}
	}
	f.addVMs(restartVictims+1, "")
	time.Sleep(1500 * time.Millisecond)
	filler := f.vms[restartVictims]
	for round, v := range f.vms[:restartVictims] {
		var jobs []string
		for _, at := range []*vm{filler, v, filler} {
			for range 3 {
				for _, s := range []string{"a", "b"} {
					jobs = append(jobs, f.submitOne(fmt.Sprintf("%s%d%02d", s, round, len(jobs)), at))
				}
			}
		}
		time.Sleep(waitingTime)
		if trouble {
			v.kill()
			time.Sleep(restartDelay)
			v.start()
		}
		f.awaitJobs(filler, jobs, roundLimit)
	}
	for _, r := range f.allRuns() {
		want := "svc-a"
		if strings.HasPrefix(r.path, "/bb22/") {
			want = "svc-b"
		}
		if r.service != want {
			o.breaks(f, "ROUTE: item %s of path %s was run by %s", r.id, r.path, r.service)
		}
	}
}

// submitOne submits a batch job of eight items to the route that its first letter names.
func (f *fleet) submitOne(job string, v *vm) string {
	prefix := map[byte]string{'a': "/aa11/", 'b': "/bb22/"}[job[0]]
	body, _ := jobBody(job, prefix, 8, 400)
	if a := f.submit(v, prefix, job, body); a.status != http.StatusAccepted {
		panic("batch job not accepted")
	}
	return job
}

// awaitJobs waits until all results of batch jobs are listed, or the limit has passed.
func (f *fleet) awaitJobs(v *vm, jobs []string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(300 * time.Millisecond) {
		open := 0
		for _, job := range jobs {
			if r, a := f.read(v, job, 0); a.status != http.StatusOK || len(r.Results) < r.Total {
				open++
				break
			}
		}
		if open == 0 {
			return true
		}
	}
	return false
}

// variedLength returns between 20 and 149 events for a request.
func variedLength(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return 20 + int(h.Sum32()%130)
}
