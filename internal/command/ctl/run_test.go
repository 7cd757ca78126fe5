package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/samphirerail/samphirerail/internal/coordination"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var writeID = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-4[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`)

// result holds the exit code and the output of a command. Write IDs in out are
// replaced by WRITE-ID.
type result struct {
	code int
	out  string
	err  string
}

func run(t *testing.T, entry, key, stdin string, args ...string) result {
	return runUntil(t.Context(), entry, key, stdin, args...)
}

func runUntil(ctx context.Context, entry, key, stdin string, args ...string) result {
	var out, errs bytes.Buffer
	line := append([]string{"samphirectl", "--entry", entry, "--key", key}, args...)
	code := Run(ctx, line, Streams{In: strings.NewReader(stdin), Out: &out, Err: &errs})
	return result{code: code, out: writeID.ReplaceAllString(out.String(), "WRITE-ID"), err: errs.String()}
}

// trimLines removes trailing spaces, which only pad the columns.
func trimLines(text string) string {
	var trimmed []string
	for line := range strings.Lines(text) {
		trimmed = append(trimmed, strings.TrimRight(line, " \n"))
	}
	return strings.TrimSpace(strings.Join(trimmed, "\n"))
}

func TestOperatorCommands(t *testing.T) {
	written := "VERSION  WRITE ID\n11       WRITE-ID"
	for _, tt := range []struct {
		name  string
		setup func(*fakeCluster)
		args  []string
		want  string
		check func(*fakeCluster) bool
	}{
		{
			name: "contract get", setup: func(c *fakeCluster) { c.setContract("band", 3) }, args: []string{"contract", "get", "band"},
			want: "FIELD               VALUE\nteam                band\nservices            [service]\nclasses             [batch]\nweight              3\nsubmit_rate         1\nsubmit_burst        1\nmax_queued          0\non_cut              -\nlimit.cpu_milli     0\nlimit.memory_mb     0\nlimit.accelerators  0\nlimit.slots         0\nversion             3",
		},
		{
			name: "contract list", setup: func(c *fakeCluster) { c.setContract("choir", 4); c.setContract("band", 3) }, args: []string{"contract", "list"},
			want: "TEAM   WEIGHT  CPU_MILLI  MEMORY_MB  ACCELERATORS  SLOTS  RATE  BURST  MAX_QUEUED  ON_CUT  SERVICES  CLASSES  VERSION\nband   3       0          0          0             0      1     1      0           -       service   batch    3\nchoir  4       0          0          0             0      1     1      0           -       service   batch    4",
		},
		{
			name: "contract withdraw", setup: func(c *fakeCluster) { c.setContract("band", 3) }, args: []string{"contract", "withdraw", "band"},
			want: written, check: func(c *fakeCluster) bool { return len(c.contracts) == 0 },
		},
		{
			name: "queue open", args: []string{"queue", "open", "fittings", "--team", "band", "--open", "--class", "batch"},
			want: written, check: func(c *fakeCluster) bool { return c.queues["fittings"].Open },
		},
		{
			name: "queue close", setup: func(c *fakeCluster) {
				c.queues["q"] = v1.QueueStatus{Queue: v1.Queue{ID: "q", Team: "band"}, Version: 5}
			},
			args: []string{"queue", "close", "q"}, want: written, check: func(c *fakeCluster) bool { return len(c.queues) == 0 },
		},
		{
			name: "domain put", args: []string{"domain", "put", "east:brittany:2", "west:brittany:1"}, want: written,
			check: func(c *fakeCluster) bool {
				return c.domains.Domains[0] == v1.Domain{ID: "east", Region: "brittany", Weight: 2}
			},
		},
		{
			name: "upstream drain", args: []string{"upstream", "drain", "vm-7"}, want: written,
			check: func(c *fakeCluster) bool { return c.drained["vm-7"] },
		},
		{
			name: "upstream undrain", setup: func(c *fakeCluster) { c.drained["vm-7"] = true }, args: []string{"upstream", "undrain", "vm-7"}, want: written,
			check: func(c *fakeCluster) bool { return !c.drained["vm-7"] },
		},
		{
			name: "write applied once after lost responses", setup: func(c *fakeCluster) { c.responsesToDrop = 2 }, args: []string{"upstream", "drain", "vm-7"}, want: written,
			check: func(c *fakeCluster) bool { return c.version == 11 },
		},
		{
			name: "key withdraw", args: []string{"key", "withdraw", "old", "--wait"},
			want: "VERSION  IN FORCE\n11       yes\n\nDOMAIN  IN FORCE  MISSING\neast    yes       -\nwest    yes       -",
		},
		{
			name: "explain", args: []string{"explain", string(jobID)},
			want: "HOME  SHARD   OWNER  WHY\neast  east/0  e1/1   the domain is full\n\nJOB                                        STATE   CLASS  TEAM  DURABLE  WAITING\neast.018f5b3e-7c00-7000-8000-000000000001  queued  batch  band  no       no free slots",
		},
		{
			name: "status", args: []string{"status"},
			want: "ENTRY  DOMAIN  VERSION  READY  WHY NOT\ne1/1   east    10       yes    -\n\nENTRY  DOMAIN  ADDRESS      ALIVE  LEAVING  VERSION\ne1/1   east    127.0.0.1:1  yes    no       10\n\nSHARD   OWNER  EPOCH  READY  QUEUED  RUNNING  UPSTREAMS  FENCED\neast/0  e1/1   3      yes    0       0        2          2\n\nTEAM  QUEUED  USED                                      ALLOTMENT\nband  1       cpu=0m,memory=0MB,accelerators=0,slots=1  cpu=0m,memory=0MB,accelerators=0,slots=8\n\nKEY   TEAM  ROLE    VERSION\nband  band  caller  4\n\nQUEUE  TEAM  OPEN  CLASS  VERSION\n\nDOMAIN  REGION  WEIGHT",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster()
			if tt.setup != nil {
				tt.setup(c)
			}
			got := run(t, c.serve(t), operatorKey, "", tt.args...)
			is.Equal(got.err, "")
			is.Equal(got.code, ExitSuccess)
			is.Equal(trimLines(got.out), tt.want)
			is.True(tt.check == nil || tt.check(c))
		})
	}
}

