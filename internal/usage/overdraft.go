package usage

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/usage"
)

const (
	// tableOverdrafts holds a row for each account that has overdrawn its bucket.
	tableOverdrafts = "rosemarydyke-usage"
	// overdraftTime is how long a recorded overdraft may be used. It is recorded again before that.
	overdraftTime = 2 * time.Second
	// overdraftMargin is the time before that at which its use ends, for the difference of two clocks within overdraftTime.
	overdraftMargin = 100 * time.Millisecond
	// overdraftTimeout bounds one call of the store, and overdraftRetry is the pause after one that failed.
	overdraftTimeout = 300 * time.Millisecond
	overdraftRetry   = 100 * time.Millisecond
	// overdraftRest is how long after its use another VM's record keeps this one from overdrawing, if that VM began to count later.
	overdraftRest = 2 * usage.Window
	// overdraftPage is the number of records that are read at once.
	overdraftPage = 500
	// overdraftMemory is how long what is known of an account's overdraft is kept after its last use.
	overdraftMemory = 2 * usage.Window
)

// Store keeps the overdrafts.
type Store interface {
	Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error)
	Apply(ctx context.Context, txn platform.RowTxn) (uint64, error)
}

// overdraftRow is the largest overdraft that a VM may have allowed.
type overdraftRow struct {
	// Process is the process of the VM.
	Process uint64  `cbor:"1,keyasint"`
	Amount  float64 `cbor:"2,keyasint"`
	// Until is the time of the store at which its use has ended, and Since that at which the VM began to count.
	Until time.Duration `cbor:"3,keyasint"`
	Since time.Duration `cbor:"4,keyasint"`
}

// maxAhead is the largest time by which a time in a record may be ahead of the store's clock.
const maxAhead = time.Minute

// decodeOverdraft decodes a record that was read at a time of the store. It fails for a record that no VM writes.
func decodeOverdraft(value []byte, now time.Duration) (overdraftRow, error) {
	var row overdraftRow
	if err := cbor.Unmarshal(value, &row); err != nil {
		return overdraftRow{}, err
	}
	if !(row.Amount >= 0 && row.Amount <= math.MaxFloat32) || max(row.Until, row.Since) > now+maxAhead {
		return overdraftRow{}, fmt.Errorf("amount %g until %s since %s", row.Amount, row.Until, row.Since)
	}
	return row, nil
}

// overdraft is what this VM knows of the overdraft of an account.
type overdraft struct {
	usedAt time.Time
	// row was read or written by a call that began at asked, zero if there was none.
	row     overdraftRow
	version uint64
	asked   time.Time
	// inherited and inheritedUntil are the amount and end of use in the row that was claimed.
	inherited      float64
	inheritedUntil time.Duration
	// storeAheadMin and storeAheadMax are the least and the most by which the store's clock may be ahead of Config.Clock.
	storeAheadMin, storeAheadMax time.Duration
	// until is the time of Config.Clock until which this VM may use the amount of its own row.
	until time.Duration
	// calling means that a call of the store is in progress, and retryAt is when the next one may begin after a failure.
	calling bool
	retryAt time.Time
}

func (s *Service) overdraftOf(now time.Time, name string) *overdraft {
	o := s.overdrafts[name]
	if o == nil {
		if len(s.overdrafts) >= maxOrders {
			clear(s.overdrafts)
		}
		o = &overdraft{}
		s.overdrafts[name] = o
	}
	o.usedAt = now
	return o
}

// sinceInStore returns the least time of the store at which a term may have begun.
func (s *Service) sinceInStore(now time.Time, o *overdraft, term usage.Term) time.Duration {
	return s.config.Clock() - now.Sub(term.Since) + o.storeAheadMin
}

