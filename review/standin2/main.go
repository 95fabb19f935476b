// Command standin2 plays the cases of the second review against real processes. It exits with 1 if a rule was broken, 0 if all held, and
// 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// errBroken is a broken rule.
type outcome struct {
	broken []string
}

func (o *outcome) breaks(f *fleet, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	o.broken = append(o.broken, text)
	f.note("BROKEN: %s", text)
}

// cases are the cases by name. Each is told whether to cause the disruption.
var cases = map[string]func(f *fleet, trouble bool, o *outcome){}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	os.Exit(play(*name, *root, *record, os.Getenv("TROUBLE") != "0"))
}

func play(name, root, record string, trouble bool) (status int) {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	f := newFleet(root, record)
	defer f.close()
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", r)
			f.note("the case could not run: %v", r)
			status = 2
		}
	}()
	f.note("case %s, disruption: %v", name, trouble)
	var o outcome
	run(f, trouble, &o)
	for _, text := range o.broken {
		fmt.Println("broken:", text)
	}
	if len(o.broken) > 0 {
		return 1
	}
	f.note("all rules held")
	fmt.Println("held")
	return 0
}
