package fleettest

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/platformserver"
)

// speed makes a job of jobItems take some seconds.
var speed = batching.Config{Slots: 4, StepBase: 10 * time.Millisecond}

const (
	jobItems = 200
	// cancelledItems is the size of a job that does not complete within the test.
	cancelledItems = 3000
	// pauseDuration exceeds the lease of a small fleet, 8 s, plus the time until the other VMs detect its expiry.
	pauseDuration = 12 * time.Second
	// tableOutage is how long the platform's table is unavailable.
	tableOutage = 5 * time.Second
	// settleTime is the time after which a cancelled job dispatches no more items.
	settleTime = 3 * time.Second
)

// TestEveryItemHasOneResult injects a fault after targets have completed a third of a job's requests, and checks the
// rules of outcome.violations at the job's end.
func TestEveryItemHasOneResult(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		inject func(f *fleet, job string)
	}{
		{"a VM is killed", func(f *fleet, _ string) { f.kill(f.vms[1]) }},
		{"a runner is paused past its lease and resumes", func(f *fleet, _ string) {
			f.signal(f.vms[1], syscall.SIGSTOP, batchDaemon)
			time.Sleep(pauseDuration)
			f.signal(f.vms[1], syscall.SIGCONT, batchDaemon)
		}},
		{"a runner resumes when others have finished its items", func(f *fleet, job string) {
			f.signal(f.vms[1], syscall.SIGSTOP, batchDaemon)
			f.waitForItems(f.vms[0], job, jobItems)
			f.signal(f.vms[1], syscall.SIGCONT, batchDaemon)
			time.Sleep(settleTime)
		}},
		{"a VM is paused past its leases and resumes", func(f *fleet, _ string) {
			f.signal(f.vms[1], syscall.SIGSTOP, entryDaemon, batchDaemon, operatorDaemon)
			time.Sleep(pauseDuration)
			f.signal(f.vms[1], syscall.SIGCONT, entryDaemon, batchDaemon, operatorDaemon)
		}},
		{"the table is down, then loses replies", func(f *fleet, _ string) {
			f.inject(fault.Fault{Subject: platformserver.SubjectTable, Kind: fault.Down, DurationMS: tableOutage.Milliseconds()})
			time.Sleep(tableOutage)
			f.inject(fault.Fault{Subject: platformserver.SubjectTable, Kind: fault.LoseReplies, Count: 20})
		}},
		{"a VM is killed while the table is slow and loses replies", func(f *fleet, _ string) {
			f.inject(fault.Fault{Subject: platformserver.SubjectTable, Kind: fault.Slow, DelayMS: 300, DurationMS: tableOutage.Milliseconds()})
			f.inject(fault.Fault{Subject: platformserver.SubjectTable, Kind: fault.LoseReplies, Count: 20})
			f.kill(f.vms[1])
		}},
		{"an engine crashes and another loses replies", func(f *fleet, _ string) {
			f.inject(fault.Fault{Subject: engineName(2), Kind: fault.LoseReplies, Count: 3})
			f.standin.Engines[0].Crash(time.Second)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, speed)
			job := f.submit(f.vms[0], jobItems)
			f.waitForExecutions(jobItems / 3)
			test.inject(f, job.ID)
			f.checkResults(f.vms[2], job.ID, jobItems)
		})
	}
}

func (f *fleet) inject(fault fault.Fault) {
	f.t.Helper()
	qt.Assert(f.t, f.standin.Inject(fault), qt.IsNil)
}

func TestACancelledJobDispatchesNoItemEvenFromAResumedRunner(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		cancel bool
	}{
		{"the job is cancelled", true},
		// Control: a job that is not cancelled keeps dispatching, so the check can fail.
		{"the job is not cancelled", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, speed)
			job := f.submit(f.vms[0], cancelledItems)
			f.waitForExecutions(jobItems / 10)
			f.signal(f.vms[1], syscall.SIGSTOP, batchDaemon)
			if test.cancel {
				client := f.client(f.vms[0])
				_, err := client.Batches.Cancel(t.Context(), job.ID)
				qt.Assert(t, err, qt.IsNil)
			}
			time.Sleep(settleTime)
			settled := f.standin.Executions("").Started
			f.signal(f.vms[1], syscall.SIGCONT, batchDaemon)
			time.Sleep(2 * settleTime)
			qt.Assert(t, settled < cancelledItems, qt.IsTrue)
			qt.Assert(t, f.standin.Executions("").Started == settled, qt.Equals, test.cancel)
		})
	}
}