func TestExitCodes(t *testing.T) {
	refused := func(reason state.Reason, verdict state.Verdict) *state.Refusal {
		return &state.Refusal{Reason: reason, Verdict: verdict, Detail: "d", Remedy: "r"}
	}
	submit := []string{"submit", "--service", "fitting", "--class", "batch", "--wait"}
	wait := []string{"wait", string(jobID)}
	for _, tt := range []struct {
		name      string
		key       string
		args      []string
		jobResult coordination.JobStatus
		want      int
		err       string
	}{
		{name: "unknown flag", args: []string{"status", "--frob"}, want: ExitInvalid, err: "run samphirectl status --help"},
		{name: "unknown command", args: []string{"contract", "frob"}, want: ExitInvalid, err: "run samphirectl contract --help"},
		{name: "missing argument", args: []string{"contract", "get"}, want: ExitInvalid, err: "run samphirectl contract get TEAM"},
		{name: "unknown format", args: []string{"-o", "xml", "status"}, want: ExitInvalid, err: "use table or json"},
		{name: "invalid name", args: []string{"contract", "get", "Band!"}, want: ExitInvalid, err: "use 1 to 64"},
		{name: "invalid memory", args: append(submit, "--memory", "much"), want: ExitInvalid, err: "write 512MB or 2GB"},
		{name: "invalid class", key: callerKey, args: []string{"submit", "--service", "fitting"}, want: ExitInvalid, err: "use request, batch"},
		{name: "key without team or operator role", args: []string{"key", "grant", "k"}, want: ExitInvalid, err: "either --team TEAM or --operator"},
		{name: "no such contract", args: []string{"contract", "get", "nobody"}, want: ExitNotRun, err: "list what there is"},
		{name: "wrong key", key: "no.key", args: []string{"status"}, want: ExitNotAuthorised, err: "ask an operator"},
		{name: "caller's key for an operator's call", key: callerKey, args: []string{"status"}, want: ExitNotAuthorised, err: "use an operator's key"},
		{name: "stale base version", args: []string{"domain", "put", "east:r:1", "--base-version", "3"}, want: ExitConflict, err: "read it again"},
		{name: "job succeeded", key: callerKey, args: submit, jobResult: coordination.JobStatus{State: state.JobSucceeded}},
		{name: "job failed", key: callerKey, args: submit, jobResult: coordination.JobStatus{State: state.JobFailed, Refusal: refused(state.ReasonTaskFailed, state.HasRun)}, want: ExitJobFailed, err: "d; r"},
		{name: "job refused", key: callerKey, args: submit, jobResult: coordination.JobStatus{State: state.JobRefused, Refusal: refused(state.ReasonNeverRunnable, state.NotRun)}, want: ExitNotRun, err: "d; r"},
		{name: "job unknown", key: callerKey, args: submit, jobResult: coordination.JobStatus{State: state.JobUnknown, Refusal: refused(state.ReasonOutcomeUnknown, state.Unknown)}, want: ExitUnknown, err: "d; r"},
		{name: "job ID in use", key: callerKey, args: submit, jobResult: coordination.JobStatus{State: state.JobRefused, Refusal: refused(state.ReasonConflict, state.NotRun)}, want: ExitConflict, err: "d; r"},
		{name: "job not ended", key: callerKey, args: submit, jobResult: coordination.JobStatus{State: state.JobQueued}, want: ExitTimeout, err: "longer timeout"},
		{name: "wait for a job cancelled before it ran", key: callerKey, args: wait, jobResult: coordination.JobStatus{State: state.JobCancelled, Refusal: refused(state.ReasonCancelled, state.NotRun)}, want: ExitNotRun, err: "d; r"},
		{name: "wait for a job with an unknown outcome", key: callerKey, args: wait, jobResult: coordination.JobStatus{State: state.JobUnknown}, want: ExitUnknown, err: "run samphirectl explain"},
		{name: "cancelled", key: callerKey, args: []string{"cancel", string(jobID)}, jobResult: coordination.JobStatus{State: state.JobCancelled}},
		{name: "job still running after cancel", key: callerKey, args: []string{"cancel", string(jobID)}, jobResult: coordination.JobStatus{State: state.JobRunning}, want: ExitUnknown, err: "samphirectl wait"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster()
			c.jobResult = tt.jobResult
			key := tt.key
			if key == "" {
				key = operatorKey
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c.onRead = cancel // cancels a wait for a job that never ends at the second read
			got := runUntil(ctx, c.serve(t), key, "", tt.args...)
			is.Equal(got.code, tt.want)
			is.True(strings.Contains(got.err, tt.err))
			is.True(strings.Count(got.err, "\n") <= 1) // errors are printed on one line
		})
	}
}

