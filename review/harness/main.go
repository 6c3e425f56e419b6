//go:build review

// Command review plays one case of the review against the processes of the deploy file. It
// exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *Fleet, rec *Recorder, trouble bool) (bool, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		return 2
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	rec, err := NewRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "catkin-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		defer func() { _ = os.Rename(dir, filepath.Join(keep, filepath.Base(dir))) }()
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	f, err := NewFleet(rec, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	broken, err := play(f, rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.Printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.Printf("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.Printf("verdict: the rule held")
	fmt.Println("the rule held")
	return 0
}
