package main

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/devkeys"
	"github.com/rosemarydyke/rosemarydyke/internal/explain"
)

type explainCommands struct {
	Request explainRequest `cmd:"" help:"Explain a request, by the ID in its Rosemarydyke-Request-Id header."`
	Job     explainJob     `cmd:"" help:"Explain the state of a job."`
	Item    explainItem    `cmd:"" help:"Explain the state of an item of a job."`
}

type explainRequest struct {
	ID string `arg:"" help:"Request id."`
}

// Run prints the explanation.
func (c *explainRequest) Run(s *session) error {
	return s.explain("/v1/explain/requests/" + url.PathEscape(c.ID))
}

type explainJob struct {
	ID string `arg:"" help:"Job id."`
}

// Run prints the explanation.
func (c *explainJob) Run(s *session) error {
	return s.explain("/v1/explain/jobs/" + url.PathEscape(c.ID))
}

type explainItem struct {
	Job      string `arg:"" help:"Job id."`
	CustomID string `arg:"" help:"The item's custom_id."`
}

// Run prints the explanation.
func (c *explainItem) Run(s *session) error {
	return s.explain("/v1/explain/jobs/" + url.PathEscape(c.Job) + "/items/" + url.PathEscape(c.CustomID))
}

func (s *session) explain(path string) error {
	var body explain.Explanation
	if err := s.operator.get(path, &body); err != nil {
		return err
	}
	if !s.printer.json {
		fmt.Fprintf(s.printer.out, "%s: %s\n", body.Subject, body.Summary)
	}
	t := table{}
	for _, event := range body.Events {
		t.rows = append(t.rows, []string{event.At.Format(time.RFC3339Nano), event.VM, event.Text})
	}
	return s.printer.print(body, t)
}

type targetsCommand struct{}

// Run lists targets.
func (c *targetsCommand) Run(s *session) error {
	var body []explain.TargetInfo
	if err := s.operator.get("/v1/targets", &body); err != nil {
		return err
	}
	t := table{header: []string{"name", "address", "availability zone", "serves", "owner", "state", "slots", "online", "batch", "reason"}}
	for _, i := range body {
		t.rows = append(t.rows, []string{
			i.Name, i.Address, i.AvailabilityZone, i.Serves, i.Owner, i.State,
			strconv.Itoa(i.Slots), strconv.Itoa(i.Online), strconv.Itoa(i.Batch), i.Reason,
		})
	}
	return s.printer.print(body, t)
}

type vmsCommand struct{}

// Run lists VMs.
func (c *vmsCommand) Run(s *session) error {
	var body []explain.VMInfo
	if err := s.operator.get("/v1/vms", &body); err != nil {
		return err
	}
	t := table{header: []string{"vm", "availability zone", "state", "callers", "incarnation"}}
	for _, i := range body {
		t.rows = append(t.rows, []string{i.VM, i.AvailabilityZone, i.State, i.Callers, strconv.FormatUint(i.Incarnation, 10)})
	}
	return s.printer.print(body, t)
}

type keysCommand struct {
	Dir string   `required:"" help:"Directory for the keys. An existing certificate authority in it is kept."`
	VMs []string `arg:"" name:"vm" help:"Names of the VMs that need a certificate."`
}

// Run generates the certificates.
func (c *keysCommand) Run(s *session) error {
	if err := devkeys.Generate(c.Dir, c.VMs); err != nil {
		return err
	}
	return s.printer.print(c.VMs, table{rows: [][]string{{"keys are in " + c.Dir}}})
}
