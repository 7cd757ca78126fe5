package config

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
)

func testKey(id string) Key {
	hash := sha256.Sum256([]byte("secret"))
	return Key{ID: id, Team: "a", Role: RoleCaller, Secret: hash[:]}
}

// foldAll folds records at the offsets 0, 1, 2, and so on.
func foldAll(records ...Record) (*Fold, []Result) {
	f := NewFold()
	results := make([]Result, 0, len(records))
	for i, r := range records {
		if r.ID == "" {
			r.ID = fmt.Sprintf("id%d", i)
		}
		results = append(results, f.Apply(int64(i), r))
	}
	return f, results
}

func TestApply(t *testing.T) {
	put := func(base int64) Record { return Record{Base: base, Body: PutContract{Contract: modelContract(10)}} }
	grant := func(base int64) Record { return Record{Base: base, Body: GrantKey{Key: testKey("k")}} }
	withdraw := Record{Base: AnyVersion, Body: WithdrawKey{Key: "k"}}
	register := func(id state.EntryID, base int64) Record {
		return Record{Base: base, Body: RegisterEntry{Entry: id, Domain: "d"}}
	}
	withID := func(id string, r Record) Record { r.ID = id; return r }
	tests := []struct {
		name    string
		records []Record
		want    Result
	}{
		{name: "first put", records: []Record{put(NoVersion)}, want: accepted()},
		{name: "put with the current version as base", records: []Record{put(NoVersion), put(0)}, want: accepted()},
		{name: "put with an older version as base", records: []Record{put(NoVersion), put(0), put(0)}, want: Result{Outcome: Conflict, Current: 1}},
		{name: "create of an existing object", records: []Record{put(NoVersion), put(NoVersion)}, want: Result{Outcome: Conflict}},
		{name: "update of a missing object", records: []Record{put(4)}, want: Result{Outcome: Conflict, Current: NoVersion}},
		{name: "repeated write", records: []Record{withID("x", put(NoVersion)), withID("x", put(NoVersion))}, want: Result{Outcome: Duplicate}},
		{
			name:    "repeat of a rejected write that would now be accepted",
			records: []Record{grant(NoVersion), withID("x", put(3)), put(NoVersion), withID("x", put(2))},
			want:    Result{Outcome: Duplicate},
		},
		{name: "unknown kind", records: []Record{put(NoVersion), {Body: nil}}, want: Result{Outcome: Skipped}},
		{name: "withdrawn key granted again", records: []Record{grant(NoVersion), withdraw, grant(AnyVersion)}, want: invalid("key.id", "the key was withdrawn; grant a key with a new ID")},
		{name: "key withdrawn twice", records: []Record{grant(NoVersion), withdraw, withdraw}, want: invalid("key", "no key of this ID is in force; list the keys")},
		{name: "contract without services", records: []Record{{Base: NoVersion, Body: PutContract{Contract: Contract{Team: "a"}}}}, want: invalid("services", "permit one service or more")},
		{name: "later incarnation replaces earlier one", records: []Record{register("v/1", NoVersion), register("v/2", 0)}, want: accepted()},
		{name: "delayed record of an earlier incarnation", records: []Record{register("v/2", NoVersion), register("v/1", NoVersion)}, want: Result{Outcome: Conflict}},
		{
			name:    "unregistered entry registers again",
			records: []Record{register("v/1", NoVersion), {Body: UnregisterEntry{Entry: "v/1"}}, register("v/1", NoVersion)},
			want:    invalid("entry", "the entry was unregistered; restart it to get a new incarnation"),
		},
		{
			name:    "confirm of a future version",
			records: []Record{register("v/1", NoVersion), {Body: Confirm{Entry: "v/1", Version: 1}}},
			want:    invalid("version", "confirm a version that was folded before the record was written"),
		},
		{
			name: "upstream of another domain",
			records: []Record{
				{Body: JoinUpstreams{Domain: "d", Upstreams: []Upstream{{ID: "u", Service: "s"}}}},
				{Body: JoinUpstreams{Domain: "e", Upstreams: []Upstream{{ID: "u", Service: "s"}}}},
			},
			want: invalid("upstreams.id", "the upstream belongs to another failure domain; drop it there first"),
		},
		{
			name: "older claim",
			records: []Record{
				{Body: ClaimShard{Shard: "d/0", Number: 2, Owner: "b/1"}},
				{Body: ClaimShard{Shard: "d/0", Number: 2, Owner: "a/1"}},
			},
			want: Result{Outcome: Conflict},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, results := foldAll(tt.records...)
			is.Equal(results[len(results)-1], tt.want)
			is.Equal(tt.want.Err() == nil, tt.want.Outcome == Accepted || tt.want.Outcome == Duplicate)
		})
	}
}

