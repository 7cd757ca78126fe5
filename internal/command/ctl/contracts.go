package ctl

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

func (a *app) contractCommand() *cli.Command {
	return &cli.Command{
		Name:  "contract",
		Usage: "the contracts: what each team may submit and use",
		Commands: []*cli.Command{
			{Name: "put", Usage: "write the contract of a file", ArgsUsage: "FILE", Flags: []cli.Flag{baseVersionFlag()}, Action: a.action(putContract)},
			{Name: "get", Usage: "show a team's contract", ArgsUsage: "TEAM", Action: a.action(getContract)},
			{Name: "list", Usage: "show all contracts", Action: a.action(listContracts)},
			{Name: "withdraw", Usage: "withdraw a team's contract", ArgsUsage: "TEAM", Flags: []cli.Flag{baseVersionFlag()}, Action: a.action(withdrawContract)},
			a.contractApplyCommand(),
		},
	}
}

func putContract(ctx context.Context, s *session) error {
	name, err := s.argument("FILE")
	if err != nil {
		return err
	}
	file, err := loadContract(name)
	if err != nil {
		return err
	}
	write, err := s.newWrite(func() (int64, error) { return s.contractVersion(ctx, file.contract.Team) })
	if err != nil {
		return err
	}
	result, err := s.client.PutContract(ctx, file.contract, write)
	if err != nil {
		return err
	}
	return s.printWrite(result)
}

// contractVersion returns the current version of a team's contract, or v1.NoVersion
// if there is none.
func (s *session) contractVersion(ctx context.Context, team state.TeamID) (int64, error) {
	contract, err := s.client.Contract(ctx, team)
	var refusal *v1.Refusal
	if errors.As(err, &refusal) && refusal.Reason == state.ReasonNotFound {
		return v1.NoVersion, nil
	}
	return contract.Version, err
}

func getContract(ctx context.Context, s *session) error {
	team, err := s.team()
	if err != nil {
		return err
	}
	contract, err := s.client.Contract(ctx, team)
	if err != nil {
		return err
	}
	return s.print(contract, func(t *table) { drawContract(t, contract) })
}

func (s *session) team() (state.TeamID, error) {
	name, err := s.argument("TEAM")
	if err != nil {
		return "", err
	}
	return parseTeam(name)
}

func listContracts(ctx context.Context, s *session) error {
	if _, err := s.arguments(); err != nil {
		return err
	}
	list, err := s.client.Contracts(ctx)
	if err != nil {
		return err
	}
	return s.print(list, func(t *table) { drawContracts(t, list) })
}

func withdrawContract(ctx context.Context, s *session) error {
	team, err := s.team()
	if err != nil {
		return err
	}
	write, err := s.newWrite(func() (int64, error) {
		contract, err := s.client.Contract(ctx, team)
		return contract.Version, err
	})
	if err != nil {
		return err
	}
	result, err := s.client.WithdrawContract(ctx, team, write)
	if err != nil {
		return err
	}
	return s.printWrite(result)
}

func (s *session) printWrite(result v1.WriteResult) error {
	return s.print(result, func(t *table) {
		t.section("VERSION", "WRITE ID")
		t.row(result.Version, result.WriteID)
	})
}

func drawContract(t *table, contract v1.VersionedContract) {
	t.section("FIELD", "VALUE")
	for i := range contractFields {
		field := &contractFields[i]
		t.row(field.key, field.render(&contract.Contract))
	}
	t.row("version", contract.Version)
}

func drawContracts(t *table, list v1.ContractList) {
	t.section("TEAM", "WEIGHT", "CPU_MILLI", "MEMORY_MB", "ACCELERATORS", "SLOTS", "RATE", "BURST", "MAX_QUEUED", "ON_CUT", "SERVICES", "CLASSES", "VERSION")
	for _, c := range list.Contracts {
		t.row(
			c.Team, c.Weight, c.Limit.CPUMilli, c.Limit.MemoryMB, c.Limit.Accelerators, c.Limit.Slots,
			c.SubmitRate, c.SubmitBurst, c.MaxQueued, c.PartitionPolicy, joinValues(c.Services), joinValues(c.Classes), c.Version,
		)
	}
}
