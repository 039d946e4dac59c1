// Command standin runs one case of this review: it starts the project's programs as separate
// processes on loopback addresses, with stand-ins of the platform's store, of workers and of
// clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit bounds the whole run of a case.
const limit = 110 * time.Second

// errBroken is the error of a case whose rule was broken.
type errBroken struct{ text string }

func (e errBroken) Error() string { return e.text }

func broken(format string, args ...any) error { return errBroken{fmt.Sprintf(format, args...)} }

var cases = map[string]func(ctx context.Context, rec *record, trouble bool) error{
	"cancel-frozen": cancelFrozen,
	"kind-changed":  kindChanged,
	"half-closed":   halfClosed,
	"pipelined":     pipelined,
	"soak":          soak,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{file: file, began: time.Now()}
	rec.log("case %s, disruption %t", os.Args[1], trouble)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	time.AfterFunc(limit, func() {
		rec.log("stopped: the case took too long")
		os.Exit(2)
	})
	err = cases[os.Args[1]](ctx, rec, trouble)
	code := 0
	switch err.(type) {
	case nil:
		rec.log("the rule held")
	case errBroken:
		rec.log("RULE BROKEN: %v", err)
		code = 1
	default:
		rec.log("the case could not run: %v", err)
		code = 2
	}
	fmt.Println("exit", code, err)
	return code
}
