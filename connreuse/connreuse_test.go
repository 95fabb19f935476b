package connreuse_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/connreuse"
	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 300) }

// Guards against connections beyond the share, uses after a timeout, a restart or a shutdown, and connections that are neither
// kept nor closed.
func TestConnectionsAreKeptWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type state struct {
			start     int64
			idleSince time.Time
			timeout   time.Duration
			served    map[string]bool
		}
		pool := connreuse.New[*state]()
		now, start, shut := time.Unix(1000, 0), int64(1), false
		open := map[*state]bool{}
		var inUse []*connreuse.Conn[*state]
		closeAll := func(closed []connreuse.Closed[*state]) {
			for _, c := range closed {
				if !open[c.Handle] {
					t.Fatalf("closed twice, for %s", c.Cause)
				}
				delete(open, c.Handle)
			}
		}
		set := func() {
			closeAll(pool.SetTargets([]connreuse.Target{{ID: "t", Address: "a", StartedUnixMilli: start}, {ID: "old", Address: "a"}}))
		}
		set()
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"request": func(t *rapid.T) {
				id, once, share := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")), rapid.Bool().Draw(t, "once"), rapid.IntRange(0, 4).Draw(t, "share")
				conn, fresh, closed := pool.Take(now, connreuse.Request{Target: "t", Address: "a", ID: id, Once: once, Share: share})
				closeAll(closed)
				switch {
				case conn == nil:
				case shut:
					t.Fatal("used after the shutdown")
				case fresh:
					conn.Handle = &state{start: start, served: map[string]bool{}}
					open[conn.Handle] = true
				default:
					s := conn.Handle
					if idle := now.Sub(s.idleSince); !open[s] || s.start != start || idle >= s.timeout || once && idle > time.Second || s.served[id] {
						t.Fatalf("connection used after %s idle of %s, %+v", idle, s.timeout, s)
					}
				}
				if conn != nil {
					conn.Handle.served[id] = true
					inUse = append(inUse, conn)
				}
				if pool.Idle() > 0 && pool.Idle()+len(inUse) > max(share, 1) {
					t.Fatalf("%d connections idle and %d in use for a share of %d", pool.Idle(), len(inUse), share)
				}
			},
			"end": func(t *rapid.T) {
				if len(inUse) == 0 {
					t.Skip("nothing in use")
				}
				conn := inUse[0]
				inUse = inUse[1:]
				s := conn.Handle
				s.idleSince, s.timeout = now, time.Duration(rapid.IntRange(0, 20).Draw(t, "timeout"))*time.Second
				end := connreuse.End{IdleTimeout: s.timeout, Share: 3, Cause: rapid.SampledFrom([]connreuse.Cause{"", "", connreuse.Failed}).Draw(t, "cause")}
				cause, closed := pool.End(now, conn, end)
				closeAll(closed)
				if cause == "" && (end.Cause != "" || s.start != start || shut) {
					t.Fatal("kept in spite of a failure, a restart or the shutdown")
				}
				if cause != "" {
					delete(open, s)
				}
			},
			"restart": func(*rapid.T) { start++; set() },
			"leave":   func(*rapid.T) { closeAll(pool.Leave("t")) },
			"silence": func(*rapid.T) { closeAll(pool.CloseIdle("a", connreuse.Silent)) },
			"sweep": func(*rapid.T) {
				closeAll(pool.Sweep(now, func(string) int { return 2 }, func(*state) connreuse.Cause { return "" }))
			},
			"shutdown": func(t *rapid.T) {
				if shut = rapid.IntRange(0, 9).Draw(t, "shutdown") == 0 || shut; shut {
					closeAll(pool.Shutdown())
				}
			},
			"": func(t *rapid.T) {
				if len(open) != pool.Idle()+len(inUse) {
					t.Fatalf("%d open, %d idle, %d in use", len(open), pool.Idle(), len(inUse))
				}
			},
		})
	})
}

// Replays the load of the first customer on one of its VMs: bursts with a period of 5.2 s, 57 targets, and open connections that
// go silent at once. Guards against requests that are lost with a connection that was idle for long, and against a policy that
// opens a connection for almost every request.
func TestReplayOfBurstsOverManyTargets(t *testing.T) {
	const targets, share, length = 57, 470 / 72, 120 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	pool := connreuse.New[time.Time]()
	list := make([]connreuse.Target, targets)
	for i := range list {
		list[i] = connreuse.Target{ID: fmt.Sprint(i), Address: fmt.Sprint(i)}
	}
	pool.SetTargets(list)
	requests, opened, lostOnce, lostNaive := 0, 0, 0, 0
	begin := time.Unix(1000, 0)
	lastUse := map[int]time.Time{}
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		rate := 0.378
		if at%(5200*time.Millisecond) >= 3*time.Second {
			rate = 1.85
		}
		// Mean of 20 requests per second.
		if random.Float64() > 0.2*rate {
			continue
		}
		now, target, once := begin.Add(at), random.IntN(targets), random.IntN(2) == 0
		silenced := begin.Add(at.Truncate(20 * time.Second))
		conn, fresh, _ := pool.Take(now, connreuse.Request{Target: fmt.Sprint(target), Address: fmt.Sprint(target), ID: fmt.Sprint(at), Once: once, Share: share})
		requests++
		dead := !fresh && conn.Handle.Before(silenced)
		if fresh {
			opened++
			conn.Handle = now
		}
		if last, known := lastUse[target]; once && known && last.Before(silenced) && now.Sub(last) < 11*time.Second {
			lostNaive++
		}
		end := connreuse.End{IdleTimeout: connreuse.IdleTimeout(http.Header{"Keep-Alive": {"timeout=15"}}), Share: share}
		if dead {
			end.Cause = connreuse.Silent
			if once {
				lostOnce++
			}
		}
		lastUse[target] = now
		pool.End(now, conn, end)
	}
	t.Logf("%d requests, %d connections opened; requests that may run once lost: %d, with plain keep-alive %d", requests, opened, lostOnce, lostNaive)
	qt.Check(t, opened < requests*7/10, qt.IsTrue)
	qt.Check(t, lostOnce*5 < lostNaive, qt.IsTrue)
}

func TestIdleTimeout(t *testing.T) {
	for stated, want := range map[string]time.Duration{"": 3750 * time.Millisecond, "timeout=1": 500 * time.Millisecond, "max=9, Timeout=60": 30 * time.Second, "timeout=0": 0, "timeout=x": 0, "timeout=8, timeout=4": 3 * time.Second} {
		qt.Check(t, connreuse.IdleTimeout(http.Header{"Keep-Alive": {stated}}), qt.Equals, want, qt.Commentf("%s", stated))
	}
	qt.Check(t, connreuse.Share(470, 72), qt.Equals, 6)
	qt.Check(t, connreuse.Share(470, 900), qt.Equals, 1)
	qt.Check(t, connreuse.Share(0, 3), qt.Equals, 0)
}