// TestRecordRules checks for each rule on single records that it prevents a
// fault, and that the fault occurs when the rule is disabled.
func TestRecordRules(t *testing.T) {
	put := func(base, limit int64) Record {
		return Record{ID: fmt.Sprint("put", limit), Base: base, Body: PutContract{Contract: modelContract(limit)}}
	}
	register := func(id state.EntryID) Record {
		return Record{ID: string(id), Base: NoVersion, Body: RegisterEntry{Entry: id, Domain: "d"}}
	}
	tests := []struct {
		name        string
		disableRule func(*Fold)
		records     []Record
		want        func(*View) bool
	}{
		{
			name:        "a repeated write does not restore a withdrawn contract",
			disableRule: func(f *Fold) { f.skipDeduplication = true },
			records:     []Record{put(NoVersion, 1), {ID: "w", Body: WithdrawContract{Team: "a"}}, put(NoVersion, 1)},
			want:        func(v *View) bool { return len(v.Contracts()) == 0 },
		},
		{
			name:        "of two concurrent writes with the same base the second is rejected",
			disableRule: func(f *Fold) { f.skipBase = true },
			records:     []Record{put(NoVersion, 1), put(0, 2), put(0, 3)},
			want:        func(v *View) bool { return v.Contracts()[0].Limit.Slots == 2 },
		},
		{
			name:        "a delayed registration does not replace a later incarnation",
			disableRule: func(f *Fold) { f.skipBase = true },
			records:     []Record{register("v/2"), register("v/1")},
			want:        func(v *View) bool { return v.Entries()[0].ID == "v/2" },
		},
		{
			name:        "an unregistered entry is not registered again",
			disableRule: func(f *Fold) { f.skipUnregistered = true },
			records:     []Record{register("v/1"), {ID: "u", Body: UnregisterEntry{Entry: "v/1"}}, {ID: "late", Base: NoVersion, Body: register("v/1").Body}},
			want:        func(v *View) bool { return len(v.Entries()) == 0 },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for _, disabled := range []bool{false, true} {
				f := NewFold()
				if disabled {
					tt.disableRule(f)
				}
				for i, record := range tt.records {
					f.Apply(int64(i), record)
				}
				is.Equal(tt.want(f.View()), !disabled)
			}
		})
	}
}

func TestAuthenticate(t *testing.T) {
	f, _ := foldAll(
		Record{Base: NoVersion, Body: GrantKey{Key: testKey("k")}},
		Record{Base: NoVersion, Body: GrantKey{Key: testKey("gone")}},
		Record{Base: 1, Body: WithdrawKey{Key: "gone"}},
	)
	tests := []struct {
		name, id, secret string
		reason           AuthReason
	}{
		{name: "correct secret", id: "k", secret: "secret"},
		{name: "wrong secret", id: "k", secret: "Secret", reason: AuthSecret},
		{name: "unknown key", id: "nobody", secret: "secret", reason: AuthUnknown},
		{name: "withdrawn key", id: "gone", secret: "secret", reason: AuthWithdrawn},
		{name: "withdrawn key with an empty secret", id: "gone", secret: "", reason: AuthWithdrawn},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			key, err := f.View().Authenticate(tt.id, tt.secret)
			var refused *AuthError
			if tt.reason == "" {
				is.NoErr(err)
				is.Equal(key.Team, state.TeamID("a"))
				return
			}
			is.True(errors.As(err, &refused))
			is.Equal(refused.Reason, tt.reason)
		})
	}
}

