package journal

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
)

// benchPayload is the size of a job's payload in bytes.
const benchPayload = 256

func benchJob(n int) Job {
	job := testJob(n)
	job.Payload = make([]byte, benchPayload)
	return job
}

// TestAppendBudget guards against a rate of appends that grows with the number of
// jobs: it accepts and ends 8,000 jobs per virtual second within the default
// AppendsPerSecond.
func TestAppendBudget(t *testing.T) {
	const (
		perStep = 80
		step    = 10 * time.Millisecond
		jobs    = 40_000
		// openJobs is the number of jobs accepted between the acceptance and
		// the end of a job.
		openJobs = 16_000
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		o := startOwner(log, 1, nil)
		quiesce()
		appends, bytes := log.count()
		begin := time.Now()
		var last *Commit
		for n := range jobs {
			last = o.Accept(benchJob(n))
			if n >= openJobs {
				o.End(testJob(n-openJobs).ID, state.JobSucceeded)
			}
			if n%perStep == perStep-1 {
				time.Sleep(step)
			}
		}
		waited := time.Now()
		is.True(last.Wait(t.Context(), quiesceTime))
		t.Logf("last commit took %s", time.Since(waited))
		virtual := time.Since(begin).Seconds()
		after, written := log.count()
		t.Logf("%.0f jobs/s, %.1f appends/s, %d bytes per job", jobs/virtual, float64(after-appends)/virtual, (written-bytes)/jobs)
		is.True(float64(after-appends) <= 25*virtual+1)
		o.kill()
	})
}

// BenchmarkOpenJobMemory measures the heap memory of an unfinished job, without
// its payload.
func BenchmarkOpenJobMemory(b *testing.B) {
	const jobs = 100_000
	shared := make([]byte, benchPayload)
	for b.Loop() {
		before := heap()
		j := New(Config{Log: &fakeConn{log: &fakeLog{}}, Domain: "north", MaxPending: 1 << 30})
		for n := range jobs {
			job := testJob(n)
			job.Payload = shared
			j.Accept(job)
		}
		for {
			g, batch := j.buildBatch()
			if len(batch.Events) == 0 {
				break
			}
			j.completeGroup(g)
		}
		b.ReportMetric(float64(heap()-before)/jobs, "B-heap/job")
		runtime.KeepAlive(j)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRecovery measures the folding of a record of unfinished jobs.
func BenchmarkRecovery(b *testing.B) {
	record := batch{Sequence: 1}
	for n := range 400 {
		job := benchJob(n)
		record.Events = append(record.Events, event{Accepted: &job})
	}
	data, err := record.encode()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if err := newFold().apply(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/400, "ns/job")
}
