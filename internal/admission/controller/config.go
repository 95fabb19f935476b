package controller

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// Prober finds out whether a target takes connections again.
type Prober interface {
	// Probe returns nil when the target answers.
	Probe(ctx context.Context, target *settings.Target) error
}

// Config configures a Controller.
type Config struct {
	// VM is this VM's name, and AvailabilityZone where it runs.
	VM               string
	AvailabilityZone string
	// Members gives the live VMs, this one included.
	Members member.View
	// Settings gives the targets and the clients' weights.
	Settings settings.Source
	// Caller reaches the entries that own targets.
	Caller peer.Caller
	// VMs is the platform's list, in which targets are announced as leaving. Nil leaves that sign out.
	VMs platform.VMList
	// Prober probes ejected targets. Default: a TCP connection to the target's address.
	Prober Prober
	// Log takes the component's log.
	Log zerolog.Logger

	// RenewInterval is the time between two renewals of credits. Default 2s.
	RenewInterval time.Duration
	// TickInterval is the time between two looks at settings, members and expiries. Default 250ms.
	TickInterval time.Duration
	// VMListInterval is the time between two readings of the platform's list. Default 2s.
	VMListInterval time.Duration
	// CallTimeout bounds one call to an owner. Default 1s.
	CallTimeout time.Duration
	// AskWait is how long an owner holds an ask that it cannot meet yet. Default 250ms.
	AskWait time.Duration
	// AskTimeout is how long a waiting request relies on one owner before others are asked too. Default 25ms.
	AskTimeout time.Duration
	// ExchangeRate is the number of exchanges of credits per second, sent and received, above which unused
	// credits are kept for a while instead of being returned at once. Default 12.
	ExchangeRate float64
	// ExchangeBurst is the number of exchanges that may come at once before ExchangeRate counts. Default 60.
	ExchangeBurst int
	// MinTargets is the number of targets of each model or service that this VM exchanges credits for. Default 5.
	MinTargets int
	// PrefixEntries bounds the index of prompt prefixes. Default 65536.
	PrefixEntries int

	// Ledger, Health, Pacer, Retry and Quarantine configure the decisions.
	Ledger     target.LedgerConfig
	Health     target.HealthConfig
	Pacer      target.PacerConfig
	Retry      dispatch.RetryConfig
	Quarantine quarantine.Config
}

func (c Config) withDefaults() Config {
	c.RenewInterval = cmp.Or(c.RenewInterval, 2*time.Second)
	c.TickInterval = cmp.Or(c.TickInterval, 250*time.Millisecond)
	c.VMListInterval = cmp.Or(c.VMListInterval, 2*time.Second)
	c.CallTimeout = cmp.Or(c.CallTimeout, time.Second)
	c.AskWait = cmp.Or(c.AskWait, 250*time.Millisecond)
	c.AskTimeout = cmp.Or(c.AskTimeout, 25*time.Millisecond)
	c.ExchangeRate = cmp.Or(c.ExchangeRate, 18)
	c.ExchangeBurst = cmp.Or(c.ExchangeBurst, 120)
	c.MinTargets = cmp.Or(c.MinTargets, 5)
	c.PrefixEntries = cmp.Or(c.PrefixEntries, 65536)
	if c.Prober == nil {
		c.Prober = dialProber{}
	}
	return c
}

// dialProber probes a target by connecting to it.
type dialProber struct{}

// Probe implements Prober.
func (dialProber) Probe(ctx context.Context, target *settings.Target) error {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return err
	}
	return connection.Close()
}
