// Command standin3 plays the cases of the third review: it starts the project's daemon as
// separate processes between stand-ins of the platform's store, of backend servers and of
// clients, brings a disruption about, and checks one rule from what clients and servers see.
//
//	standin3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// daemon is the program that the deploy file starts, with the argument "platform".
const daemon = "target/fuchsiaspard"

// cases are the cases by name. Each returns how the rule was broken, or an empty string.
var cases = map[string]func(w *world, trouble bool) (string, error){
	"entry":   entryCase,
	"framing": framingCase,
	"gone":    goneCase,
	"seal":    sealCase,
	"unread":  unreadCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return 2
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.writeArrivals()
	if names := w.crashed(); err == nil && broken == "" && len(names) > 0 {
		broken = fmt.Sprint("processes ended by themselves: ", names)
	}
	switch {
	case err != nil:
		w.note("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken != "":
		w.note("broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	w.note("held")
	fmt.Println("held")
	return 0
}
