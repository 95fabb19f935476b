package clientconn

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarydyke/rosemarydyke/intake"
)

// Reasons of refusals.
const (
	reasonConnections = "connections"
	reasonMemory      = "memory"
	reasonHeadSize    = "head_size"
	reasonHeadTime    = "head_time"
	reasonTunnels     = "tunnels"
	reasonBodyTime    = "body_time"
)

func refusedTotal(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarydyke_clients_refused_total{reason=%q}`, reason))
}

func endedTotal(phase intake.Phase) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarydyke_clients_ended_total{phase=%q}`, phase))
}

// stalledTotal counts responses that were broken off because their clients read nothing.
var stalledTotal = metrics.NewCounter(`rosemarydyke_clients_stalled_total`)

// guardList is the list of all guards of the process, for the metrics.
type guardList struct {
	mu   sync.Mutex
	list []*Guard
}

var guards = newGuardList()

func newGuardList() *guardList {
	l := &guardList{}
	metrics.NewGauge(`rosemarydyke_client_connections`, func() float64 {
		connections, _ := l.inUse()
		return float64(connections)
	})
	metrics.NewGauge(`rosemarydyke_client_memory_bytes`, func() float64 {
		_, bytes := l.inUse()
		return float64(bytes)
	})
	return l
}

func (l *guardList) add(g *Guard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, g)
}

func (l *guardList) inUse() (connections int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.list {
		c, b := g.inUse()
		connections += c
		bytes += b
	}
	return connections, bytes
}
