package soak

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// maxEvidence bounds the lines that a failed run copies to the test's output.
const maxEvidence = 150

var (
	jobID = regexp.MustCompile(`\b[0-9a-f]{16}\b`)
	// evidenceOfAll matches the lines on owners, the ends of upstreams and the configuration.
	evidenceOfAll = regexp.MustCompile(`: (claim|ownership \w+|configuration applied|upstream restarted|upstream poll failed|upstream reachable again): `)
)

// reportProblems fails the test for each problem of a run, and copies what the entries' logs hold about
// the job in the first: they are removed with the test's directory.
func reportProblems(t *testing.T, report *Report) {
	t.Helper()
	for _, problem := range report.Problems {
		t.Error(problem)
	}
	if len(report.Problems) == 0 {
		return
	}
	lines, err := evidence(report)
	if err != nil {
		t.Error(err)
	}
	t.Log("from the entries' logs:\n" + strings.Join(lines, "\n"))
}

// evidence returns the lines of the entries' logs that name the first job in the problems of a run,
// and those of evidenceOfAll between them, all of these if no job is named, in the order of time.
func evidence(report *Report) (lines []string, err error) {
	job := jobID.FindString(strings.Join(report.Problems, "\n"))
	paths, err := filepath.Glob(filepath.Join(report.Dir, "*.log"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(text)) {
			if job != "" && strings.Contains(line, job) || evidenceOfAll.MatchString(line) {
				lines = append(lines, strings.TrimSpace(line)+" @"+filepath.Base(path))
			}
		}
	}
	slices.Sort(lines) // each begins with its time
	named := func(line string) bool { return strings.Contains(line, job) }
	lines = lines[max(0, slices.IndexFunc(lines, named)):]
	slices.Reverse(lines)
	lines = lines[max(0, slices.IndexFunc(lines, named)):]
	lines = lines[:min(len(lines), maxEvidence)]
	slices.Reverse(lines)
	return lines, nil
}

func TestEvidenceNamesTheJobAndWhatHappenedMeanwhile(t *testing.T) {
	is := is.New(t)
	report := Report{Dir: t.TempDir(), Problems: []string{"CONFIG: entry-1", "TWICE: task df78b44e862716a9.0.1.0 was started on i-005"}}
	const prefix = " [INFO]  samphirerail: "
	for name, lines := range map[string][]string{
		"entry-0.log": {"1" + prefix + "upstream restarted: upstream=i-001", "2" + prefix + "start: task=df78b44e862716a9.0.1.0 run=1", "5" + prefix + "job ended: job=df78b44e862716a9", "7" + prefix + "claim: epoch=2"},
		"entry-1.log": {"3" + prefix + "claim: epoch=1", "4" + prefix + "start: task=0123456789abcdef.0.1.0 run=1"},
	} {
		is.NoErr(os.WriteFile(filepath.Join(report.Dir, name), []byte(strings.Join(lines, "\n")), 0o600))
	}
	lines, err := evidence(&report)
	is.NoErr(err)
	report.Problems = report.Problems[:1]
	ofAll, err := evidence(&report)
	is.NoErr(err)
	is.Equal(len(ofAll), 3) // no job is named
	is.Equal(lines, []string{
		"2" + prefix + "start: task=df78b44e862716a9.0.1.0 run=1 @entry-0.log",
		"3" + prefix + "claim: epoch=1 @entry-1.log",
		"5" + prefix + "job ended: job=df78b44e862716a9 @entry-0.log",
	})
}