func slots(v *View, domains ...state.DomainID) []int64 {
	out := make([]int64, 0, len(domains))
	for _, d := range domains {
		out = append(out, v.Allotment("a", d).Slots)
	}
	return out
}

// TestAllotments checks one team's allotments in two domains with one entry each:
// a domain's increase must wait until the other domain's reduction is confirmed
// by its entry and settled by its owner.
func TestAllotments(t *testing.T) {
	put := func(limit int64) Body { return PutContract{Contract: modelContract(limit)} }
	confirm := func(domain string, version int64, settled bool) Body {
		return Confirm{Entry: state.EntryID(domain + "/1"), Version: version, Settled: settled}
	}
	setup := []Body{
		0: PutDomains{Domains: []Domain{{ID: "x", Weight: 2}, {ID: "y", Weight: 1}}},
		1: RegisterEntry{Entry: "x/1", Domain: "x"},
		2: RegisterEntry{Entry: "y/1", Domain: "y"},
		3: JoinUpstreams{Domain: "x", Upstreams: []Upstream{{ID: "u", Service: "s"}}},
		4: JoinUpstreams{Domain: "y", Upstreams: []Upstream{{ID: "v", Service: "s"}}},
		5: put(10),
	}
	move := MoveAllotment{Team: "a", From: "x", To: "y", Amount: state.Vector{Slots: 2}}
	tests := []struct {
		name    string
		changes []Body
		want    []int64
		pending int64
	}{
		{name: "split by weight", want: []int64{7, 3}},
		{name: "limit increased", changes: []Body{put(13)}, want: []int64{9, 4}},
		{name: "limit reduced", changes: []Body{put(5)}, want: []int64{4, 1}, pending: 5},
		{name: "limit reduced and increased again", changes: []Body{put(5), put(10)}, want: []int64{4, 1}, pending: 5},
		{name: "move not confirmed", changes: []Body{move}, want: []int64{5, 3}, pending: 2},
		{name: "move confirmed by the wrong domain", changes: []Body{move, confirm("y", 6, true), confirm("y", 7, true)}, want: []int64{5, 3}, pending: 2},
		{name: "move confirmed but not settled", changes: []Body{move, confirm("x", 6, true)}, want: []int64{5, 3}, pending: 2},
		{name: "move settled before the confirmation was folded", changes: []Body{move, confirm("x", 6, true), confirm("x", 6, true)}, want: []int64{5, 3}, pending: 2},
		{name: "move confirmed and settled", changes: []Body{move, confirm("x", 6, false), confirm("x", 7, true)}, want: []int64{5, 5}},
		{name: "source entry unregistered, no new owner", changes: []Body{move, UnregisterEntry{Entry: "x/1"}}, want: []int64{5, 3}, pending: 2},
		{
			name:    "source entry unregistered, new owner settled",
			changes: []Body{move, UnregisterEntry{Entry: "x/1"}, RegisterEntry{Entry: "x2/1", Domain: "x"}, Confirm{Entry: "x2/1", Version: 8, Settled: true}},
			want:    []int64{5, 5},
		},
		{name: "source domain has no upstreams", changes: []Body{DropUpstreams{Domain: "x", Upstreams: []state.VMID{"u"}}, move, confirm("x", 7, false)}, want: []int64{5, 5}},
		{name: "weights changed", changes: []Body{PutDomains{Domains: []Domain{{ID: "x", Weight: 1}, {ID: "y", Weight: 4}}}}, want: []int64{2, 3}, pending: 5},
		{name: "order of the domains changed", changes: []Body{PutDomains{Domains: []Domain{{ID: "y", Weight: 1}, {ID: "x", Weight: 2}}}}, want: []int64{7, 3}},
		{name: "contract withdrawn", changes: []Body{WithdrawContract{Team: "a"}}, want: []int64{0, 0}, pending: 10},
		{name: "contract withdrawn and created again", changes: []Body{WithdrawContract{Team: "a"}, put(12)}, want: []int64{2, 0}, pending: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var records []Record
			for _, body := range append(append([]Body{}, setup...), tt.changes...) {
				base := AnyVersion
				if body.Kind() == KindRegisterEntry {
					base = NoVersion
				}
				records = append(records, Record{Base: base, Body: body})
			}
			f, results := foldAll(records...)
			for _, result := range results {
				is.NoErr(result.Err())
			}
			is.Equal(slots(f.View(), "x", "y"), tt.want)
			is.Equal(f.View().PendingReduction("a").Slots, tt.pending)
		})
	}
}

