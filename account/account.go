// Package account models the client accounts that requests belong to, and finds the account of an API key.
//
// The package does no I/O. A Directory is immutable and safe for concurrent use.
package account

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Account is a client account.
type Account struct {
	Name string
	// Priority ranks the account's requests instead of their route's priority, unless it is nil. Zero is the highest.
	Priority *int
	// Weight is the account's share of contended slots relative to other accounts. Zero means 1.
	Weight float64
	// Limit is the account's usage limit over all VMs.
	Limit Limit
}

// Limit is a usage limit for online requests. The zero value means no limit.
type Limit struct {
	// PerSecond is the number of requests per second, and Burst the number of requests that may come at once.
	PerSecond, Burst float64
}

// Limited reports whether the limit restricts anything.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Entry is an account and the digests of its keys.
type Entry struct {
	Account Account
	Keys    []Digest
}

// Directory holds the accounts of one version of the configuration. A nil Directory means that requests need no key.
type Directory struct {
	keys   KeyIndex[Account]
	byName map[string]*Account
	// entries are those that the directory was made of.
	entries []Entry
}

// NewDirectory returns a directory, or an error if the entries are not consistent.
func NewDirectory(entries []Entry) (*Directory, error) {
	d := &Directory{keys: NewKeyIndex[Account](), byName: make(map[string]*Account, len(entries)), entries: entries}
	for _, e := range entries {
		a := e.Account
		if err := a.validate(); err != nil {
			return nil, err
		}
		if d.byName[a.Name] != nil {
			return nil, fmt.Errorf("client account %q is defined twice", a.Name)
		}
		d.byName[a.Name] = &a
		for _, key := range e.Keys {
			if other := d.keys.Add(key, &a); other != nil && other != &a {
				return nil, fmt.Errorf("client accounts %q and %q have a key in common", other.Name, a.Name)
			}
		}
	}
	return d, nil
}

func (a *Account) validate() error {
	if a.Name == "" {
		return errors.New("client account has no name")
	}
	// Targets get the name in a header.
	if strings.ContainsFunc(a.Name, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return fmt.Errorf("name of client account %q has a control character", a.Name)
	}
	for _, v := range []float64{a.Weight, a.Limit.PerSecond, a.Limit.Burst} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("client account %q has a weight or limit of %v", a.Name, v)
		}
	}
	return nil
}

// Authenticate returns the account that holds an API key.
func (d *Directory) Authenticate(key Digest) (*Account, bool) {
	return d.keys.Find(key)
}

// Lookup returns the account of a name.
func (d *Directory) Lookup(name string) (*Account, bool) {
	a, ok := d.byName[name]
	return a, ok
}

// Entries returns the accounts with the digests of their keys, in the order of the configuration.
func (d *Directory) Entries() []Entry {
	if d == nil {
		return nil
	}
	return d.entries
}
