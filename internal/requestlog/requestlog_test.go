package requestlog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/requestlog"
)

func TestOldestRecordIsEvictedFirst(t *testing.T) {
	c := qt.New(t)
	log := requestlog.New(requestlog.Config{VM: "vm-1", Capacity: 2})
	for _, id := range []string{"a", "b", "c"} {
		log.Begin(id, "in progress").Summarize("done " + id)
	}
	c.Assert(log.Explain("a").Found, qt.IsFalse)
	c.Assert(log.Explain("b").Summary, qt.Equals, "done b")
	c.Assert(log.Explain("c").Summary, qt.Equals, "done c")
}

func TestEventsPerRequestAreBounded(t *testing.T) {
	c := qt.New(t)
	log := requestlog.New(requestlog.Config{VM: "vm-1", MaxEvents: 3})
	record := log.Begin("a", "in progress")
	for range 10 {
		record.Event("step")
	}
	record.Summarize("done")
	explanation := log.Explain("a")
	c.Assert(explanation.Events, qt.HasLen, 3)
	c.Assert(explanation.Events[0].VM, qt.Equals, "vm-1")
	c.Assert(explanation.Summary, qt.Equals, "done")
}
