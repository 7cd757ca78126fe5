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

// TestAppendBudget accepts and ends 8,000 jobs in each virtual second within the
// budget of appends.
func TestAppendBudget(t *testing.T) {
	const (
		perStep = 80
		step    = 10 * time.Millisecond
		jobs    = 40_000
		// life is the number of jobs between the start and the end of one.
		life = 16_000
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		o := startOwner(log, 1, nil)
		settle()
		appends, bytes := log.count()
		begin := time.Now()
		var last *Commit
		for n := range jobs {
			last = o.Accept(benchJob(n))
			if n >= life {
				o.End(testJob(n-life).ID, state.JobSucceeded)
			}
			if n%perStep == perStep-1 {
				time.Sleep(step)
			}
		}
		waited := time.Now()
		is.True(last.Wait(t.Context(), settleTime))
		t.Logf("the last commit took %s", time.Since(waited))
		virtual := time.Since(begin).Seconds()
		after, written := log.count()
		t.Logf("%.0f jobs/s, %.1f appends/s, %d bytes per job", jobs/virtual, float64(after-appends)/virtual, (written-bytes)/jobs)
		is.True(float64(after-appends) <= 25*virtual+1)
		o.kill()
	})
}

// BenchmarkOpenJobMemory tells what a job costs while it waits, besides its
// payload.
func BenchmarkOpenJobMemory(b *testing.B) {
	const jobs = 100_000
	shared := make([]byte, benchPayload)
	for b.Loop() {
		before := heap()
		j := New(Config{Log: &fakePort{log: &fakeLog{}}, Domain: "north", MaxPending: 1 << 30})
		for n := range jobs {
			job := testJob(n)
			job.Payload = shared
			j.Accept(job)
		}
		for {
			g, batch := j.build()
			if len(batch.Entries) == 0 {
				break
			}
			j.settleGroup(g)
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

// BenchmarkRecovery folds a stream of unfinished jobs.
func BenchmarkRecovery(b *testing.B) {
	batchOf := batch{Sequence: 1}
	for n := range 400 {
		job := benchJob(n)
		batchOf.Entries = append(batchOf.Entries, entry{Accepted: &job})
	}
	data, err := batchOf.encode()
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
