package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

// Guards against use that does not decay, so that an account pays for a surge long after it.
func TestUseDecays(t *testing.T) {
	var u Usage
	u.Record(epoch, "a", 0, 8)
	if got := u.Of(epoch.Add(2*halfLife), "a"); math.Abs(got-2) > 1e-9 {
		t.Fatalf("use after two half-lives is %v, want 2", got)
	}
	if got := u.Of(epoch.Add(retention), "a"); got != 0 {
		t.Fatalf("use after the retention is %v, want 0", got)
	}
}

// Guards against memory that grows with the number of account names.
func TestUsageIsBounded(t *testing.T) {
	var u Usage
	for i := range 3 * maxAccounts {
		u.Record(epoch, fmt.Sprint(i), 1, 1)
	}
	if len(u.accounts) != maxAccounts || u.byTime.Len() != maxAccounts {
		t.Fatalf("%d accounts are kept, want %d", len(u.accounts), maxAccounts)
	}
	u.Record(epoch.Add(retention), "a", 1, 1)
	if len(u.accounts) != 1 || u.byTime.Len() != 1 {
		t.Fatalf("%d accounts are kept after the retention, want 1", len(u.accounts))
	}
}

// Guards against a share that ignores weights or recent use.
func TestTurnsFollowWeightAndUse(t *testing.T) {
	var u Usage
	turns := u.Turns(epoch)
	a := turns.Next("a", 0, 1)
	b1, b2, b3 := turns.Next("b", 2, 1), turns.Next("b", 2, 1), turns.Next("b", 2, 1)
	if !(b1 < a && b2 == a && b3 > a) {
		t.Fatalf("tags of weight 2 are %v, %v, %v beside %v of weight 1", b1, b2, b3, a)
	}
	u.Record(epoch, "a", 1, 3)
	turns = u.Turns(epoch)
	if a, b := turns.Next("a", 1, 1), turns.Next("b", 1, 1); a <= b {
		t.Fatalf("an account with use 3 has tag %v, before %v of an account without use", a, b)
	}
}

// Guards against an order by use among accounts that use what is usual.
func TestUsualUse(t *testing.T) {
	for _, c := range []struct {
		name string
		uses []float64
		want float64
	}{
		{"no use", nil, 0},
		{"one account uses far more than the others", []float64{1, 2, 2, 3, 30}, 4},
		{"all use about the same", []float64{2, 2, 2, 3}, 1.5},
	} {
		var u Usage
		for i, use := range c.uses {
			u.Record(epoch, fmt.Sprint(i), 1, use)
		}
		if got := u.Usual(epoch); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: usual use is %v, want %v", c.name, got, c.want)
		}
	}
}
