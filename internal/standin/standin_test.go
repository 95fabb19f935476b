package standin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/client"
	"github.com/rosemarydyke/rosemarydyke/internal/standin"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/service"
)

func start(t *testing.T) *standin.Set {
	set, err := standin.Start(t.Context(), standin.Config{
		EntryVMs: []standin.EntryVM{{Name: "vm-1", Address: "127.0.0.1:8201", AvailabilityZone: "az-a"}},
		Engines:  []engine.Config{{Name: "engine-1", RestartAfter: time.Millisecond}},
		Services: []service.Config{{Name: "booking-1", Kind: service.Booking, RestartAfter: time.Millisecond}},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(set.Stop)
	return set
}

func send(t *testing.T, method, url, body string) (status int, text string, err error) {
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func TestTheControlInterfaceInjectsAndClearsFaults(t *testing.T) {
	set := start(t)
	table := client.New(set.PlatformURL(), time.Minute).Table()
	status, _, err := send(t, "POST", set.ControlURL()+"/faults", `{"subject":"table","kind":"down"}`)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	_, err = table.Get(t.Context(), "k")
	qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
	status, _, err = send(t, "DELETE", set.ControlURL()+"/faults?subject=table", "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusNoContent)
	_, err = table.Get(t.Context(), "k")
	qt.Assert(t, err, qt.IsNil)
}

func TestInvalidFaultsAreRejected(t *testing.T) {
	set := start(t)
	for _, body := range []string{
		`{"subject":"table","kind":"explode"}`,
		`{"subject":"nobody","kind":"down"}`,
		`{"kind":"down"}`,
		`{"subject":"table","kind":"crash"}`,
		`{"subject":"table","kind":"down","duration":3}`,
		`{"subject":"table","kind":"down","count":-1}`,
	} {
		status, _, err := send(t, "POST", set.ControlURL()+"/faults", body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusBadRequest, qt.Commentf("%s", body))
	}
}

func TestABookingRunsWhenItsResponseIsLost(t *testing.T) {
	set := start(t)
	booking := set.Services[0].URL() + "/bookings"
	set.Faults.Inject(fault.Fault{Subject: "booking-1", Kind: fault.LoseReplies, Count: 1})
	_, _, err := send(t, "POST", booking, "room 7")
	qt.Assert(t, err, qt.Not(qt.IsNil))
	_, text, err := send(t, "POST", booking, "room 7")
	qt.Assert(t, err, qt.IsNil)
	var reservation service.Reservation
	qt.Assert(t, json.Unmarshal([]byte(text), &reservation), qt.IsNil)
	qt.Assert(t, reservation.Number, qt.Equals, int64(2))
	qt.Assert(t, reservation.Executions, qt.Equals, 2)
	qt.Assert(t, set.Executions("").Completed, qt.Equals, 2)
}

func TestACrashedTargetRestartsAtItsAddress(t *testing.T) {
	for _, name := range []string{"engine-1", "booking-1"} {
		set := start(t)
		target := map[string]string{"engine-1": set.Engines[0].URL() + "/load", "booking-1": set.Services[0].URL() + "/x"}[name]
		status, _, err := send(t, "POST", set.ControlURL()+"/faults", `{"subject":"`+name+`","kind":"crash","duration_ms":1}`)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		for {
			if _, _, err := send(t, "GET", target, ""); err == nil {
				break
			}
		}
	}
}

func TestTheVMListNamesEntriesAndTargets(t *testing.T) {
	set := start(t)
	vms, err := client.New(set.PlatformURL(), time.Minute).VMs().List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, vms, qt.HasLen, 3)
	vms[1].State = platform.VMLeaving
	body, err := json.Marshal(vms)
	qt.Assert(t, err, qt.IsNil)
	status, _, err := send(t, "PUT", set.ControlURL()+"/vms", string(body))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	vms, err = client.New(set.PlatformURL(), time.Minute).VMs().List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, vms[1].State, qt.Equals, platform.VMLeaving)
}

func TestALaggingVMListReturnsTheEarlierState(t *testing.T) {
	set := start(t)
	list := client.New(set.PlatformURL(), time.Minute).VMs()
	before, err := list.List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	set.Faults.Inject(fault.Fault{Subject: "vms", Kind: fault.Lag, DelayMS: time.Hour.Milliseconds()})
	set.Memory.SetVMs(nil)
	after, err := list.List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, after, qt.DeepEquals, before)
}

func TestConfigIsValidated(t *testing.T) {
	var cfg standin.Config
	good := "engines:\n  - {name: e, speed: {slots: 3, step_base: 2ms}}\nservices:\n  - {name: s, kind: booking}\n"
	qt.Assert(t, config.Parse("good.yaml", []byte(good), &cfg), qt.IsNil)
	qt.Assert(t, cfg.Engines[0].Speed.StepBase, qt.Equals, 2*time.Millisecond)
	for _, bad := range []string{"engines:\n  - {model: m}\n", "services:\n  - {name: s, kind: other}\n", "engine: 3\n"} {
		err := config.Parse("bad.yaml", []byte(bad), &standin.Config{})
		qt.Assert(t, err, qt.ErrorMatches, `(?s)bad\.yaml: .*`)
		qt.Assert(t, bytes.Contains([]byte(err.Error()), []byte("[")), qt.IsTrue)
	}
}
