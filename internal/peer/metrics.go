package peer

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// Byte counters cover QUIC packets without IP and UDP headers.
	sentBytes         = metrics.NewCounter("rosemarydyke_peer_sent_bytes_total")
	receivedBytes     = metrics.NewCounter("rosemarydyke_peer_received_bytes_total")
	sentPackets       = metrics.NewCounter("rosemarydyke_peer_sent_packets_total")
	receivedPackets   = metrics.NewCounter("rosemarydyke_peer_received_packets_total")
	sentDatagrams     = metrics.NewCounter("rosemarydyke_peer_sent_datagrams_total")
	receivedDatagrams = metrics.NewCounter("rosemarydyke_peer_received_datagrams_total")
	droppedDatagrams  = metrics.NewCounter("rosemarydyke_peer_dropped_datagrams_total")
	dials             = metrics.NewCounter("rosemarydyke_peer_dials_total")
	failedDials       = metrics.NewCounter("rosemarydyke_peer_failed_dials_total")
	openConnections   = metrics.NewGauge("rosemarydyke_peer_connections", nil)
)

func recordCall(method Method, started time.Time, err error) {
	result := "ok"
	switch {
	case err == nil:
	case isRemote(err):
		result = "remote_error"
	default:
		result = "unanswered"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("rosemarydyke_peer_calls_total{method=%q,result=%q}", method, result)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("rosemarydyke_peer_call_seconds{method=%q}", method)).UpdateDuration(started)
}
