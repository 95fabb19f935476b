package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	store "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

// Clients were sent to VMs whose configuration was about to be too old to accept their keys.
func TestVMWithAnOutdatedConfigurationIsNotListed(t *testing.T) {
	const bound = time.Second
	vms, _ := startVMs(t, 2, func(s *config.Ingress) { s.KeyRevocation = bound })
	_, err := vms[0].rows.Apply(t.Context(), store.RowTxn{Writes: []store.RowWrite{{
		RowKey: store.RowKey{Table: platform.OperatorTable, Key: platform.ConfigKey}, Value: []byte(`{"version":2,"tenants":[]}`),
	}}})
	qt.Assert(t, err, qt.IsNil)
	// listed reports whether a VM is ready, and whether its directory lists itself and the other one.
	listed := func(i int) string {
		ready, directory := httptest.NewRecorder(), httptest.NewRecorder()
		vms[i].serveReady(ready, nil)
		vms[i].serveDirectory(directory, nil)
		lists := func(j int) bool { return strings.Contains(directory.Body.String(), vms[j].settings.Clients) }
		return fmt.Sprint(ready.Code == http.StatusOK, lists(i), lists(1-i))
	}
	await := func(want string) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			got := [2]string{listed(0), listed(1)}
			if got == [2]string{want, want} {
				return
			}
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%v", got))
		}
	}
	for _, v := range vms {
		for v.discovery.Current().Version != 2 {
			time.Sleep(time.Millisecond)
		}
	}
	await("true true true")
	address := vms[0].settings.Store
	// A VM that is cut off from the store reads by way of the other one, and stays listed after the first failure.
	vms[0].store.SetAddress("127.0.0.1:1")
	time.Sleep(bound)
	await("true true true")
	vms[1].store.SetAddress("127.0.0.1:1")
	await("false false true")
	vms[0].store.SetAddress(address)
	await("true true true")
	// No relayed call is in progress when the VMs stop.
	vms[1].store.SetAddress(address)
	time.Sleep(bound)
}
