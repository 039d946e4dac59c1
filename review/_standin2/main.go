// Command standin2 runs the cases of the second review. It starts the project's programs as
// processes of their own and plays the store, the minions, the operator and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sort"
	"syscall"
)

// verdict is the exit code of a case.
type verdict int

const (
	ruleHeld   verdict = 0
	ruleBroken verdict = 1
	cannotRun  verdict = 2
)

// caseFunc plays a case. trouble is false if the disruption is left out.
type caseFunc func(w *World, trouble bool) (verdict, error)

var cases = map[string]caseFunc{
	"copy":      lateCopyOfCancelledJob,
	"many":      lateCopyAfterManyCancels,
	"steps":     jobOfManySteps,
	"reset":     resetLostOnItsWay,
	"reborn":    rebornMinionOfAnotherKind,
	"heartbeat": heartbeatOfAnotherWriter,
}

func main() {
	runtime.LockOSThread() // the processes end with the thread that started them
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD; cases:", names)
		os.Exit(int(cannotRun))
	}
	os.Exit(int(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0")))
}

func run(play caseFunc, path string, trouble bool) verdict {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	record.Add("disruption: %v", trouble)
	w, err := NewWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.Close()
		os.Exit(int(cannotRun))
	}()
	v, err := play(w, trouble)
	if err != nil {
		record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	result := map[verdict]string{ruleHeld: "the rule held", ruleBroken: "the rule was broken"}[v]
	record.Add("result: %s", result)
	fmt.Println(result)
	return v
}
