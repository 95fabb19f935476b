package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

const (
	// tableVMs holds a row with the address of each VM, for discovery by the others.
	tableVMs = "rosemarydyke-vms"
	// registerTimeout bounds one attempt to write the row; registerRetry is the pause before the next.
	registerTimeout = time.Second
	registerRetry   = 500 * time.Millisecond
	// vmListRows is the number of rows that are read at a time. Membership needs only some live VMs to find all others.
	vmListRows = 32
)

var unreadableVMRows = metrics.NewCounter(`rosemarydyke_unreadable_vm_rows_total`)

// vmRegistry registers this VM in the platform's store and lists the VMs there. Rows of lost VMs stay until their
// names are reused: liveness is determined by the membership protocol.
type vmRegistry struct {
	rows  platform.Rows
	self  string
	peers string
	zone  string
	log   zerolog.Logger

	// next is the key at which the next list begins, after the first one.
	next   string
	listed bool
}

var _ platform.VMList = (*vmRegistry)(nil)

// vmRow is the row of a VM.
type vmRow struct {
	Peers            string `cbor:"1,keyasint"`
	AvailabilityZone string `cbor:"2,keyasint"`
}

func (r *vmRegistry) key() platform.RowKey { return platform.RowKey{Table: tableVMs, Key: r.self} }

// register writes this VM's row, retrying until it succeeds or ctx ends.
func (r *vmRegistry) register(ctx context.Context, log zerolog.Logger) {
	value, err := cbor.Marshal(vmRow{Peers: r.peers, AvailabilityZone: r.zone})
	if err != nil {
		log.Error().Err(err).Msg("row of this VM not encoded; VM not registered in the store")
		return
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := r.rows.Apply(callCtx, platform.RowTxn{Writes: []platform.RowWrite{{RowKey: r.key(), Value: value}}})
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerRetry):
		}
	}
}

// deregister deletes this VM's row. VMs that have already read it learn from the membership protocol that
// this VM has left.
func (r *vmRegistry) deregister(ctx context.Context, log zerolog.Logger) {
	if _, err := r.rows.Apply(ctx, platform.RowTxn{Deletes: []platform.RowKey{r.key()}}); err != nil {
		log.Info().Err(err).Msg("row of this VM not deleted; it stays in the store")
	}
}

// List implements platform.VMList. It reads a bounded number of rows, and goes on from there the next time. VMs that start
// together begin at different rows.
func (r *vmRegistry) List(ctx context.Context) ([]platform.VM, error) {
	from := r.next
	if !r.listed {
		from = r.self
	}
	page, err := r.rows.Read(ctx, tableVMs, "", platform.KeyRange{From: from, Limit: vmListRows})
	if err != nil {
		return nil, err
	}
	rows := page.Rows
	if !r.listed && len(rows) < vmListRows/2 {
		// This VM knows no other, and its row is among the last ones.
		if page, err = r.rows.Read(ctx, tableVMs, "", platform.KeyRange{To: from, Limit: vmListRows - len(rows)}); err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
	}
	r.listed, r.next = true, ""
	if page.More {
		r.next = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	vms := make([]platform.VM, 0, len(rows))
	for _, row := range rows {
		var content vmRow
		err := cbor.Unmarshal(row.Value, &content)
		if err == nil {
			_, err = netip.ParseAddrPort(content.Peers)
		}
		if err != nil {
			unreadableVMRows.Inc()
			r.log.Info().Err(err).Str("row", row.Key).Msg("row of a VM not decoded; it is skipped")
			continue
		}
		vms = append(vms, platform.VM{
			Name:             row.Key,
			Address:          content.Peers,
			AvailabilityZone: content.AvailabilityZone,
			Role:             platform.RoleEntry,
			State:            platform.VMLive,
		})
	}
	return vms, nil
}
