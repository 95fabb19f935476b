package orders

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/ulid/v2"
	"github.com/samber/oops"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// claimPrefix starts the keys of the rows that hold fencing numbers.
const claimPrefix = "orders/"

// claimRow is the row of a target's newest fencing number.
type claimRow struct {
	Fence uint64 `cbor:"1,keyasint"`
	// Holder is the process that has the number.
	Holder string `cbor:"2,keyasint"`
	// Operation is unique to the claim, by which a claimer whose reply was lost finds out whether it took effect.
	Operation string `cbor:"3,keyasint"`
}

// claim is a fencing number that was claimed.
type claim struct {
	fence uint64
	// otherHolder says that the number before belonged to another process.
	otherHolder bool
}

// claimFence takes the next fencing number of a target, above least. It fails with *platform.ConflictError when
// another process claimed one at the same moment.
func claimFence(ctx context.Context, table platform.Table, target, holder string, least uint64) (claim, error) {
	key := claimPrefix + target
	rows, err := table.Get(ctx, key)
	if err != nil {
		return claim{}, err
	}
	var before claimRow
	if rows[0].Version != 0 {
		if err := cbor.Unmarshal(rows[0].Value, &before); err != nil {
			return claim{}, oops.In("orders").With("target", target).Wrapf(err, "decode the fencing row")
		}
	}
	next := claimRow{Fence: max(before.Fence, least) + 1, Holder: holder, Operation: ulid.Make().String()}
	value, err := cbor.Marshal(next)
	if err != nil {
		return claim{}, oops.In("orders").Wrapf(err, "encode the fencing row")
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: rows[0].Version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
	err = platform.CommitSettled(ctx, table, txn, func(rows []platform.Row) bool {
		var present claimRow
		return cbor.Unmarshal(rows[0].Value, &present) == nil && present.Operation == next.Operation
	})
	if err != nil {
		return claim{}, err
	}
	return claim{fence: next.Fence, otherHolder: before.Holder != "" && before.Holder != holder}, nil
}
