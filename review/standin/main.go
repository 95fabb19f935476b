// Command standin plays the cases of the review: it starts the system's processes between stand-ins for the clients, the workers and
// the platform's store, and judges one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"crashing-requests": crashingRequests,
	"long-streams":      longStreams,
	"returning-workers": returningWorkers,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.log("case", "%s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.log("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		r.log("case", "the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	r.log("case", "the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
