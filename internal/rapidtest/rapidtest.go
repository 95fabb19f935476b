// Package rapidtest runs rapid's property-based tests with fixed seeds, so that their result is the same in every
// run, and checks that a property rejects a naive implementation.
package rapidtest

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

const (
	// seedVariable is the environment variable that overrides the seed.
	seedVariable = "ROSEMARYDYKE_FUZZ_SEED"
	// checksVariable is the environment variable that overrides the number of checks of each property.
	checksVariable = "ROSEMARYDYKE_FUZZ_CHECKS"
	defaultSeed    = "1"
	// steps is the mean number of actions in one run of a state machine.
	steps = "150"
	// naiveChecks is the number of checks within which a naive version must fail.
	naiveChecks = "1000"
)

// Main runs the tests of a package with a fixed seed and number of checks. The environment variables
// ROSEMARYDYKE_FUZZ_SEED and ROSEMARYDYKE_FUZZ_CHECKS override them.
func Main(m *testing.M, checks int) {
	flag.Parse()
	setFlag("rapid.seed", cmp.Or(os.Getenv(seedVariable), defaultSeed))
	setFlag("rapid.checks", cmp.Or(os.Getenv(checksVariable), strconv.Itoa(checks)))
	setFlag("rapid.steps", steps)
	setFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// MustFail checks a property of a naive version and fails the test if the property holds. A property that
// every version satisfies proves nothing.
func MustFail(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	shrinkTime := flag.Lookup("rapid.shrinktime").Value.String()
	setFlag("rapid.shrinktime", "0s")
	defer setFlag("rapid.shrinktime", shrinkTime)
	// Use the default seed, so that a seed from the environment cannot decide whether the naive version fails.
	seed := flag.Lookup("rapid.seed").Value.String()
	setFlag("rapid.seed", defaultSeed)
	defer setFlag("rapid.seed", seed)
	checks := flag.Lookup("rapid.checks").Value.String()
	setFlag("rapid.checks", naiveChecks)
	defer setFlag("rapid.checks", checks)
	probe := &recorder{name: t.Name()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(probe, property)
	}()
	<-done
	if !probe.failed {
		t.Fatal("the property holds for the naive version")
	}
	t.Logf("the naive version fails: %s", probe.reason)
}

// recorder is a rapid.TB that records the first failure instead of reporting it.
type recorder struct {
	name   string
	failed bool
	reason string
}

func (r *recorder) fail(reason string) {
	r.failed = true
	r.reason = cmp.Or(r.reason, reason)
}

func (r *recorder) Helper()                           {}
func (r *recorder) Name() string                      { return r.name }
func (r *recorder) Logf(string, ...any)               {}
func (r *recorder) Log(...any)                        {}
func (r *recorder) Skipf(string, ...any)              { r.SkipNow() }
func (r *recorder) Skip(...any)                       { r.SkipNow() }
func (r *recorder) SkipNow()                          { runtime.Goexit() }
func (r *recorder) Errorf(format string, args ...any) { r.fail(fmt.Sprintf(format, args...)) }
func (r *recorder) Error(args ...any)                 { r.fail(fmt.Sprint(args...)) }
func (r *recorder) Fatal(args ...any)                 { r.Error(args...); runtime.Goexit() }
func (r *recorder) FailNow()                          { r.Fail(); runtime.Goexit() }
func (r *recorder) Fail()                             { r.fail("failed") }
func (r *recorder) Failed() bool                      { return r.failed }

func (r *recorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}
