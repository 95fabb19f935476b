package node

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

const (
	// tableVMs holds a row for each VM, by which others find it.
	tableVMs = "rosemarydyke-vms"
	// announceTimeout bounds one try to write the row, and announceRetry is the pause before the next.
	announceTimeout = time.Second
	announceRetry   = 500 * time.Millisecond
)

// roster lists the VMs in the platform's store. Rows of VMs that were lost stay until their names are
// used again: membership finds out who lives.
type roster struct {
	rows  platform.Rows
	self  string
	peers string
	zone  string
}

var _ platform.VMList = (*roster)(nil)

// rosterRow is the row of a VM.
type rosterRow struct {
	Peers            string `cbor:"1,keyasint"`
	AvailabilityZone string `cbor:"2,keyasint"`
}

func (r *roster) key() platform.RowKey { return platform.RowKey{Table: tableVMs, Key: r.self} }

// announce writes this VM's row.
func (r *roster) announce(ctx context.Context, log zerolog.Logger) {
	value, err := cbor.Marshal(rosterRow{Peers: r.peers, AvailabilityZone: r.zone})
	if err != nil {
		log.Error().Err(err).Msg("row of this VM cannot be encoded")
		return
	}
	for {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := r.rows.Apply(call, platform.RowTxn{Writes: []platform.RowWrite{{RowKey: r.key(), Value: value}}})
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceRetry):
		}
	}
}

// remove deletes this VM's row. Others that still find it learn from the members that the VM is gone.
func (r *roster) remove(ctx context.Context, log zerolog.Logger) {
	if _, err := r.rows.Apply(ctx, platform.RowTxn{Deletes: []platform.RowKey{r.key()}}); err != nil {
		log.Info().Err(err).Msg("row of this VM stays in the store")
	}
}

// List implements platform.VMList.
func (r *roster) List(ctx context.Context) ([]platform.VM, error) {
	page, err := r.rows.Read(ctx, tableVMs, "", platform.KeyRange{})
	if err != nil {
		return nil, err
	}
	vms := make([]platform.VM, 0, len(page.Rows))
	for _, row := range page.Rows {
		var content rosterRow
		if err := cbor.Unmarshal(row.Value, &content); err != nil {
			return nil, fmt.Errorf("decode row of VM %q: %w", row.Key, err)
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
