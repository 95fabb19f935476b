package peer

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
)

// Defaults of Config.
const (
	DefaultMaxMessageBytes     = 8 << 20
	DefaultIdleTimeout         = 15 * time.Minute
	DefaultDialTimeout         = 2 * time.Second
	DefaultCallTimeout         = 10 * time.Second
	DefaultVerifyAfter         = time.Second
	DefaultVerifyTimeout       = 500 * time.Millisecond
	DefaultHealthCheckInterval = time.Second
	DefaultHealthCheckTimeout  = 3 * time.Second
)

// Config configures a Node. Zero fields take their defaults.
type Config struct {
	// Address is the UDP address (IP:port) to listen on. Port 0 picks a free one.
	Address string
	// TLS holds the certificate and key files for mutual TLS.
	TLS config.TLS
	// Log receives errors that no caller sees.
	Log zerolog.Logger
	// MaxMessageBytes bounds one encoded message, in bytes. Default 8 MiB.
	MaxMessageBytes int64
	// IdleTimeout closes a connection without traffic. Default 15 minutes, more than twice the interval
	// between two probes of one pair of VMs at 360 VMs, so that probes need no new handshakes.
	IdleTimeout time.Duration
	// DialTimeout bounds a handshake. Default 2 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline. Default 10 s.
	CallTimeout time.Duration
	// VerifyAfter is the time without received data after which a connection is checked before a call uses it. Default 1 s.
	VerifyAfter time.Duration
	// VerifyTimeout bounds that check. Default 500 ms.
	VerifyTimeout time.Duration
	// HealthCheckInterval is the interval of health checks on connections that carry calls or streams. Default 1 s.
	HealthCheckInterval time.Duration
	// HealthCheckTimeout bounds a health check; a connection that fails it is closed. Default 3 s.
	HealthCheckTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.VerifyAfter, DefaultVerifyAfter)
	setDefault(&c.VerifyTimeout, DefaultVerifyTimeout)
	setDefault(&c.HealthCheckInterval, DefaultHealthCheckInterval)
	setDefault(&c.HealthCheckTimeout, DefaultHealthCheckTimeout)
	return c
}

func setDefault[T ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
