// Command catkin-control is the control plane of an entry VM: membership, configuration
// distribution, shares of limits, orders to engines, and access to the platform's services.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/catkinstair/catkinstair/internal/control"
	"github.com/catkinstair/catkinstair/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := control.Command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitCode)
	}
}
