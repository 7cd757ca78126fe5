package command

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/samphirerail/samphirerail/internal/node"
	"github.com/samphirerail/samphirerail/internal/settings"
)

// nodeSettingsVariable is the environment variable that holds the path of the
// settings file on the users' platform.
const nodeSettingsVariable = "SAMPHIRERAIL_SETTINGS"

func nodeFlags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` (TOML)", Required: true,
		Sources: cli.EnvVars(nodeSettingsVariable),
	}}
}

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run an entry on the users' platform until it is told to stop",
		Flags: nodeFlags(),
		Commands: []*cli.Command{{
			Name:  "check",
			Usage: "check a settings file of a node and print every fault",
			Flags: nodeFlags(),
			Action: func(_ context.Context, cmd *cli.Command) error {
				_, err := settings.LoadNode(cmd.String("config"))
				return err
			},
		}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path := cmd.String("config")
			s, err := settings.LoadNode(path)
			if err != nil {
				return err
			}
			n, err := node.New(s, cmd.Root().Writer)
			if err != nil {
				return err
			}
			return serveNode(ctx, n, path, s)
		},
	}
}

// serveNode runs a node until the first stop signal or until ctx ends. SIGHUP
// reloads the settings file.
func serveNode(ctx context.Context, n *node.Node, path string, s settings.Node) error {
	stop := notifyStop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	startCtx, cancel := context.WithTimeout(ctx, s.Shutdown.Timeout.Std())
	defer cancel()
	if err := n.Start(startCtx); err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			n.Reload(path)
			continue
		case <-stop:
		case <-ctx.Done():
		}
		stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), s.Shutdown.Timeout.Std())
		defer cancelStop()
		return errors.Join(n.Stop(stopCtx))
	}
}
