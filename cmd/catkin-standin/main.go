// Command catkin-standin hosts stand-ins for everything outside the product, for
// tests and the bench.
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
