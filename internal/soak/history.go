package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// History is what the clients and the targets of a run have seen.
type History struct {
	// Events is the number of events of each complete stream.
	Events  int
	Streams []Stream
	Jobs    []Job
	Runs    []Run
}

// Route is the path prefix of a route.
type Route string

// Routes of the configuration.
const (
	Resumable     Route = "/s/"
	Once          Route = "/u/"
	NonIdempotent Route = "/n/"
	Batch         Route = "/b/"
)

// Stream is a request with all its attempts.
type Stream struct {
	Route    Route
	Attempts []Attempt
}

// Attempt is one attempt of a request as its client saw it.
type Attempt struct {
	ID, VM string
	// After is the last event that the client had received before, or -1.
	After int
	// Start and End are times in milliseconds since the start of the run.
	Start, End int64
	Status     int
	Events     []Event
	// Complete means that the response ended as its framing states. Error is why it did not.
	Complete bool
	Error    string
	// Rest holds bytes that are no whole event at the end of a response, and Extra those after a complete response.
	Rest, Extra string
	// HalfClosed means that the client ended its direction of the connection after the request.
	HalfClosed bool
}

// Event is one event with the labels of its run.
type Event struct {
	ID int
	// Request is the ID and Index the number of the event that the target states in the data.
	Request         string
	Index           int
	Version, Target string
	Run             int
}

// Run is one run of a request at a target.
type Run struct {
	Target  string
	Run     int
	Request string
	After   int
}

// Job is a batch job whose items are named ID-0 to ID-(Items-1).
type Job struct {
	ID    string
	Items int
	// Statuses are those of the submissions; 0 stands for no response.
	Statuses []int
	Reads    []Read
}

// Read is one response with results.
type Read struct {
	VM      string
	At      int64
	After   int
	Total   int
	Results []Result
}

// Result is the result of one item.
type Result struct{ ID, State, Text string }

// parseData parses the data of an event.
func parseData(data string) (e Event, err error) {
	var name string
	if _, err := fmt.Sscanf(data, "%s %s %s %d", &name, &e.Version, &e.Target, &e.Run); err != nil {
		return e, fmt.Errorf("data %.80q has no labels", data)
	}
	dash := max(strings.LastIndexByte(name, '-'), 0)
	e.Request = name[:dash]
	_, err = fmt.Sscanf(name[dash:], "-%d", &e.Index)
	return e, err
}

// errLeft means that the client left.
var errLeft = errors.New("the client left")

// readEvents passes the events of a body on until its end, or until next returns false. It returns what is left of the body if
// that is no event, and an error unless the body is complete.
func readEvents(body io.Reader, next func(Event) bool) (rest string, err error) {
	r := bufio.NewReader(body)
	for {
		line, err := r.ReadString('\n')
		rest += line
		switch {
		case errors.Is(err, io.EOF):
			return rest, nil
		case err != nil:
			return rest, err
		case line != "\n":
			continue
		}
		var id int
		if _, err := fmt.Sscanf(rest, "id: %d\n", &id); err != nil {
			return rest, err
		}
		_, data, _ := strings.Cut(rest, "\ndata: ")
		e, err := parseData(data)
		if err != nil {
			return rest, err
		}
		e.ID, rest = id, ""
		if !next(e) {
			return "", errLeft
		}
	}
}

// Summary counts the requests of a history by their outcome.
func Summary(h History) string {
	counts := map[string]int{"streams": len(h.Streams), "jobs": len(h.Jobs), "runs": len(h.Runs)}
	for _, s := range h.Streams {
		for _, a := range s.Attempts {
			switch {
			case isRefusal(a.Status):
				counts["rejected"]++
			case a.Complete && a.Status == http.StatusOK:
				counts["complete"]++
			default:
				counts["broken"]++
			}
			if a.After >= 0 && len(a.Events) > 0 {
				counts["resumed"]++
			}
		}
	}
	return fmt.Sprint(counts)
}
