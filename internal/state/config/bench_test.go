package config

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	benchUpstreams = 36000
	benchTeams     = 97
	benchDomains   = 14
	joinBatch      = 500
)

// largeFold returns the Fold of a large deployment, of the size expected in the
// future.
func largeFold(upstreams int) *Fold {
	f := NewFold()
	offset := int64(0)
	apply := func(base int64, body Body) {
		if result := f.Apply(offset, Record{ID: fmt.Sprint("w", offset), Base: base, Body: body}); result.Err() != nil {
			panic(result.Err())
		}
		offset++
	}
	var domains []Domain
	for d := range benchDomains {
		domains = append(domains, Domain{ID: state.DomainID(fmt.Sprint("d", d)), Region: "r", Weight: int64(d + 1)})
	}
	apply(NoVersion, PutDomains{Domains: domains})
	for team := range benchTeams {
		c := modelContract(1000)
		c.Team = state.TeamID(fmt.Sprint("team", team))
		apply(NoVersion, PutContract{Contract: c})
	}
	for first := 0; first < upstreams; first += joinBatch {
		var list []Upstream
		for i := first; i < min(first+joinBatch, upstreams); i++ {
			list = append(list, Upstream{
				ID: state.VMID(fmt.Sprintf("vm-upstream-%06d", i)), Rack: fmt.Sprint("rack-", i/40), Service: "fitting",
				Capacity: state.Vector{CPUMilli: 32000, MemoryMB: 65536, Slots: 8},
			})
		}
		apply(NoVersion, JoinUpstreams{Domain: domains[first/joinBatch%benchDomains].ID, Upstreams: list})
	}
	return f
}

// BenchmarkContractChanges folds 10,000 contract changes, with a view after
// each, in a deployment of 36,000 upstreams.
func BenchmarkContractChanges(b *testing.B) {
	const changes = 10000
	f := largeFold(benchUpstreams)
	b.ReportAllocs()
	for b.Loop() {
		for i := range int64(changes) {
			c := modelContract(1000 + i%7)
			c.Team = state.TeamID(fmt.Sprint("team", i%benchTeams))
			f.Apply(f.Version()+1, Record{ID: fmt.Sprint("c", i), Base: AnyVersion, Body: PutContract{Contract: c}})
			f.View()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/changes, "ns/change")
}

func BenchmarkFoldMemory(b *testing.B) {
	for _, upstreams := range []int{0, 3600, benchUpstreams} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			var retained uint64
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := largeFold(upstreams)
				f.View()
				runtime.GC()
				runtime.ReadMemStats(&after)
				retained = after.HeapAlloc - before.HeapAlloc
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(retained), "bytes-held")
		})
	}
}

func BenchmarkSnapshotEncode(b *testing.B) {
	view := largeFold(benchUpstreams).View()
	var size int
	for b.Loop() {
		data, err := view.EncodeSnapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}

func BenchmarkSnapshotRestore(b *testing.B) {
	data, err := largeFold(benchUpstreams).View().EncodeSnapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	f, _ := foldAll(Record{Base: NoVersion, Body: GrantKey{Key: testKey("k")}})
	view := f.View()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := view.Authenticate("k", "secret"); err != nil {
			b.Fatal(err)
		}
	}
}
