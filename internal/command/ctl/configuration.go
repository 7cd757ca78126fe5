package ctl

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	flagOpen  = "open"
	flagClass = "class"

	// domainParts is the number of colon-separated parts of NAME:REGION:WEIGHT.
	domainParts = 3
)

func (a *app) queueCommand() *cli.Command {
	return &cli.Command{
		Name:  "queue",
		Usage: "the queues that jobs are submitted to",
		Commands: []*cli.Command{
			{
				Name: "open", Usage: "open a queue or change it", ArgsUsage: "ID",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagTeam, Usage: "`TEAM` whose contract the work counts against"},
					&cli.BoolFlag{Name: flagOpen, Usage: "accept work without a key"},
					&cli.StringFlag{Name: flagClass, Usage: "`CLASS` of a job that names none"},
					baseVersionFlag(),
				},
				Action: a.action(openQueue),
			},
			{Name: "close", Usage: "close a queue", ArgsUsage: "ID", Flags: []cli.Flag{baseVersionFlag()}, Action: a.action(closeQueue)},
		},
	}
}

func openQueue(ctx context.Context, s *session) error {
	id, err := s.argument("ID")
	if err != nil {
		return err
	}
	queue := v1.Queue{
		ID:           state.QueueID(id),
		Team:         state.TeamID(s.command.String(flagTeam)),
		Open:         s.command.Bool(flagOpen),
		DefaultClass: state.Class(s.command.String(flagClass)),
	}
	if err := queue.Validate(); err != nil {
		return err
	}
	write, err := s.newWrite(func() (int64, error) { return s.queueVersion(ctx, queue.ID) })
	if err != nil {
		return err
	}
	result, err := s.client.PutQueue(ctx, queue, write)
	if err != nil {
		return err
	}
	return s.printWrite(result)
}

// queueVersion returns the current version of a queue, or v1.NoVersion if there is
// no such queue.
func (s *session) queueVersion(ctx context.Context, id state.QueueID) (int64, error) {
	status, err := s.client.Status(ctx)
	index := slices.IndexFunc(status.Queues, func(q v1.QueueStatus) bool { return q.ID == id })
	if err != nil || index < 0 {
		return v1.NoVersion, err
	}
	return status.Queues[index].Version, nil
}

func closeQueue(ctx context.Context, s *session) error {
	name, err := s.argument("ID")
	id := state.QueueID(name)
	if err == nil {
		err = v1.CheckQueueID(id)
	}
	if err != nil {
		return err
	}
	write, err := s.newWrite(func() (int64, error) { return s.queueVersion(ctx, id) })
	if err != nil {
		return err
	}
	result, err := s.client.CloseQueue(ctx, id, write)
	if err != nil {
		return err
	}
	return s.printWrite(result)
}

func (a *app) domainCommand() *cli.Command {
	return &cli.Command{
		Name:  "domain",
		Usage: "the failure domains that the teams' limits are divided among",
		Commands: []*cli.Command{
			{Name: "put", Usage: "write the list of failure domains", ArgsUsage: "NAME:REGION:WEIGHT...", Flags: []cli.Flag{baseVersionFlag()}, Action: a.action(putDomains)},
			{Name: "evacuate", Usage: "start no task in a failure domain any more", ArgsUsage: "NAME", Action: a.action(evacuateDomain)},
			{Name: "restore", Usage: "start tasks in an evacuated failure domain again", ArgsUsage: "NAME", Action: a.action(restoreDomain)},
		},
	}
}

func putDomains(ctx context.Context, s *session) error {
	domains, err := parseDomains(s.command.Args().Slice())
	if err != nil {
		return err
	}
	write, err := s.newWrite(func() (int64, error) {
		status, err := s.client.Status(ctx)
		return status.Domains.Version, err
	})
	if err != nil {
		return err
	}
	result, err := s.client.PutDomains(ctx, domains, write)
	if err != nil {
		return err
	}
	return s.printWrite(result)
}

// parseDomains parses arguments of the form NAME:REGION:WEIGHT and validates the
// whole list.
func parseDomains(args []string) ([]v1.Domain, error) {
	domains := make([]v1.Domain, 0, len(args))
	for _, arg := range args {
		parts := strings.Split(arg, ":")
		if len(parts) != domainParts {
			return nil, &usageError{problem: strconv.Quote(arg) + " is not a domain", remedy: "write NAME:REGION:WEIGHT, such as east:brittany:1"}
		}
		weight, err := strconv.ParseInt(parts[2], 10, 64)
		if err != nil {
			return nil, &usageError{problem: "the weight of " + strconv.Quote(arg) + " is not an integer", remedy: "write NAME:REGION:WEIGHT, such as east:brittany:1"}
		}
		domains = append(domains, v1.Domain{ID: state.DomainID(parts[0]), Region: parts[1], Weight: weight})
	}
	base := v1.AnyVersion
	request := v1.PutDomains{Write: v1.Write{BaseVersion: &base}, Domains: domains}
	return domains, request.Validate()
}

func (a *app) upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "the VMs that run the tasks",
		Commands: []*cli.Command{
			{Name: "drain", Usage: "stop the placement of new work on an upstream", ArgsUsage: "VM", Action: a.action(drain)},
			{Name: "undrain", Usage: "allow the placement of new work on an upstream again", ArgsUsage: "VM", Action: a.action(undrain)},
		},
	}
}

func drain(ctx context.Context, s *session) error {
	return s.changeUpstream(ctx, s.client.Drain)
}

func undrain(ctx context.Context, s *session) error {
	return s.changeUpstream(ctx, s.client.Undrain)
}

func (s *session) changeUpstream(ctx context.Context, change func(context.Context, state.VMID, v1.Write) (v1.WriteResult, error)) error {
	name, err := s.argument("VM")
	vm := state.VMID(name)
	if err == nil {
		err = v1.CheckVMID(vm)
	}
	if err != nil {
		return err
	}
	result, err := change(ctx, vm, v1.Write{})
	if err != nil {
		return err
	}
	return s.printWrite(result)
}
