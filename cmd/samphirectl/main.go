// Command samphirectl is the command-line client for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/samphirerail/samphirerail/internal/command/ctl"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, os.Args, ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}
