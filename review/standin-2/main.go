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
	case "limit":
		os.Exit(playLimit(trouble))
	case "denied":
		os.Exit(playDenied(trouble))
	case "recover":
		os.Exit(playRecover(trouble))
	case "lost":
		os.Exit(playLost(trouble))
	}
	fmt.Fprintln(os.Stderr, "no such case")
	os.Exit(2)
}
