package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	noSetup = 2
)

// cases play a case and report whether the rule was broken. trouble is false for the same without the disruption.
var cases = map[string]func(r *record, trouble bool) bool{}

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, serveWorker(os.Args[2]))
		return noSetup
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE DIRECTORY")
		return noSetup
	}
	play := cases[os.Args[1]]
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1], err)
		return noSetup
	}
	r := &record{out: bufio.NewWriter(file), started: time.Now()}
	defer func() {
		var setup errSetup
		if err, ok := recover().(error); ok && errors.As(err, &setup) {
			r.printf("the case could not run: %v", setup)
			fmt.Fprintln(os.Stderr, "the case could not run:", setup)
			status = noSetup
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = r.out.Flush()
		_ = file.Close()
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	status = held
	if play(r, trouble) {
		status = broken
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken"}[status]
	r.printf("%s (trouble: %v)", verdict, trouble)
	fmt.Println(verdict)
	return status
}
