package ledger

import (
	"bufio"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// releaseFile holds one record of each kind as the release that deploy/system.toml names as
// production wrote it: key and value in hexadecimal digits. SAMPHIRERAIL_WRITE_RELEASE=1 writes
// the file with the code of that release.
const releaseFile = "testdata/production.records"

func releaseRecords() []Record {
	state := &JobState{
		Phase: Running, Steps: []StepState{{Step: 0, Done: []byte{1}, Tasks: []TaskState{{Index: 2, Run: 70_001, Failed: []int64{1}, Checkpoint: "c", Upstream: "u"}}}},
	}
	job := testJob()
	job.Domain = "north"
	return []Record{
		must(JobRecord(job)),
		must(CancelRecord("00000000000000ac", 7)),
		must(StateRecord(id, state)),
		must(ClaimRecord(&Claim{Epoch: 7, Entry: "e", Incarnation: "i", Address: "a", Domain: "north", Successor: "f"})),
		must(EntryRecord(&Entry{Name: "e", Incarnation: "i", Address: "a", Domain: "north", CPUShare: 0.8})),
	}
}

func readRelease(t *testing.T) (records []Record) {
	f, err := os.Open(releaseFile)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		key, value, _ := strings.Cut(lines.Text(), " ")
		data, err := hex.DecodeString(value)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, Record{Key: key, Value: data})
	}
	return records
}

// TestRecordsOfProductionAreReadAndWritten guards against entries of the release in production
// and of this one that cannot read each other's records while they run side by side.
func TestRecordsOfProductionAreReadAndWritten(t *testing.T) {
	is := is.New(t)
	want := releaseRecords()
	if os.Getenv("SAMPHIRERAIL_WRITE_RELEASE") != "" {
		var out strings.Builder
		for _, r := range want {
			out.WriteString(r.Key + " " + hex.EncodeToString(r.Value) + "\n")
		}
		is.NoErr(os.WriteFile(releaseFile, []byte(out.String()), 0o600))
	}
	records := readRelease(t)
	is.Equal(len(records), len(want))
	for i := range want {
		is.Equal(records[i].Key, want[i].Key)
		is.Equal(hex.EncodeToString(want[i].Value), hex.EncodeToString(records[i].Value)) // production reads what this release writes
	}
	table := fold(t, records...)
	row := table.Row(id)
	is.True(row != nil)
	is.Equal(row.Job.Payload, "p")
	is.Equal(row.Phase(), Running)
	is.Equal(row.State.Steps[0].Tasks[0].Upstream, workload.UpstreamID("u"))
	claim, _ := table.Claim()
	is.Equal(claim.Epoch, int64(7))
	is.Equal(len(table.Entries()), 1)
}
