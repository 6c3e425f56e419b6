// Command catkin-load offers load to a set of entries, checks every answer and
// prints a JSON report.
package main

import (
	"fmt"
	"os"

	"github.com/catkinstair/catkinstair/internal/load"
)

func main() {
	if err := load.Command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(load.ExitCode(err))
	}
}
