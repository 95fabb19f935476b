// Package fairshare orders the waiting requests of accounts by weighted fair queueing.
//
// It addresses accounts that send 4 to 7.5 times their usual load for 6.5 s, several at once, while the others have bursts of
// 1.85 of the mean.
//
// The package is pure: the time is passed in. Its types are not safe for concurrent use.
package fairshare

import (
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time after which use counts half: short enough that an account regains its share within seconds after
	// a surge of 6.5 s, and several times the slot time of an online request.
	halfLife = 3 * time.Second
	// retention is the time without use after which an account is dropped.
	retention = 10 * time.Second
	// maxAccounts bounds the number of accounts: twice the planned 4,100.
	maxAccounts = 8192
	// usualAge is the age up to which the usual use is used again.
	usualAge = 100 * time.Millisecond
)

// Usage is the recent use of slots by account. The zero value has no recorded use.
type Usage struct {
	accounts map[string]*list.Element
	// byTime holds the entries in the order of their last use.
	byTime list.List
	// usual is the usual use at the time usualAt.
	usual   float64
	usualAt time.Time
}

type entry struct {
	account string
	use     float64
	at      time.Time
}

// Record adds the cost of a request, divided by the weight of its account, to the use of the account.
func (u *Usage) Record(now time.Time, account string, weight, cost float64) {
	if u.accounts == nil {
		u.accounts = map[string]*list.Element{}
	}
	element := u.accounts[account]
	if element == nil {
		element = u.byTime.PushBack(&entry{account: account, at: now})
		u.accounts[account] = element
	}
	e := element.Value.(*entry)
	e.use = e.decayed(now) + share(weight, cost)
	e.at = now
	u.byTime.MoveToBack(element)
	for front := u.byTime.Front(); u.byTime.Len() > maxAccounts || now.Sub(front.Value.(*entry).at) >= retention; front = u.byTime.Front() {
		delete(u.accounts, front.Value.(*entry).account)
		u.byTime.Remove(front)
	}
}

// Usual returns the recent use up to which an account uses no more than is usual: twice the median of the accounts that have used
// something lately, and half of the largest use.
func (u *Usage) Usual(now time.Time) float64 {
	if now.Sub(u.usualAt) < usualAge {
		return u.usual
	}
	uses := make([]float64, 0, len(u.accounts))
	for _, element := range u.accounts {
		uses = append(uses, element.Value.(*entry).decayed(now))
	}
	slices.Sort(uses)
	u.usual, u.usualAt = 0, now
	if n := len(uses); n > 0 {
		u.usual = min(2*uses[n/2], uses[n-1]/2)
	}
	return u.usual
}

// Of returns the recent use of an account.
func (u *Usage) Of(now time.Time, account string) float64 {
	element := u.accounts[account]
	if element == nil || now.Sub(element.Value.(*entry).at) >= retention {
		return 0
	}
	return element.Value.(*entry).decayed(now)
}

func (e *entry) decayed(now time.Time) float64 {
	return e.use * math.Exp2(-float64(max(now.Sub(e.at), 0))/float64(halfLife))
}

func share(weight, cost float64) float64 {
	if !(weight > 0) {
		weight = 1
	}
	return max(cost, 0) / weight
}

// Turns assigns finish tags to waiting requests. Requests are served in the order of their tags.
type Turns struct {
	usage *Usage
	now   time.Time
	tags  map[string]float64
}

// Turns starts an order in which no request has a tag yet.
func (u *Usage) Turns(now time.Time) *Turns {
	return &Turns{usage: u, now: now, tags: map[string]float64{}}
}

// Next returns the tag of the next request of an account. The tags of an account do not decrease.
func (t *Turns) Next(account string, weight, cost float64) float64 {
	tag, known := t.tags[account]
	if !known {
		tag = t.usage.Of(t.now, account)
	}
	tag += share(weight, cost)
	t.tags[account] = tag
	return tag
}
