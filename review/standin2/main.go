// Command standin2 plays one case of the second review: it starts the system's own
// processes on loopback addresses, plays the platform's store, servers and clients, and
// checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by name. Each returns whether the rule held.
var cases = map[string]func(dir string, trouble bool) bool{
	"config-memory": configMemory,
	"pipeline-cut":  pipelineCut,
	"pipeline-stop": pipelineStop,
	"watch-backlog": watchBacklog,
}

// caseTimeout ends a case that hangs, before the 120 s that a script may take.
const caseTimeout = 115 * time.Second

var (
	recordMu sync.Mutex
	// recordTo is nil once the case has ended.
	recordTo *bufio.Writer
	started  = time.Now()
	tempDir  string
)

// record writes a line to the record of the case.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordTo == nil {
		return
	}
	fmt.Fprintf(recordTo, "%8.3f "+format+"\n", append([]any{time.Since(started).Seconds()}, args...)...)
}

// quit ends the case with an exit code.
func quit(code int) {
	recordMu.Lock()
	if recordTo != nil {
		_ = recordTo.Flush()
	}
	recordTo = nil
	recordMu.Unlock()
	for _, n := range startedNodes {
		n.stop()
	}
	_ = os.RemoveAll(tempDir)
	os.Exit(code)
}

// cannotRun ends a case that can't be played.
func cannotRun(format string, args ...any) {
	record("the case could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	quit(2)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	recordTo = bufio.NewWriter(file)
	if tempDir, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("%v", err)
	}
	time.AfterFunc(caseTimeout, func() { cannotRun("timed out") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { cannotRun("stopped by %v", <-signals) }()
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, trouble %t", os.Args[1], trouble)
	if !cases[os.Args[1]](tempDir, trouble) {
		record("the rule was broken")
		fmt.Println("broken")
		quit(1)
	}
	record("the rule held")
	fmt.Println("held")
	quit(0)
}
