// Command catkin-load generates load against a set of entry VMs, checks every response and
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
