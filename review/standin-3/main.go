//go:build review

// Command standin-3 plays the cases of the third review: it starts the store, the replicas, the
// consumers and the processes of the system, and says by its exit code whether a rule was broken.
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
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(w *world, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		os.Exit(failed)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(110 * time.Second):
		}
		w.record.line("ended early")
		w.close()
		os.Exit(failed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.record.line("case %s, disruption %v", os.Args[1], trouble)
	code, err := cases[os.Args[1]](w, trouble)
	if err != nil {
		w.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	w.close()
	w.record.line("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", failed: "could not run"}[code])
	fmt.Println(map[int]string{held: "rule held", broken: "rule broken", failed: "could not run"}[code])
	os.Exit(code)
}
