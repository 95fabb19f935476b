package routing_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/routing"
)

// naiveMatch sorts the routes by the length of their prefixes and returns the first match.
func naiveMatch(routes []*routing.Route, host, path string) *routing.Route {
	sorted := slices.Clone(routes)
	slices.SortStableFunc(sorted, func(a, b *routing.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	for _, r := range sorted {
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &routing.Table{}
		host := rapid.SampledFrom([]string{"a.example", "b.example"})
		path := rapid.SampledFrom([]string{"/", "/x/", "/x/y/", "/x/y/z/", "/xy/"})
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			r := &routing.Route{Name: fmt.Sprint(i), Host: host.Draw(t, "host"), PathPrefix: path.Draw(t, "prefix")}
			if !slices.ContainsFunc(table.Routes, func(o *routing.Route) bool { return o.Host == r.Host && o.PathPrefix == r.PathPrefix }) {
				table.Routes = append(table.Routes, r)
			}
		}
		h, p := host.Draw(t, "request host"), path.Draw(t, "request path")+rapid.SampledFrom([]string{"", "q", "y/q"}).Draw(t, "rest")
		if got, want := table.Match(h, p), naiveMatch(table.Routes, h, p); got != want {
			t.Fatalf("%s%s: got %v, want %v", h, p, got, want)
		}
	})
}

func TestRequestsAreSplitByWeight(t *testing.T) {
	r := &routing.Route{Services: []routing.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.Pick(float64(i)/1000)]++
	}
	qt.Assert(t, count, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
	qt.Assert(t, r.Uses("c"), qt.IsFalse)
	qt.Assert(t, (&routing.Route{}).Pick(0.5), qt.Equals, "")
}

func TestRegistry(t *testing.T) {
	now := time.Unix(1000, 0)
	target := routing.Target{ID: "t", Service: "s", Slots: 1}
	t.Run("removes a deleted entry at once while the store is available", func(t *testing.T) {
		r := routing.NewRegistry()
		r.Put(target)
		r.Remove(now, "t")
		qt.Assert(t, r.Targets(), qt.HasLen, 0)
	})
	t.Run("keeps an entry that expired during an outage for the grace period", func(t *testing.T) {
		r := routing.NewRegistry()
		r.Put(target)
		r.StoreRecovered(now, 2*time.Second)
		r.Replace(now, nil)
		qt.Assert(t, r.Targets(), qt.HasLen, 1)
		qt.Assert(t, r.Expire(now.Add(time.Second)), qt.HasLen, 0)
		qt.Assert(t, r.Expire(now.Add(2*time.Second)), qt.DeepEquals, []string{"t"})
		qt.Assert(t, r.Targets(), qt.HasLen, 0)
	})
	t.Run("keeps an entry that is registered again within the grace period", func(t *testing.T) {
		r := routing.NewRegistry()
		r.Put(target)
		r.StoreRecovered(now, 2*time.Second)
		r.Remove(now, "t")
		r.Put(target)
		qt.Assert(t, r.Expire(now.Add(3*time.Second)), qt.HasLen, 0)
		qt.Assert(t, r.Targets(), qt.HasLen, 1)
	})
}
