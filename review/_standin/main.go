// Command review-standin runs one case of the review: it starts the project's own programs
// with the commands of the deploy file, plays their platform (store, workers, callers) on
// loopback addresses, and checks one rule.
//
//	review-standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment the case runs without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

var cases = map[string]func(w *world) (broken bool){
	"late-duplicate":    runLateDuplicate,
	"changed-worker":    runChangedWorker,
	"restarted-worker":  runRestartedWorker,
	"foreign-heartbeat": runForeignHeartbeat,
	"killed-after-ack":  runKilledAfterAck,
	"killed-together":   runKilledTogether,
	"stopped-entries":   runStoppedEntries,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and returns the exit code. All processes have ended when it returns.
func runCase(name, recordPath string) (code int) {
	w, err := newWorld(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-standin:", err)
		return exitNotRun
	}
	defer w.close()
	result := make(chan int, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				w.note("the case could not run: %v", cause)
				fmt.Fprintln(os.Stderr, "review-standin:", cause)
				result <- exitNotRun
			}
		}()
		w.note("case %s, disruption: %v", name, w.trouble)
		if cases[name](w) {
			w.note("result: the rule was broken")
			result <- exitBroken
			return
		}
		w.note("result: the rule held")
		result <- exitHeld
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case code = <-result:
	case <-signals:
		code = exitNotRun
	case <-time.After(caseTimeout):
		w.note("the case did not end in time")
		code = exitNotRun
	}
	return code
}
