package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/intake"
)

const kb, mb = 1 << 10, 1 << 20

// ordinary is a new client with a small request.
func ordinary(id uint64) intake.Demand {
	return intake.Demand{Client: intake.Client{ID: id, Phase: intake.Body, Held: 50 * kb}, Bytes: 4 * kb}
}

func stalled(id uint64, phase intake.Phase, held int64) intake.Client {
	return intake.Client{ID: id, Phase: phase, Held: held, Age: 5 * time.Second}
}

func sum(clients []intake.Client) (held int64) {
	for _, c := range clients {
		held += c.Held
	}
	return held
}

func TestDecide(t *testing.T) {
	room := intake.Room{Memory: 40 * mb, Connections: 10}
	for _, test := range []struct {
		name    string
		clients []intake.Client
		demand  intake.Demand
		// free is the memory that the clients leave, and connections how many are open.
		free        int64
		connections int
		want        intake.Decision
	}{
		{"room for all", []intake.Client{stalled(1, intake.Body, mb)}, ordinary(9), 39 * mb, 1, intake.Decision{Admit: true}},
		{"the client that holds the most and sends nothing is ended", []intake.Client{
			stalled(1, intake.Body, mb), stalled(2, intake.Body, 4*mb), {ID: 3, Phase: intake.Body, Held: 8 * mb, Rate: 50 * mb, Age: time.Second},
		}, ordinary(9), 0, 3, intake.Decision{Admit: true, End: []uint64{2}}},
		{"a request that may run is not ended", []intake.Client{
			{ID: 1, Phase: intake.Running, Held: 40 * mb, Age: time.Minute},
		}, ordinary(9), 0, 1, intake.Decision{RetryAfter: 500 * time.Millisecond}},
		{"nobody is ended if that is not enough", []intake.Client{
			{ID: 1, Phase: intake.Running, Held: 39 * mb, Age: time.Minute}, stalled(2, intake.Head, 60*kb),
		}, intake.Demand{Client: intake.Client{ID: 9, Phase: intake.Body, Held: 50 * kb}, Bytes: 4 * mb}, 0, 2, intake.Decision{RetryAfter: 500 * time.Millisecond}},
		{"a client that costs more than the others ends none", []intake.Client{
			stalled(1, intake.Idle, 48*kb),
		}, intake.Demand{Client: stalled(9, intake.Body, 20*mb), Bytes: 20 * mb}, 0, 2, intake.Decision{RetryAfter: 500 * time.Millisecond}},
		{"large requests leave room for small ones", nil, intake.Demand{Client: intake.Client{ID: 9, Phase: intake.Body, Held: mb}, Bytes: mb}, 10 * mb, 2, intake.Decision{RetryAfter: 500 * time.Millisecond}},
		{"small requests take that room", nil, ordinary(9), 10 * mb, 2, intake.Decision{Admit: true}},
		{"an idle connection makes way for a new one", []intake.Client{
			stalled(1, intake.Idle, 48*kb), {ID: 2, Phase: intake.Running, Held: 48 * kb, Age: time.Minute},
		}, intake.Demand{Client: intake.Client{ID: 9}, Bytes: 48 * kb, Connection: true}, 20 * mb, 10, intake.Decision{Admit: true, End: []uint64{1}}},
		{"new connections do not end one another", []intake.Client{
			{ID: 1, Held: 48 * kb, Age: 10 * time.Millisecond},
		}, intake.Demand{Client: intake.Client{ID: 9}, Bytes: 48 * kb, Connection: true}, 20 * mb, 10, intake.Decision{RetryAfter: 500 * time.Millisecond}},
	} {
		t.Run(test.name, func(t *testing.T) {
			room := room
			room.Held, room.ConnectionsIn = room.Memory-test.free, test.connections
			qt.Assert(t, intake.Decide(room, test.clients, test.demand), qt.DeepEquals, test.want)
		})
	}
}

// Replays a crowd of stalled bodies, on which many decisions of the same kind act: what is held stays within the room, and each
// ordinary client is served. A VM that refuses whoever comes last serves none.
func TestOrdinaryClientsAreServedBesideACrowd(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	room := intake.Room{Memory: 40 * mb, Connections: 400}
	clients := map[uint64]intake.Client{}
	naive := 0
	for step, id := 0, uint64(1); step < 2000; step++ {
		list := make([]intake.Client, 0, len(clients))
		for key, c := range clients {
			c.Age += 20 * time.Millisecond
			c.Rate *= 0.96
			clients[key] = c
			list = append(list, c)
		}
		room.Held, room.ConnectionsIn = sum(list), len(list)
		qt.Assert(t, room.Held <= room.Memory, qt.IsTrue)
		demand := intake.Demand{Client: intake.Client{ID: id, Phase: intake.Body, Rate: mb}, Bytes: int64(random.IntN(4*mb) + 48*kb), Connection: true}
		if step >= 1000 {
			demand.Bytes = int64(random.IntN(64*kb) + 48*kb)
		}
		isOrdinary := step%10 == 9
		if isOrdinary {
			demand.Client.Rate, demand.Bytes = 0, 52*kb
			if !room.Fits(demand) {
				naive++
			}
		}
		d := intake.Decide(room, list, demand)
		for _, end := range d.End {
			qt.Assert(t, clients[end].Phase, qt.Not(qt.Equals), intake.Running)
			delete(clients, end)
		}
		if isOrdinary {
			qt.Assert(t, d.Admit, qt.IsTrue, qt.Commentf("step %d", step))
			continue
		}
		if d.Admit {
			demand.Client.Held = demand.Bytes
			clients[id] = demand.Client
		}
		id++
	}
	qt.Assert(t, naive > 0, qt.IsTrue)
}
