package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarydyke/rosemarydyke/platform"
)

func init() { cases["13"] = playOddRow }

const (
	// drainTime is drain_ms, and serveOn how long a worker whose row is removed goes on serving.
	drainTime = 2 * time.Second
	serveOn   = 6 * time.Second
	// oddAfter is when another writer writes a row under the worker's ID, after the row was removed.
	oddAfter = 3 * time.Second
)

// leave removes the row of a process, which goes on serving for a while and then exits.
func (p *process) leave() {
	p.end.Do(func() { close(p.ended) })
	p.remove(platform.TargetTable, p.id)
}

// playOddRow lets one of four workers leave by the removal of its row. Another writer then writes a row with fields missing under its ID.
func playOddRow(r *record, trouble bool) bool {
	f := newFleet(r, crashConfig)
	defer f.stop()
	var leaving *process
	var left, late atomic.Int64
	for i := range 4 {
		w := newWorker(f, fmt.Sprint(i))
		p := w.start()
		if i == 0 {
			leaving = p
			w.ran = func(path string) {
				if at := left.Load(); at != 0 && time.Since(time.UnixMilli(at)) > drainTime {
					late.Add(1)
					f.printf("server %s runs %s, %.3f s after its row was removed", p.id, path, time.Since(time.UnixMilli(at)).Seconds())
				}
			}
		}
	}
	f.startVMs(3)
	time.Sleep(stable)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(f.background(ctx, "/live/", 40))
	time.Sleep(stable)
	f.printf("the row of server %s is removed", leaving.id)
	leaving.leave()
	left.Store(time.Now().UnixMilli())
	time.Sleep(oddAfter)
	if trouble {
		row := fmt.Sprintf(`{"service":"s","address":%q,"version":"v1","slots":%d,"state":"ready"}`, leaving.address, slots)
		f.printf("another writer writes servers/%s %s", leaving.id, row)
		f.put(platform.TargetTable, leaving.id, row)
		time.AfterFunc(3*heartbeat, func() {
			f.printf("the platform removes servers/%s, which nobody renews", leaving.id)
			f.remove(platform.TargetTable, leaving.id)
		})
	}
	time.Sleep(serveOn - oddAfter)
	f.printf("server %s exits", leaving.id)
	_ = leaving.server.Close()
	time.Sleep(stable)
	cancel()
	clients.Wait()
	f.printf("server %s ran %d requests later than %s after its row was removed (0 allowed)", leaving.id, late.Load(), drainTime)
	return late.Load() > 0
}
