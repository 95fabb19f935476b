// Package group divides the targets of a service into groups, each scheduled by a coordinator of its own, and decides
// which group a request is sent to and which VM coordinates a group.
//
// A single queue for all targets uses them best, but its coordinator would have to handle every request of the service.
// Groups bound that work: a group has at most maxGroupTargets targets, however large the fleet is. All VMs that have
// read the same registry divide it in the same way, without any message.
//
// The package is pure: the time and the random source are passed in, and nothing blocks.
package group

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/target"
)

const (
	// maxGroupTargets is the number of targets above which a service, or its targets in one availability zone, are
	// divided.
	maxGroupTargets = 32
	// minGroupTargets is the number of targets below which an availability zone has no group of its own: in a small
	// group, requests wait although targets of other groups are free.
	minGroupTargets = 8
)

// maxListeners is the number of groups that are told the load of a group, which bounds the messages of a service with many
// groups. A few choices are enough to find free slots (Mitzenmacher 2001, "The Power of Two Choices").
const maxListeners = 8

// keySeparator separates the service from the rest of a group's key.
const keySeparator = "@"

// Group is a set of targets of one service.
type Group struct {
	// Key identifies the group. It is the name of the service if that has a single group.
	Key     string
	Service string
	// AvailabilityZone is that of all targets of the group, or empty if they are in several.
	AvailabilityZone string
	Targets          int
	Slots            int
	// versions are the versions of the targets that take new requests.
	versions map[string]bool
}

// Serves reports whether the group has a target of a version that takes new requests. Empty means any version.
func (g *Group) Serves(version string) bool { return version == "" || g.versions[version] }

// Division is the division of the registered targets into groups. It is immutable.
type Division struct {
	groups    map[string]*Group
	byService map[string][]*Group
	ofTarget  map[string]string
}

// Divide divides targets into groups: one for each service up to maxGroupTargets targets, otherwise one or more for each
// availability zone, so that most requests are coordinated and served where they arrive.
func Divide(targets []routing.Target) *Division {
	d := &Division{groups: map[string]*Group{}, byService: map[string][]*Group{}, ofTarget: map[string]string{}}
	byService := map[string][]routing.Target{}
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	for service, list := range byService {
		d.divideService(service, list)
	}
	for _, groups := range d.byService {
		slices.SortFunc(groups, func(a, b *Group) int { return strings.Compare(a.Key, b.Key) })
	}
	return d
}

func (d *Division) divideService(service string, targets []routing.Target) {
	if len(targets) <= maxGroupTargets {
		for _, t := range targets {
			d.add(service, service, "", t)
		}
		return
	}
	byZone := map[string][]routing.Target{}
	for _, t := range targets {
		byZone[t.AvailabilityZone] = append(byZone[t.AvailabilityZone], t)
	}
	var scattered []routing.Target
	for zone, list := range byZone {
		if len(list) < minGroupTargets {
			scattered = append(scattered, list...)
			continue
		}
		d.divideZone(service, zone, list)
	}
	d.divideZone(service, "", scattered)
}

// divideZone divides the targets of one availability zone. A target keeps its group when others come and go, as long as
// the number of groups stays the same; when it grows by one, only the targets of the new group move.
func (d *Division) divideZone(service, zone string, targets []routing.Target) {
	count := (len(targets) + maxGroupTargets - 1) / maxGroupTargets
	for _, t := range targets {
		var best string
		var bestRank uint64
		for i := range count {
			key := service + keySeparator + zone
			if i > 0 {
				key += keySeparator + strconv.Itoa(i)
			}
			if rank := target.Rank(key, t.ID); best == "" || rank > bestRank {
				best, bestRank = key, rank
			}
		}
		d.add(best, service, zone, t)
	}
}

func (d *Division) add(key, service, zone string, t routing.Target) {
	g := d.groups[key]
	if g == nil {
		g = &Group{Key: key, Service: service, AvailabilityZone: zone, versions: map[string]bool{}}
		d.groups[key] = g
		d.byService[service] = append(d.byService[service], g)
	}
	g.Targets++
	g.Slots += t.Slots
	if !t.Draining {
		g.versions[t.Version] = true
	}
	d.ofTarget[t.ID] = key
}

// Of returns the key of a target's group, or "" if the target is not registered.
func (d *Division) Of(target string) string { return d.ofTarget[target] }

// Group returns the group with a key, or nil.
func (d *Division) Group(key string) *Group { return d.groups[key] }

// Groups returns the groups of a service, ordered by key.
func (d *Division) Groups(service string) []*Group { return d.byService[service] }

// Listeners returns the groups of a service that are told the load of one of them: all others, or the first in the order of
// rendezvous hashing if there are many.
func (d *Division) Listeners(own *Group) []*Group {
	others := make([]*Group, 0, len(d.byService[own.Service]))
	for _, g := range d.byService[own.Service] {
		if g != own {
			others = append(others, g)
		}
	}
	if len(others) > maxListeners {
		slices.SortFunc(others, func(a, b *Group) int { return cmp.Compare(target.Rank(own.Key, b.Key), target.Rank(own.Key, a.Key)) })
		others = others[:maxListeners]
	}
	return others
}

// Keys returns the keys of all groups, sorted.
func (d *Division) Keys() []string {
	keys := make([]string, 0, len(d.groups))
	for key := range d.groups {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// ServiceOf returns the service of a group, also of one that this VM's copy of the registry does not have.
func ServiceOf(key string) string {
	service, _, _ := strings.Cut(key, keySeparator)
	return service
}

// zoneOf returns the availability zone of a group.
func zoneOf(key string) string {
	_, rest, _ := strings.Cut(key, keySeparator)
	zone, _, _ := strings.Cut(rest, keySeparator)
	return zone
}
