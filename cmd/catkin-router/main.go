// Command catkin-router runs the system as one process per VM: it serves callers, routes
// their requests over paths of backend servers, and takes part in placing the model's
// layers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/catkinstair/catkinstair/internal/router"
	"github.com/catkinstair/catkinstair/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Package router reloads its settings on SIGHUP; until it does, a SIGHUP must not end the
	// process.
	signal.Ignore(syscall.SIGHUP)
	if err := router.Command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitCode)
	}
}
