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

// Prober checks whether an ejected target is reachable again.
type Prober interface {
	// Probe returns nil if the target is reachable.
	Probe(ctx context.Context, target *settings.Target) error
}

// Config configures a Controller.
type Config struct {
	// VM is this VM's name, and AvailabilityZone the zone that it runs in.
	VM               string
	AvailabilityZone string
	// Members lists the live VMs, including this one.
	Members member.View
	// Settings provides the targets and the clients' weights.
	Settings settings.Source
	// Caller calls the entries that own targets.
	Caller peer.Caller
	// VMs is the platform's VM list, which announces leaving targets. If it is nil, these announcements are not read.
	VMs platform.VMList
	// Prober probes ejected targets. Default: a TCP connection to the target's address.
	Prober Prober
	// Log is the component's logger.
	Log zerolog.Logger

	// RenewInterval is the time between two renewals of credits. Default 2s.
	RenewInterval time.Duration
	// TickInterval is the time between two checks for changed settings and members and for expiries. Default 250ms.
	TickInterval time.Duration
	// VMListInterval is the time between two reads of the platform's VM list. Default 2s.
	VMListInterval time.Duration
	// CallTimeout bounds one call to an owner, and one probe. Default 1s.
	CallTimeout time.Duration
	// HoldTimeout is how long an owner holds a credit request that it cannot meet yet. Default 250ms.
	HoldTimeout time.Duration
	// HedgeDelay is how long a waiting request relies on one owner before credits are also requested from other
	// owners. Default 25ms.
	HedgeDelay time.Duration
	// CreditCallRate is the number of credit calls per second, sent and received, above which this VM keeps unused
	// credits, up to its recent peak usage, instead of returning them immediately. Default 18.
	CreditCallRate float64
	// CreditCallBurst is the number of credit calls that may exceed CreditCallRate in a burst. Unused credits are
	// kept as soon as half of it is used up. Default 120.
	CreditCallBurst int
	// MinTargets is the number of targets of each model or service that this VM requests credits for. Default 5.
	MinTargets int
	// PrefixEntries is the capacity of the prompt prefix index. Default 65536.
	PrefixEntries int

	// Ledger, Health, Pacer, Retry and Quarantine configure the parts that make the decisions.
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
	c.HoldTimeout = cmp.Or(c.HoldTimeout, 250*time.Millisecond)
	c.HedgeDelay = cmp.Or(c.HedgeDelay, 25*time.Millisecond)
	c.CreditCallRate = cmp.Or(c.CreditCallRate, 18)
	c.CreditCallBurst = cmp.Or(c.CreditCallBurst, 120)
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
