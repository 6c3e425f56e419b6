// Command catkinctl is the operators' command-line tool.
package main

import (
	"fmt"
	"os"

	"github.com/catkinstair/catkinstair/internal/ctl"
)

func main() {
	if err := ctl.Command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ctl.ExitCode(err))
	}
}
