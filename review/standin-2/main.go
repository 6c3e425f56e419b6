//go:build review

package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	recordFile = os.Args[2]
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "case7":
		os.Exit(case7(trouble))
	case "case8":
		os.Exit(case8(trouble))
	case "case6":
		os.Exit(case6(trouble))
	}
	fmt.Fprintln(os.Stderr, "no such case")
	os.Exit(2)
}
