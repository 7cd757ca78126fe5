package platformclient

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/admin"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/logservice"
	"github.com/samphirerail/samphirerail/standin/vmlist"
)

func loopback() []netip.Prefix { return []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")} }

// vmListHarness is a complete platform stand-in with a client of its VM list.
type vmListHarness struct {
	is       *is.I
	ctx      context.Context
	platform *standin.Platform
	server   *standin.Server
	admin    *admin.Client
	client   *VMList
}

func newVMListHarness(t *testing.T) *vmListHarness {
	t.Helper()
	p := standin.NewPlatform(logservice.New(logservice.Config{}), vmlist.New())
	server := serve(t, p)
	client := NewVMList([]string{server.Address()}, Options{})
	t.Cleanup(client.Close)
	return &vmListHarness{
		is: is.New(t), ctx: t.Context(), platform: p, server: server,
		admin: admin.New(server.Address()), client: client,
	}
}

// setFaults replaces the injected faults of the VM list through the admin API, as
// another process does.
func (r *vmListHarness) setFaults(f vmlist.Faults) {
	r.is.Helper()
	r.is.NoErr(r.admin.SetFaults(r.ctx, standin.Faults{VMs: f}))
}

func (r *vmListHarness) put(id string, state devplatform.VMState) {
	r.is.Helper()
	r.is.NoErr(r.admin.PutVM(r.ctx, devplatform.VM{
		ID: id, Incarnation: "i", Role: devplatform.RoleUpstream, State: state, Address: "127.0.0.1:1",
	}))
}

func TestVMListContract(t *testing.T) {
	tests := []struct {
		name  string
		check func(r *vmListHarness)
	}{
		{name: "an empty list has version 0", check: func(r *vmListHarness) {
			list, err := r.client.List(r.ctx, devplatform.ListRequest{})
			r.is.NoErr(err)
			r.is.Equal(list.Version, int64(0))
			r.is.Equal(len(list.VMs), 0)
		}},
		{name: "rows are listed, replaced and removed, and each change increments the version", check: func(r *vmListHarness) {
			r.put("b/1", devplatform.VMLive)
			r.put("a", devplatform.VMLive)
			r.put("a", devplatform.VMLeaving)
			list, err := r.client.List(r.ctx, devplatform.ListRequest{})
			r.is.NoErr(err)
			r.is.Equal(list.Version, int64(3))
			r.is.Equal(len(list.VMs), 2)
			r.is.Equal(list.VMs[0].State, devplatform.VMLeaving)
			r.is.NoErr(r.admin.RemoveVM(r.ctx, "b/1"))
			list, err = r.client.List(r.ctx, devplatform.ListRequest{})
			r.is.NoErr(err)
			r.is.Equal(list.Version, int64(4))
			r.is.Equal(len(list.VMs), 1)
		}},
		{name: "changes since a version are the rows that changed and the IDs removed after it", check: func(r *vmListHarness) {
			r.put("a", devplatform.VMLive)
			r.put("b", devplatform.VMLive)
			r.put("b", devplatform.VMLeaving)
			r.is.NoErr(r.admin.RemoveVM(r.ctx, "a"))
			list, err := r.client.List(r.ctx, devplatform.ListRequest{SinceVersion: 2})
			r.is.NoErr(err)
			r.is.Equal(list.Version, int64(4))
			r.is.Equal(list.SinceVersion, int64(2))
			r.is.Equal(len(list.VMs), 1)
			r.is.Equal(list.VMs[0].State, devplatform.VMLeaving)
			r.is.Equal(list.Removed, []string{"a"})
			list, err = r.client.List(r.ctx, devplatform.ListRequest{SinceVersion: 4})
			r.is.NoErr(err)
			r.is.Equal(list.SinceVersion, int64(4))
			r.is.Equal(len(list.VMs)+len(list.Removed), 0)
		}},
		{name: "changes since an unknown version are the whole list", check: func(r *vmListHarness) {
			r.put("a", devplatform.VMLive)
			list, err := r.client.List(r.ctx, devplatform.ListRequest{SinceVersion: 7})
			r.is.NoErr(err)
			r.is.Equal(list.SinceVersion, int64(0))
			r.is.Equal(len(list.VMs), 1)
		}},
		{name: "a list for a domain omits the upstreams of other domains but not their entries", check: func(r *vmListHarness) {
			for _, vm := range []devplatform.VM{
				{ID: "u1", Role: devplatform.RoleUpstream, Domain: "north"},
				{ID: "u2", Role: devplatform.RoleUpstream, Domain: "south"},
				{ID: "e2", Role: devplatform.RoleEntry, Domain: "south"},
			} {
				vm.Incarnation, vm.State, vm.Address = "i", devplatform.VMLive, "127.0.0.1:1"
				r.is.NoErr(r.admin.PutVM(r.ctx, vm))
			}
			list, err := r.client.List(r.ctx, devplatform.ListRequest{Domain: "north"})
			r.is.NoErr(err)
			r.is.Equal(len(list.VMs), 2)
			r.is.Equal(list.VMs[0].ID, "e2")
			r.is.Equal(list.VMs[1].ID, "u1")
		}},
		{name: "a row without required fields is invalid and changes nothing", check: func(r *vmListHarness) {
			r.is.True(r.admin.PutVM(r.ctx, devplatform.VM{ID: "a"}) != nil)
			list, err := r.client.List(r.ctx, devplatform.ListRequest{})
			r.is.NoErr(err)
			r.is.Equal(list.Version, int64(0))
		}},
		{name: "a lagging list omits changes within its lag", check: func(r *vmListHarness) {
			r.setFaults(vmlist.Faults{LagMilliseconds: time.Minute.Milliseconds()})
			r.put("a", devplatform.VMLive)
			list, err := r.client.List(r.ctx, devplatform.ListRequest{})
			r.is.NoErr(err)
			r.is.Equal(len(list.VMs), 0)
			r.setFaults(vmlist.Faults{})
			list, err = r.client.List(r.ctx, devplatform.ListRequest{})
			r.is.NoErr(err)
			r.is.Equal(len(list.VMs), 1)
		}},
		{name: "a list that is down is unavailable, and its rows can still change", check: func(r *vmListHarness) {
			for _, down := range []faults.DownMode{faults.Refuse, faults.Drop} {
				r.setFaults(vmlist.Faults{Switches: faults.Switches{Down: down}})
				_, err := r.client.List(r.ctx, devplatform.ListRequest{})
				r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			}
			r.put("a", devplatform.VMLive)
			r.setFaults(vmlist.Faults{})
			list, err := r.client.List(r.ctx, devplatform.ListRequest{})
			r.is.NoErr(err)
			r.is.Equal(len(list.VMs), 1)
		}},
		{name: "a call to a stopped server is not sent", check: func(r *vmListHarness) {
			r.server.Kill()
			_, err := r.client.List(r.ctx, devplatform.ListRequest{})
			r.is.True(errors.Is(err, devplatform.ErrNotSent))
		}},
		{name: "a truncated list is an error, not a partial result", check: func(r *vmListHarness) {
			r.put("a", devplatform.VMLive)
			r.setFaults(vmlist.Faults{Switches: faults.Switches{TruncateNext: 1}})
			list, err := r.client.List(r.ctx, devplatform.ListRequest{})
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			r.is.Equal(len(list.VMs), 0)
		}},
		{name: "faults are read back, and unknown or invalid ones are refused", check: func(r *vmListHarness) {
			want := standin.Faults{VMs: vmlist.Faults{
				Switches: faults.Switches{Partitioned: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}, LagMilliseconds: 250,
			}}
			r.is.NoErr(r.admin.SetFaults(r.ctx, want))
			r.is.True(r.admin.SetFaults(r.ctx, map[string]int{"lagg": 1}) != nil)
			r.is.True(r.admin.SetFaults(r.ctx, standin.Faults{VMs: vmlist.Faults{LagMilliseconds: -1}}) != nil)
			var got standin.Faults
			r.is.NoErr(r.admin.Faults(r.ctx, &got))
			r.is.Equal(got, want)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.check(newVMListHarness(t)) })
	}
}
