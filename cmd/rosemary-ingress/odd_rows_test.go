package main_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

// cborRow is a row with numbered fields.
type cborRow = map[int]any

// oddRows are rows that another program may write, by what is odd about them.
func oddRows(t *testing.T) map[string]rowstore.RowWrite {
	rows := map[string]rowstore.RowWrite{}
	add := func(table, part, key string, value []byte) {
		rows[table+" "+key] = rowstore.RowWrite{RowKey: rowstore.RowKey{Table: table, Part: part, Key: key}, Value: value}
	}
	encode := func(row any) []byte {
		value, err := cbor.Marshal(row)
		qt.Assert(t, err, qt.IsNil)
		return value
	}
	// As deep as a row can be.
	deepJSON := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	deepCBOR := append(bytes.Repeat([]byte{0x81}, 40_000), 0)
	entry := `"service":"s","address":"127.0.0.1:1","zone":"z","version":"v9","slots":8,"state":"ready"`
	for name, value := range map[string]string{
		"deep": deepJSON, "deep-field": `{"future":` + deepJSON + `,` + entry + `}`, "deep-zone": `{"zone":` + deepJSON + `,"service":"s"}`,
		"born": `{"born":1e400,` + entry + `}`, "slots": `{"service":"s","address":"127.0.0.1:1","version":"v9","state":"ready","slots":99999999999999999999}`,
		"port": `{"service":"s","address":"127.0.0.1:99999","version":"v9","state":"ready","slots":8}`, "negative-port": `{"service":"s","address":"127.0.0.1:-1","version":"v9","state":"ready","slots":8}`,
		"empty": "", "null": "null", "list": "[]", "not-json": "\x00\xff{", "split\r\nX-Not-Run: 1": `{` + entry + `}`,
		"long-version": `{"service":"s","address":"127.0.0.1:1","zone":"z","slots":8,"state":"ready","version":"` + strings.Repeat("v", 47_000) + `"}`,
		"long-extra":   `{"future":"` + strings.Repeat("x", 47_000) + `",` + entry + `}`,
	} {
		add(platform.TargetTable, "", name, []byte(value))
	}
	add(platform.TargetTable, "part", "i-0", []byte(deepJSON))
	add(platform.OperatorTable, "", "other", []byte(deepJSON))
	add(platform.OperatorTable, "part", platform.ConfigKey, []byte(`{"version":99,"routes":[]}`))
	tables := map[string]string{
		"rosemarydyke-vms": "vm-odd", "rosemarydyke-jobs": "odd", "rosemarydyke-job-bodies": "odd/000", "rosemarydyke-job-texts": "odd/000/000", "rosemarydyke-usage": "odd",
		"rosemarydyke-origins": "versions/odd", "rosemarydyke": "quarantine/0000000000000001",
	}
	for table, key := range tables {
		add(table, "", key, deepCBOR)
		add(table, "", key+"0", nil)
		add(table, "", key+"1", []byte{0xff, 0x00})
		add(table, "", key+"2", encode(cborRow{1: "x", 2: uint64(math.MaxUint64), 3: int64(math.MinInt64), 4: uint64(math.MaxUint64)}))
	}
	add("rosemarydyke-vms", "", "vm-port", encode(cborRow{1: "127.0.0.1:99999", 2: "z"}))
	add("rosemarydyke-vms", "", "vm-none", encode(cborRow{}))
	add("rosemarydyke-origins", "", "versions/s", deepCBOR)
	for shard := range 32 {
		add("rosemarydyke-origins", "", fmt.Sprintf("stream/%02x/0", shard), deepCBOR)
		add("rosemarydyke-origins", "", fmt.Sprintf("stream/%02x/1", shard), encode(cborRow{1: int64(math.MinInt64), 2: []any{}}))
	}
	add("rosemarydyke", "", "quarantine/0000000000000009", encode(cborRow{1: 9, 4: cborRow{1: []uint64{9}, 2: int64(math.MaxInt64), 3: int64(math.MinInt64)}}))
	item := func(id string) any { return cborRow{1: id, 2: 10} }
	head := func(key string, changes cborRow) {
		row := cborRow{1: host, 2: "/b/" + key, 3: 1, 4: []any{item("i0")}, 5: 1, 6: "vm-0", 7: 1}
		for field, value := range changes {
			row[field] = value
		}
		add("rosemarydyke-jobs", "", key, encode(row))
		body := `{"items":[{"id":"i0","path":"/b/0","body":"","tokens":10},{"id":"i1","path":"/b/1","body":"","tokens":10}]}`
		add("rosemarydyke-job-bodies", "", key+"/000", []byte(body))
		add("rosemarydyke-job-progress", "progress", key+"/-01/000", encode(cborRow{1: 3, 2: 4}))
		add("rosemarydyke-job-progress", "progress", key+"/000/000", encode(cborRow{1: int64(math.MinInt64), 2: int64(math.MinInt64), 4: int64(math.MaxInt64)}))
		add("rosemarydyke-job-progress", "progress", key+"/999/000", encode(cborRow{1: 3, 2: 4, 5: true}))
	}
	head("odd-items", nil)
	head("odd-rows", cborRow{3: int64(-1) << 60, 5: int64(1) << 24, 8: true})
	head("odd-negative", cborRow{3: int64(-1) << 60, 5: -5, 8: true})
	head("odd-texts", cborRow{3: int64(-1) << 60, 8: true, 9: []any{cborRow{1: 0, 3: -1, 4: int64(1) << 24}}})
	head("odd-result", cborRow{9: []any{cborRow{1: 7}}})
	head("odd-result-negative", cborRow{9: []any{cborRow{1: -7}}})
	head("odd-results", cborRow{9: []any{cborRow{1: 0, 2: true}, cborRow{1: 0, 2: true}, cborRow{1: 0, 2: true}}})
	head("odd-no-items", cborRow{4: []any{}})
	return rows
}

