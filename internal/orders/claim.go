package orders

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/ulid/v2"
	"github.com/samber/oops"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// claimPrefix is the key prefix of the rows that hold fencing tokens.
const claimPrefix = "orders/"

// claimRow is the row that holds a target's newest fencing token.
type claimRow struct {
	Fence uint64 `cbor:"1,keyasint"`
	// Holder is the process that holds the token.
	Holder string `cbor:"2,keyasint"`
	// Operation is unique to the claim. A process whose response was lost compares it with its own to learn
	// whether its claim took effect.
	Operation string `cbor:"3,keyasint"`
}

// claim is a fencing token that this process has claimed.
type claim struct {
	fence uint64
	// otherHolder reports that the previous token belonged to another process.
	otherHolder bool
}

// claimFence claims the next fencing token of a target, which is higher than minimum. It returns a
// *platform.ConflictError if another process claimed one concurrently.
func claimFence(ctx context.Context, table platform.Table, target, holder string, minimum uint64) (claim, error) {
	key := claimPrefix + target
	rows, err := table.Get(ctx, key)
	if err != nil {
		return claim{}, err
	}
	var previous claimRow
	if rows[0].Version != 0 {
		if err := cbor.Unmarshal(rows[0].Value, &previous); err != nil {
			return claim{}, oops.In("orders").With("target", target).Wrapf(err, "decode the fencing token row")
		}
	}
	next := claimRow{Fence: max(previous.Fence, minimum) + 1, Holder: holder, Operation: ulid.Make().String()}
	value, err := cbor.Marshal(next)
	if err != nil {
		return claim{}, oops.In("orders").Wrapf(err, "encode the fencing token row")
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: rows[0].Version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
	err = platform.CommitWithRetry(ctx, table, txn, func(rows []platform.Row) bool {
		var current claimRow
		return cbor.Unmarshal(rows[0].Value, &current) == nil && current.Operation == next.Operation
	})
	if err != nil {
		return claim{}, err
	}
	return claim{fence: next.Fence, otherHolder: previous.Holder != "" && previous.Holder != holder}, nil
}
