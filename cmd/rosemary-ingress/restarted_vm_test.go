package main_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

// Guards against items that run at the service of another route after a VM's process was killed and started again at once: it got
// slots that its predecessor had waited for.
func TestItemsOfARestartedVMRunAtTheirService(t *testing.T) {
	const (
		kills, items = 6, 8
		// The first jobs take all slots, and the next ones wait at the VM that is killed.
		first, jobs               = 2, 10
		waitingTime, restartDelay = 300 * time.Millisecond, 100 * time.Millisecond
	)
	f := startFleetOfVersions(t)
	services := []string{"a", "b"}
	var routes []string
	targets := map[string][]*streamtarget.Target{}
	for _, service := range services {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"a.example","path_prefix":"/%s/","route_kind":"batch","goal_ms":500,"service":%q,"max_attempts":3,"run_target_ms":18000,"retention_s":60}`, service, service, service))
		// Slots become free one after another while the coordinators still hold what the killed process waited for.
		for i := range 8 {
			target := streamtarget.Start(streamtarget.Config{ID: fmt.Sprintf("%s-%d", service, i), Version: "v1", Events: 50 + 5*i, Interval: eventInterval})
			t.Cleanup(target.Close)
			targets[service] = append(targets[service], target)
			f.put(platform.TargetTable, target.ID(), fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":1,"state":"ready"}`, service, target.Address()))
		}
	}
	f.put(platform.OperatorTable, platform.ConfigKey, fmt.Sprintf(`{"version":2,"routes":[%s],"services":[{"name":"a","health_path":"/health"},{"name":"b","health_path":"/health"}],"limits":{"max_body_bytes":100000}}`, strings.Join(routes, ",")))
	submit := func(vm *process, job, service string) {
		content := strings.ReplaceAll(jobOf(job, items, 8*items), `"/b/`, `"/`+service+`/`)
		f.eventually("job "+job+" is accepted", func() bool {
			status, _, err := f.do(http.MethodPost, vm.clients, "/"+service+"/j", job, content)
			return err == nil && status == http.StatusAccepted
		})
	}
	for kill := range kills {
		victim := kill % len(f.vms)
		other := f.vms[(victim+1)%len(f.vms)]
		var submitted []string
		for n := range jobs {
			vm, job := other, fmt.Sprintf("%s%d-%d", services[n%2], kill, n)
			if n >= first {
				vm = f.vms[victim]
			}
			submit(vm, job, services[n%2])
			submitted = append(submitted, job)
		}
		time.Sleep(waitingTime)
		qt.Assert(t, f.vms[victim].command.Process.Kill(), qt.IsNil)
		<-f.vms[victim].exited
		time.Sleep(restartDelay)
		f.vms[victim] = f.start(victim, f.peers)
		for _, job := range submitted {
			f.results(job, other, items)
			for item := range items {
				id := fmt.Sprintf("%s-%d", job, item)
				for service, list := range targets {
					for _, target := range list {
						qt.Check(t, service == job[:1] || target.Runs(id) == 0, qt.IsTrue, qt.Commentf("item %s ran at %s", id, target.ID()))
					}
				}
			}
		}
	}
}