func TestUnreachableEntry(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	got := run(t, listener.Addr().String(), operatorKey, "", "status")
	is.Equal(got.code, ExitUnreachable)
	is.Equal(run(t, "", operatorKey, "", "status").code, ExitInvalid)
}

func TestSubmit(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.responsesToDrop = 1
	args := []string{"-o", "json", "submit", "--service", "fitting", "--class", "batch", "--tasks", "2", "--cpu", "0.5", "--memory", "2GB", "--deadline", "1m", "--idempotent", "--payload", "-", "--wait"}
	got := run(t, c.serve(t), callerKey, "braid", args...)
	is.Equal(got.err, "")
	var status v1.JobStatus
	is.NoErr(json.Unmarshal([]byte(got.out), &status))
	is.Equal(status.ID, jobID)
	is.Equal(string(status.Outputs[0]), "size 52\n")

	is.Equal(len(c.submitted), 1) // the retry reused the job ID
	s := c.submitted[0]
	is.Equal(s.Each, state.Vector{CPUMilli: 500, MemoryMB: 2048, Slots: 1})
	is.Equal(string(s.Payload), "braid")
	is.True(s.Idempotent && s.Tasks == 2 && s.DeadlineIn > 0)
}

func TestGrantedKeyIsUsable(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.responsesToDrop = 1 // the secret must still be valid after a lost response
	got := run(t, c.serve(t), operatorKey, "", "-o", "json", "key", "grant", "band-2", "--team", "band")
	is.Equal(got.err, "")
	var granted v1.GrantedKey
	is.NoErr(json.Unmarshal([]byte(got.out), &granted))
	secret, ok := strings.CutPrefix(granted.Bearer, "band-2.")
	is.True(ok)
	sum := sha256.Sum256([]byte(secret))
	is.Equal(c.keys["band-2"].SecretSHA256, hex.EncodeToString(sum[:]))
	is.Equal(c.version, int64(11))
}

func TestKeyWithdrawReportsMissingEntries(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.missingEntries = []coordination.EntryID{"e4/2"}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.onRead = cancel
	got := runUntil(ctx, c.serve(t), operatorKey, "", "key", "withdraw", "old", "--wait")
	is.Equal(got.code, ExitTimeout)
	is.Equal(trimLines(got.out), "VERSION  IN FORCE\n11       no\n\nDOMAIN  IN FORCE  MISSING\neast    yes       -\nwest    no        e4/2")
	is.Equal(got.err, "samphirectl: version 11 is not in force everywhere yet: missing west (e4/2); check these entries, then run samphirectl version 11 --wait\n")
}

func TestKeyFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "key")
	is.NoErr(os.WriteFile(file, []byte(operatorKey+"\n"), 0o600))
	got := run(t, newCluster().serve(t), "no.key", "", "--key-file", file, "version", "3")
	is.Equal(got.code, ExitSuccess)
}
