package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
)

// writeContractFiles writes the contents as a.toml, b.toml and so on to a temporary
// directory and returns its path.
func writeContractFiles(t *testing.T, files ...string) string {
	dir := t.TempDir()
	for i, content := range files {
		name := filepath.Join(dir, string(rune('a'+i))+".toml")
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestContractApply(t *testing.T) {
	files := []string{contractText("band", 5), contractText("choir", 4), contractText("drums", 1)}
	for _, tt := range []struct {
		name             string
		flags            []string
		concurrentChange bool
		responsesToDrop  int
		want             string
		code             int
		teams            []state.TeamID
		bandWeight       int
	}{
		{
			name: "dry run", flags: []string{"--dry-run", "--prune"}, bandWeight: 3, teams: []state.TeamID{"band", "choir", "organ"},
			want: "TEAM   FILE    CHANGE     RESULT         VERSION  ERROR\nband   a.toml  changed    planned        -        -\nchoir  b.toml  unchanged  nothing to do  -        -\ndrums  c.toml  added      planned        -        -\norgan  -       withdrawn  planned        -        -\n\nTEAM  FIELD   OLD      NEW\nband  weight  3    ->  5",
		},
		{
			name: "contract without a file kept without prune", bandWeight: 5, teams: []state.TeamID{"band", "choir", "drums", "organ"},
			want: "TEAM   FILE    CHANGE     RESULT         VERSION  ERROR\nband   a.toml  changed    applied        11       -\nchoir  b.toml  unchanged  nothing to do  -        -\ndrums  c.toml  added      applied        12       -\norgan  -       kept       nothing to do  -        -\n\nTEAM  FIELD   OLD      NEW\nband  weight  3    ->  5",
		},
		{
			name: "prune with lost responses", flags: []string{"--prune"}, responsesToDrop: 2, bandWeight: 5, teams: []state.TeamID{"band", "choir", "drums"},
			want: "TEAM   FILE    CHANGE     RESULT         VERSION  ERROR\nband   a.toml  changed    applied        11       -\nchoir  b.toml  unchanged  nothing to do  -        -\ndrums  c.toml  added      applied        12       -\norgan  -       withdrawn  applied        13       -\n\nTEAM  FIELD   OLD      NEW\nband  weight  3    ->  5",
		},
		{
			name: "conflict", concurrentChange: true, code: ExitConflict, bandWeight: 3, teams: []state.TeamID{"band", "choir", "drums", "organ"},
			want: "conflict (not run: true): contract band has version",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster()
			c.setContract("band", 3)
			c.setContract("choir", 4)
			c.setContract("organ", 2)
			c.concurrentChange, c.responsesToDrop = tt.concurrentChange, tt.responsesToDrop
			args := append([]string{"contract", "apply", "-f", writeContractFiles(t, files...)}, tt.flags...)
			got := run(t, c.serve(t), operatorKey, "", args...)
			is.Equal(got.code, tt.code)
			if tt.code == ExitSuccess {
				is.Equal(trimLines(got.out), tt.want)
			} else {
				is.True(strings.Contains(got.out, tt.want))
				is.Equal(got.err, "samphirectl: 1 of 2 changes not applied; see their remedies, then run contract apply again\n")
			}
			is.Equal(len(c.contracts), len(tt.teams))
			for _, team := range tt.teams {
				is.True(c.contractVersion(team) >= 0)
			}
			is.Equal(c.contracts["band"].Weight, tt.bandWeight)
		})
	}
}

func TestContractApplyReportsAllFaults(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	invalid := strings.NewReplacer("weight = 2", "weight = 0\nwieght = 2", "max_queued = 0\n", "", `["batch"]`, `"batch"`, "slots = 0", "slots = -1").Replace(contractText("choir", 2))
	dir := writeContractFiles(t, contractText("band", 1), invalid, contractText("band", 2), "team = \n")
	got := run(t, c.serve(t), operatorKey, "", "contract", "apply", "-f", dir)
	is.Equal(got.code, ExitInvalid)
	is.Equal(got.out, "")
	is.Equal(len(c.contracts), 0) // nothing was applied
	want := []string{
		"b.toml: classes: has the wrong type: ",
		"b.toml: weight: is 0, outside 1 to 1000000; ",
		"b.toml: max_queued: is missing; add it",
		"b.toml: limit.slots: is -1, outside 0 to ",
		"b.toml: wieght: is not a key of a contract; remove it or correct its name",
		"d.toml: is not valid TOML: line 1: ",
		"c.toml: team: names the same team as a.toml, an earlier file; keep one file for each team",
	}
	lines := strings.Split(strings.TrimSpace(got.err), "\n")
	is.Equal(len(lines), len(want))
	for i, line := range lines {
		is.True(strings.HasPrefix(line, "samphirectl: "+want[i])) // in the order of files and keys
	}
}

func TestContractPut(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	entry := c.serve(t)
	file := filepath.Join(writeContractFiles(t, contractText("band", 3)), "a.toml")
	got := run(t, entry, operatorKey, "", "contract", "put", file)
	is.Equal(got.code, ExitSuccess)
	is.Equal(c.contracts["band"].Weight, 3)
	is.Equal(run(t, entry, operatorKey, "", "contract", "put", file, "--base-version", "4").code, ExitConflict)
	is.Equal(run(t, entry, operatorKey, "", "contract", "put", file).code, ExitSuccess)
}

func TestExampleContractsAreValid(t *testing.T) {
	is := is.New(t)
	files, err := loadContracts(filepath.Join("..", "..", "..", "examples", "contracts"))
	is.NoErr(err)
	is.Equal(len(files), 4)
}