// applyOverdraft completes a term with what may have been overdrawn before it. If that is not known, it reads the record. One that may
// still be in use is claimed too, which keeps the VM that counted before from recording another overdraft.
func (s *Service) applyOverdraft(now time.Time, name string, limit account.Limit, term *usage.Term) {
	if s.config.Store == nil || now.Sub(term.Since) > usage.Window+overdraftTime {
		return
	}
	o := s.overdraftOf(now, name)
	if o.asked.Before(term.Since) && !s.recordsAsked.Before(term.Since) && s.records[name] == (overdraftRow{}) {
		// There was no record when this VM started.
		return
	}
	if o.asked.IsZero() || o.asked.Before(term.Since) {
		term.InheritedUnknown = true
		since := *term
		s.call(now, name, o, func(ctx context.Context, name string, o *overdraft) error {
			return s.claimOverdraft(ctx, name, o, since)
		})
		return
	}
	// The bucket has filled since the use ended.
	ended := s.sinceInStore(now, o, *term) - o.inheritedUntil
	term.Inherited = max(o.inherited-limit.PerSecond*max(ended, 0).Seconds(), 0)
}

// usableOverdraft returns the overdraft that this VM may use now. A VM that may have been cut off uses none: another one counts
// soon, and may find no record to claim.
func (s *Service) usableOverdraft(name string) float64 {
	o := s.overdrafts[name]
	if o == nil || o.row.Process != s.process || s.config.Clock() >= o.until || !s.fleet.reach.lastAnswered(time.Now()) {
		return 0
	}
	return o.row.Amount
}

// requestOverdraft records an overdraft in the store unless this VM has it already.
func (s *Service) requestOverdraft(now time.Time, name string, term usage.Term) {
	wanted := s.buckets.OverdraftWanted(now, name)
	if s.config.Store == nil || wanted == 0 || !s.fleet.reach.lastAnswered(now) {
		return
	}
	o := s.overdraftOf(now, name)
	if wanted = max(wanted, s.usableOverdraft(name)); s.usableOverdraft(name) >= wanted && o.until-s.config.Clock() > overdraftTime/2 {
		return
	}
	s.call(now, name, o, func(ctx context.Context, name string, o *overdraft) error {
		return s.recordOverdraft(ctx, name, o, term, wanted)
	})
}

// call calls the store for an account unless a call is in progress. s.mu must be held; run is called without it.
func (s *Service) call(now time.Time, name string, o *overdraft, run func(ctx context.Context, name string, o *overdraft) error) {
	if o.calling || now.Before(o.retryAt) {
		return
	}
	o.calling = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), overdraftTimeout)
		defer cancel()
		err := run(ctx, name, o)
		s.mu.Lock()
		defer s.mu.Unlock()
		o.calling = false
		if err != nil {
			overdraftErrors.Inc()
			o.retryAt = time.Now().Add(overdraftRetry)
			s.config.Log.Debug().Err(err).Str("account", name).Msg("overdraft of an account not read or recorded; tried again")
		}
	}()
}