// Guards against processes that exit, or that stop following changes, because of one row that they cannot read.
func TestOddRowsStopNoProcess(t *testing.T) {
	f := startFleet(t)
	qt.Assert(t, f.stream(f.vms[0].clients), qt.IsNil)
	for name, row := range oddRows(t) {
		_, err := f.state.Apply(context.Background(), rowstore.RowTxn{Writes: []rowstore.RowWrite{row}})
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", name))
	}
	// Heads are read by key too, and rows are swept each second.
	for _, vm := range f.vms {
		for _, job := range []string{"odd", "odd-items", "odd-result", "odd-result-negative", "odd-results", "odd-texts"} {
			status, _, err := f.do(http.MethodGet, vm.clients, platform.ResultsURI(job, 0), "read", "")
			qt.Check(t, err, qt.IsNil, qt.Commentf("results of job %s: status %d", job, status))
		}
	}
	time.Sleep(2500 * time.Millisecond)
	f.assertFollowing(t, "n", 2)
	// A process that starts reads all rows at once.
	qt.Assert(t, f.vms[2].command.Process.Kill(), qt.IsNil)
	<-f.vms[2].exited
	f.vms[2] = f.start(2, f.peers)
	f.eventually("all VMs in the directory of the new process", func() bool { return len(f.addresses(f.vms[2])) == 3 })
	f.assertFollowing(t, "m", 3)
	for i, vm := range f.vms {
		select {
		case err := <-vm.exited:
			t.Errorf("vm-%d has exited: %v", i, err)
		default:
		}
	}
}

// assertFollowing checks that all VMs follow a new configuration and registry, and that jobs are done.
func (f *fleet) assertFollowing(t *testing.T, name string, version int) {
	t.Helper()
	added := f.addTarget("added-"+name, "v1", streamEvents)
	for _, target := range f.targets[:len(f.targets)-1] {
		f.remove(target)
	}
	f.put(platform.OperatorTable, platform.ConfigKey, fmt.Sprintf(`{"version":%d,"routes":[
	 {"name":"r","host":"a.example","path_prefix":"/s/","route_kind":"streaming","timeout_ms":5000,"goal_ms":300,"service":"s","max_attempts":2,"resumable":true,"gap_target_ms":400},
	 {"name":"%s","host":"a.example","path_prefix":"/%s/","route_kind":"streaming","timeout_ms":5000,"goal_ms":300,"service":"s","max_attempts":2,"resumable":true,"gap_target_ms":400},
	 {"name":"b","host":"a.example","path_prefix":"/b/","route_kind":"batch","goal_ms":500,"service":"s","max_attempts":3,"run_target_ms":18000,"retention_s":60}],
	 "services":[{"name":"s","health_path":"/health"}],"limits":{"max_body_bytes":100000}}`, version, name, name))
	for i, vm := range f.vms {
		f.eventually(fmt.Sprintf("new route and target at vm-%d", i), func() bool {
			id := fmt.Sprintf("%s-%d-%d", name, i, f.nextID.Add(1))
			status, _, err := f.do(http.MethodPost, vm.clients, "/"+name+"/x", id, "prompt")
			return err == nil && status == http.StatusOK && added.Runs(id) == 1
		})
		job := fmt.Sprintf("job-%s-%d", name, i)
		body := fmt.Sprintf(`{"items":[{"id":"%s-i","path":"/b/0","body":"%s","tokens":10}]}`, job, base64.StdEncoding.EncodeToString([]byte("x")))
		status, _, err := f.do(http.MethodPost, vm.clients, "/b/j", job, body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusAccepted)
		f.results(job, f.vms[(i+1)%len(f.vms)], 1)
	}
}