func TestViewsDoNotChange(t *testing.T) {
	is := is.New(t)
	f, _ := foldAll(
		Record{Base: NoVersion, Body: PutContract{Contract: modelContract(10)}},
		Record{Body: JoinUpstreams{Domain: "d", Upstreams: []Upstream{{ID: "u", Service: "s"}}}},
	)
	before := f.View()
	is.Equal(before, f.View()) // same view as long as nothing changes
	f.Apply(2, Record{ID: "x", Base: AnyVersion, Body: WithdrawContract{Team: "a"}})
	f.Apply(3, Record{ID: "y", Body: DrainUpstream{Domain: "d", Upstream: "u"}})
	_, ok := before.Contract("a")
	is.True(ok)
	is.True(!before.Upstreams("d")[0].Draining)
	is.True(f.View().Upstreams("d")[0].Draining)
	is.Equal(before.Version(), int64(1))
}

func TestRecentWritesAreBounded(t *testing.T) {
	is := is.New(t)
	f := NewFold()
	for i := range int64(3 * recentLimit) {
		f.Apply(i, Record{ID: fmt.Sprint(i), Base: AnyVersion, Body: ClaimShard{Shard: "d/0", Number: uint64(i), Owner: "e"}})
	}
	_, _, ok := f.LookupWrite("0")
	is.True(!ok)
	_, offset, ok := f.LookupWrite(fmt.Sprint(2 * recentLimit))
	is.True(ok)
	is.Equal(offset, int64(2*recentLimit))
	is.Equal(len(f.View().writes), recentLimit)
	is.Equal(len(f.writes.index), recentLimit)
}

func TestSnapshotParts(t *testing.T) {
	is := is.New(t)
	data := make([]byte, 2*PartBytes+1)
	parts := SplitSnapshot("s", 9, data)
	is.Equal(len(parts), 3)
	var a Assembler
	for _, i := range []int{2, 2, 0, 1} { // out of order, with a duplicate
		encodedPart, err := Encode([]Record{{ID: "id", Body: parts[i]}})
		is.NoErr(err)
		is.True(len(encodedPart) <= 1<<20)
		assembled, asOf, complete := a.Add(parts[i])
		is.Equal(complete, i == 1)
		if complete {
			is.Equal(len(assembled), len(data))
			is.Equal(asOf, int64(9))
		}
	}
	_, err := Restore(data)
	is.True(errors.Is(err, ErrBadSnapshot))
}

func FuzzDecode(f *testing.F) {
	for _, record := range []Record{
		{ID: "1", Base: NoVersion, Body: PutContract{Contract: modelContract(10)}},
		{ID: "2", Base: NoVersion, Body: GrantKey{Key: testKey("k")}},
		{ID: "3", Body: JoinUpstreams{Domain: "d", Upstreams: []Upstream{{ID: "u", Service: "s"}}}},
		{ID: "4", Base: AnyVersion, Body: MoveAllotment{Team: "a", From: "d", To: "e", Amount: state.Vector{Slots: 1}}},
		{ID: "5", Body: Snapshot{Set: "s", Parts: 1, Data: []byte("x")}},
	} {
		data, err := Encode([]Record{record, record})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"v":1,"records":[{"kind":"put_contract","body":null},{"kind":"new","body":{}}]}`))
	f.Add([]byte(`{"v":2,"records":[{"kind":"put_contract","body":7}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := Decode(data)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("Decode returned an error other than ErrMalformed: %v", err)
			}
			return
		}
		fold := NewFold()
		fold.Apply(0, Record{ID: "0", Base: NoVersion, Body: PutDomains{Domains: []Domain{{ID: "d", Weight: 3}, {ID: "e", Weight: 1}}}})
		for i, record := range records {
			fold.Apply(int64(i+1), record)
		}
		snapshot, err := fold.View().EncodeSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
