package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is grace_s of the sheet, and sentExcuse how long after SIGTERM a request may be sent so that the rule excuses it if its
	// worker is at work in the last sixth of the grace period.
	grace      = 8 * time.Second
	sentExcuse = 3 * time.Second
	// cacheFactor is how many times as long as ttl_s some clients keep addresses.
	cacheFactor = 3
	// longEvents and longPause make each stream last 4.6 s, with pauses that the sheet allows (400 ms), within its time limit of 5 s.
	longEvents  = 34
	longPause   = 138 * time.Millisecond
	termGap     = 14 * time.Second
	longClients = 24
)

// sentStream is a stream that a client requested.
type sentStream struct {
	id, vm string
	sent   time.Time
	ended  time.Time
	answer answer
}

// longStreams stops and starts machines in turn while clients request streams of some seconds that may not be repeated.
func longStreams(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	ran := map[string]bool{}
	f.configure(streamRoute("/lohu930/", 2, true), streamRoute("/pufi791/", 1, false))
	err = f.startWorkers(18, workerConfig{
		behave: func(string, string) script {
			return script{crashAfter: -1, events: longEvents, interval: longPause, first: 20 * time.Millisecond, data: func(id string, event int) string { return fmt.Sprintf("%s %d", id, event) }}
		},
		onRun: func(x run) {
			r.log(x.worker, "runs attempt %s from event %d", x.id, x.lastEvent+1)
			mu.Lock()
			ran[x.id] = true
			mu.Unlock()
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
	var streams []sentStream
	var pending, clients sync.WaitGroup
	for i := range longClients {
		clients.Go(func() {
			// Clients ask for addresses at times of their own.
			time.Sleep(time.Duration(rand.Float64() * cacheFactor * float64(time.Second)))
			// One client in three keeps addresses for ttl_s, the others three times as long.
			factor := cacheFactor
			if i%3 == 0 {
				factor = 1
			}
			for ctx.Err() == nil {
				addresses, ttl := f.resolve(f.vms[rand.IntN(len(f.vms))])
				for until := time.Now().Add(ttl * time.Duration(factor)); time.Now().Before(until) && ctx.Err() == nil && len(addresses) > 0; {
					address := addresses[rand.IntN(len(addresses))]
					pending.Go(func() {
						s := f.requestLong(address)
						mu.Lock()
						streams = append(streams, s)
						mu.Unlock()
					})
					time.Sleep(time.Second)
				}
				if len(addresses) == 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	terms := map[string]time.Time{}
	time.Sleep(3 * time.Second)
	for _, v := range f.vms {
		if trouble {
			terms[v.name] = time.Now()
			r.log(v.name, "SIGTERM")
			_ = v.command.Process.Signal(syscall.SIGTERM)
			select {
			case <-v.exited:
				r.log(v.name, "has exited")
			case <-time.After(grace):
				r.log(v.name, "SIGKILL")
				_ = v.command.Process.Kill()
				<-v.exited
			}
			time.Sleep(500 * time.Millisecond)
			if err := f.startVM(v); err != nil {
				return false, err
			}
		}
		if at, ok := terms[v.name]; ok {
			time.Sleep(termGap - time.Since(at))
		} else {
			time.Sleep(termGap)
		}
	}
	cancel()
	clients.Wait()
	pending.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost, excused, complete := 0, 0, 0
	for _, s := range streams {
		if s.answer.err == nil && s.answer.status == http.StatusOK {
			complete++
			continue
		}
		at, stopped := terms[s.vm]
		if !ran[s.id] || !stopped || s.sent.Before(at) && s.ended.Before(at) || s.ended.After(at.Add(grace+time.Second)) {
			continue
		}
		after := s.sent.Sub(at)
		if after <= sentExcuse {
			excused++
			continue
		}
		lost++
		r.log("case", "LOST: attempt %s was sent to %s %.2f s after SIGTERM and ended %.2f s after it, %d bytes, %v", s.id, s.vm, after.Seconds(), s.ended.Sub(at).Seconds(), len(s.answer.body), s.answer.err)
	}
	r.log("case", "%d streams, %d complete, %d lost, %d cut but excused since they were sent up to %s after SIGTERM", len(streams), complete, lost, excused, sentExcuse)
	return lost > 0, nil
}

// requestLong requests a stream at an address.
func (f *fleet) requestLong(address string) sentStream {
	s := sentStream{id: f.newID("a"), sent: time.Now()}
	for _, v := range f.vms {
		if v.clients == address {
			s.vm = v.name
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	path := "/pufi791/" + s.id
	f.record.log("client", "sends attempt %s to %s", s.id, s.vm)
	s.answer = call(ctx, address, "POST", path, map[string]string{"X-Attempt-Id": s.id, "X-Deadline-Ms": "5000", "X-Model": "m", "X-Token-Count": "450,34", "X-Prompt-Prefix": "5c1e07a2:100," + s.id[1:] + ":350"}, []byte("prompt"))
	s.ended = time.Now()
	f.record.log("client", "attempt %s: status %d, %d bytes, %v", s.id, s.answer.status, len(s.answer.body), s.answer.err)
	return s
}

// resolve asks a machine for the addresses of all machines and how long they may be kept.
func (f *fleet) resolve(v *vm) ([]string, time.Duration) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.directory + "/api/resolve?name=" + host + "&region=r&zone=z1")
	if err != nil {
		return nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil {
		return nil, 0
	}
	// At most ttl_max_s counts.
	return body.Addresses, time.Duration(min(body.TTL, 5) * float64(time.Second))
}
