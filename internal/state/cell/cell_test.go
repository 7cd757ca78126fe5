package cell_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
)

const service = state.Service("fitting")

var small = state.Vector{CPUMilli: 1000, MemoryMB: 1024, Slots: 1}

func upstream(vm, rack string, free state.Vector) cell.Upstream {
	return cell.Upstream{VM: state.VMID(vm), Rack: rack, Service: service, Capacity: free, Free: free, Readiness: cell.Ready}
}

func TestPick(t *testing.T) {
	large := state.Vector{CPUMilli: 8000, MemoryMB: 8192, Slots: 8}
	withAccelerators := state.Vector{CPUMilli: 8000, MemoryMB: 8192, Accelerators: 8, Slots: 8}
	tests := []struct {
		name      string
		upstreams []cell.Upstream
		req       cell.Request
		want      state.VMID
	}{
		{name: "no upstream", req: cell.Request{Service: service, Each: small}},
		{name: "other service", upstreams: []cell.Upstream{upstream("a", "r1", large)}, req: cell.Request{Service: "design", Each: small}},
		{name: "best fit of two", upstreams: []cell.Upstream{upstream("a", "r1", large), {VM: "b", Rack: "r1", Service: service, Capacity: large, Free: small, Readiness: cell.Ready}}, req: cell.Request{Service: service, Each: small}, want: "b"},
		{name: "accelerators stay free", upstreams: []cell.Upstream{upstream("a", "r1", withAccelerators), upstream("b", "r1", large)}, req: cell.Request{Service: service, Each: small}, want: "b"},
		{name: "avoided upstream is skipped", upstreams: []cell.Upstream{upstream("a", "r1", large), upstream("b", "r1", large)}, req: cell.Request{Service: service, Each: small, Avoid: []state.VMID{"a"}}, want: "b"},
		{name: "spread prefers an unused rack", upstreams: []cell.Upstream{upstream("a", "r1", large), upstream("b", "r2", large)}, req: cell.Request{Service: service, Each: small, Spread: true, Placed: []state.VMID{"a"}}, want: "b"},
		{name: "not ready", upstreams: []cell.Upstream{{VM: "a", Service: service, Capacity: large, Free: large, Readiness: cell.Unavailable}}, req: cell.Request{Service: service, Each: small}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := cell.New()
			for _, u := range tt.upstreams {
				c.Put(u)
			}
			vm, ok := c.Pick(tt.req)
			is.Equal(vm, tt.want)
			is.Equal(ok, tt.want != "")
		})
	}
}

func TestPickManyCommitsNothing(t *testing.T) {
	is := is.New(t)
	c := cell.New()
	c.Put(upstream("a", "r1", small.Scale(2)))
	c.Put(upstream("b", "r2", small.Scale(2)))
	picked, ok := c.PickMany(cell.Request{Service: service, Each: small, Spread: true}, 4)
	is.True(ok)
	is.Equal(len(picked), 4)
	_, ok = c.PickMany(cell.Request{Service: service, Each: small}, 5)
	is.True(!ok)
	_, free := c.Total(service)
	is.Equal(free, small.Scale(4))
}

func TestCommitRefusesOvercommit(t *testing.T) {
	is := is.New(t)
	c := cell.New()
	c.Put(upstream("a", "r1", small))
	is.NoErr(c.Commit("a", small))
	var over *cell.OvercommitError
	is.True(errors.As(c.Commit("a", small), &over))
	is.True(errors.Is(c.Commit("z", small), cell.ErrUnknownUpstream))
}

// TestPickAgreesWithScan compares the index with a scan of all upstreams over random
// histories: an upstream is found exactly when there is one with enough free capacity,
// and the totals agree.
func TestPickAgreesWithScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := cell.New()
		vms := []state.VMID{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				vm := state.VMID(fmt.Sprintf("vm%02d", rapid.IntRange(0, 20).Draw(t, "vm")))
				if _, ok := c.Get(vm); !ok {
					vms = append(vms, vm)
					c.Put(upstream(string(vm), rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "rack"), small.Scale(rapid.Int64Range(1, 8).Draw(t, "size"))))
				}
			case 1:
				if len(vms) > 0 {
					c.SetReadiness(rapid.SampledFrom(vms).Draw(t, "vm"), cell.Readiness(rapid.IntRange(0, 4).Draw(t, "readiness")))
				}
			default:
				checkPick(t, c, vms, cell.Request{
					Service: service, Each: small.Scale(rapid.Int64Range(1, 9).Draw(t, "need")), Spread: rapid.Bool().Draw(t, "spread"),
				})
			}
		}
	})
}

func checkPick(t *rapid.T, c *cell.Cell, vms []state.VMID, req cell.Request) {
	found := false
	var free state.Vector
	for _, vm := range vms {
		u, _ := c.Get(vm)
		free = free.Add(u.Free)
		found = found || (u.Readiness == cell.Ready && req.Each.Fits(u.Free))
	}
	if _, total := c.Total(service); total != free {
		t.Fatalf("Total reports %v free, but the upstreams sum to %v", total, free)
	}
	vm, ok := c.Pick(req)
	if ok != found {
		t.Fatalf("Pick found an upstream: %v, a scan of all upstreams found one: %v", ok, found)
	}
	if ok {
		if err := c.Commit(vm, req.Each); err != nil {
			t.Fatal(err)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	each := state.Vector{CPUMilli: 3000, MemoryMB: 6000, Slots: 1}
	capacity := state.Vector{CPUMilli: 32000, MemoryMB: 65536, Slots: 8}
	for _, n := range []int{260, 2600, 26000} {
		for name, c := range map[string]*cell.Cell{"best_fit": cell.New(), "first_fit": cell.NewFirstFit()} {
			for i := range n {
				c.Put(upstream(fmt.Sprintf("vm%06d", i), fmt.Sprintf("rack%04d", i/40), capacity))
			}
			committed := []state.VMID{}
			for range n * 7 {
				if vm, ok := c.Pick(cell.Request{Service: service, Each: each}); ok {
					_ = c.Commit(vm, each)
					committed = append(committed, vm)
				}
			}
			b.Run(fmt.Sprintf("%s/upstreams=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				next := 0
				for b.Loop() {
					c.Release(committed[next], each)
					vm, _ := c.Pick(cell.Request{Service: service, Each: each})
					_ = c.Commit(vm, each)
					committed[next] = vm
					next = (next + 7919) % len(committed)
				}
			})
		}
	}
}
