// Command catkin-entry is the data plane of an entry VM: it hands out addresses to callers,
// admits and routes their requests, drives token streams and calls, and returns the
// responses.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/catkinstair/catkinstair/internal/entry"
	"github.com/catkinstair/catkinstair/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := entry.Command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitCode)
	}
}