// readOverdraft reads the record of an account.
func (s *Service) readOverdraft(ctx context.Context, name string, o *overdraft) error {
	began := s.config.Clock()
	page, err := s.config.Store.Read(ctx, tableOverdrafts, "", platform.KeyRange{From: name, To: name + "\x00", Limit: 1})
	if err != nil {
		return err
	}
	var row overdraftRow
	var version uint64
	if len(page.Rows) > 0 {
		version = page.Rows[0].Version
		if row, err = decodeOverdraft(page.Rows[0].Value, page.Now); err != nil {
			// A record that can't be read may stand for any overdraft.
			row = overdraftRow{Amount: math.MaxFloat32, Until: page.Now}
			s.config.Log.Error().Err(err).Str("account", name).Msg("overdraft of an account not decoded; all of its limit counts as used")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.row, o.version = row, version
	o.storeAheadMin, o.storeAheadMax = page.Now-s.config.Clock(), page.Now-began
	return nil
}

// claimOverdraft reads the record of an account and writes that this VM counts for it now.
func (s *Service) claimOverdraft(ctx context.Context, name string, o *overdraft, term usage.Term) error {
	asked := time.Now()
	if err := s.readOverdraft(ctx, name, o); err != nil {
		return err
	}
	s.mu.Lock()
	before, since := o.row, s.sinceInStore(time.Now(), o, term)
	s.mu.Unlock()
	if before.Until+usage.Window > since {
		row := overdraftRow{Process: s.process, Amount: before.Amount, Until: before.Until, Since: since}
		if err := s.writeOverdraft(ctx, name, o, row); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.asked, o.inherited, o.inheritedUntil = asked, before.Amount, before.Until
	return nil
}

// readOverdrafts reads the records of all accounts, so that a VM that has just started knows at once which accounts have none.
func (s *Service) readOverdrafts(ctx context.Context) {
	for ctx.Err() == nil && time.Since(s.started) < usage.Window {
		asked := time.Now()
		records, err := s.readAllRecords(ctx)
		if err == nil {
			s.mu.Lock()
			s.records, s.recordsAsked = records, asked
			s.mu.Unlock()
			return
		}
		overdraftErrors.Inc()
		s.config.Log.Info().Err(err).Msg("overdrafts of accounts not read; until they are, requests beyond a part of the limits are refused")
		select {
		case <-ctx.Done():
		case <-time.After(overdraftRetry):
		}
	}
}

func (s *Service) readAllRecords(ctx context.Context) (map[string]overdraftRow, error) {
	ctx, cancel := context.WithTimeout(ctx, overdraftTimeout)
	defer cancel()
	records := map[string]overdraftRow{}
	for from := ""; ; {
		page, err := s.config.Store.Read(ctx, tableOverdrafts, "", platform.KeyRange{From: from, Limit: overdraftPage})
		if err != nil {
			return nil, err
		}
		for _, r := range page.Rows {
			row, err := decodeOverdraft(r.Value, page.Now)
			if err != nil || row == (overdraftRow{}) {
				row = overdraftRow{Amount: math.MaxFloat32}
			}
			if row.Until+usage.Window > page.Now || row.Amount == math.MaxFloat32 {
				records[r.Key] = row
			}
		}
		if !page.More || len(page.Rows) == 0 {
			return records, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

var errOtherVMCounts = errors.New("another VM has begun to count for the account since")

// recordOverdraft records an overdraft of this VM, unless another one counts for the account.
func (s *Service) recordOverdraft(ctx context.Context, name string, o *overdraft, term usage.Term, amount float64) error {
	s.mu.Lock()
	isRead := o.row.Process == s.process
	s.mu.Unlock()
	if !isRead {
		if err := s.readOverdraft(ctx, name, o); err != nil {
			return err
		}
	}
	s.mu.Lock()
	began, since := s.config.Clock(), s.sinceInStore(time.Now(), o, term)
	row := overdraftRow{Process: s.process, Amount: amount, Until: began + o.storeAheadMax + overdraftTime, Since: since}
	isOthers := o.version != 0 && o.row.Process != s.process && o.row.Since >= since && max(o.row.Until, o.row.Since)+overdraftRest > began+o.storeAheadMin
	s.mu.Unlock()
	if isOthers {
		return errOtherVMCounts
	}
	if err := s.writeOverdraft(ctx, name, o, row); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	overdraftsRecorded.Inc()
	o.until = began + overdraftTime - overdraftMargin
	return nil
}

// writeOverdraft writes a record if nobody else has changed it.
func (s *Service) writeOverdraft(ctx context.Context, name string, o *overdraft, row overdraftRow) error {
	value, err := cbor.Marshal(row)
	if err != nil {
		return err
	}
	s.mu.Lock()
	version := o.version
	s.mu.Unlock()
	key := platform.RowKey{Table: tableOverdrafts, Key: name}
	version, err = s.config.Store.Apply(ctx, platform.RowTxn{
		Conditions: []platform.RowCondition{{RowKey: key, Version: version}},
		Writes:     []platform.RowWrite{{RowKey: key, Value: value}},
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		// The row may have been written all the same, or by another VM, so it has to be read again.
		o.row, o.until = overdraftRow{}, 0
		return err
	}
	o.row, o.version = row, version
	return nil
}

// forgetOverdrafts drops what was not used for long.
func (s *Service) forgetOverdrafts(now time.Time) {
	for name, o := range s.overdrafts {
		if !o.calling && now.Sub(o.usedAt) > overdraftMemory {
			delete(s.overdrafts, name)
		}
	}
}
