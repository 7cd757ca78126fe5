// Command samphirerail runs an entry process of the cluster scheduler.
package main

import (
	"context"
	"os"

	"github.com/samphirerail/samphirerail/internal/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
