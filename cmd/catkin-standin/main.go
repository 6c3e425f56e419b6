// Command catkin-standin runs stand-ins for all external services and backend servers, for
// tests and benchmarks.
package main

import (
	"fmt"
	"os"

	"github.com/catkinstair/catkinstair/internal/standin"
)

func main() {
	if err := standin.Command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(standin.ExitCode(err))
	}
}
