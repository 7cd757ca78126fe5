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

// foldAll folds records at offsets 0, 1, 2, ….
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
	same := func(id string, r Record) Record { r.ID = id; return r }
	tests := []struct {
		name    string
		records []Record
		last    Result
	}{
		{name: "first put", records: []Record{put(NoVersion)}, last: accepted()},
		{name: "put on the present version", records: []Record{put(NoVersion), put(0)}, last: accepted()},
		{name: "put on an older version", records: []Record{put(NoVersion), put(0), put(0)}, last: Result{Outcome: Conflict, Current: 1}},
		{name: "put on nothing where there is one", records: []Record{put(NoVersion), put(NoVersion)}, last: Result{Outcome: Conflict}},
		{name: "put on a version where there is none", records: []Record{put(4)}, last: Result{Outcome: Conflict, Current: NoVersion}},
		{name: "same write twice", records: []Record{same("x", put(NoVersion)), same("x", put(NoVersion))}, last: Result{Outcome: Duplicate}},
		{
			name:    "rejected write again when it would be accepted",
			records: []Record{grant(NoVersion), same("x", put(3)), put(NoVersion), same("x", put(2))},
			last:    Result{Outcome: Duplicate},
		},
		{name: "unknown kind", records: []Record{put(NoVersion), {Body: nil}}, last: Result{Outcome: Skipped}},
		{name: "withdrawn key granted again", records: []Record{grant(NoVersion), withdraw, grant(AnyVersion)}, last: invalid("key.id", "the key was withdrawn; grant a key with a new ID")},
		{name: "key withdrawn twice", records: []Record{grant(NoVersion), withdraw, withdraw}, last: invalid("key", "no key of this ID is in force; list the keys")},
		{name: "contract without services", records: []Record{{Base: NoVersion, Body: PutContract{Contract: Contract{Team: "a"}}}}, last: invalid("services", "permit one service or more")},
		{name: "later incarnation", records: []Record{register("v/1", NoVersion), register("v/2", 0)}, last: accepted()},
		{name: "delayed earlier incarnation", records: []Record{register("v/2", NoVersion), register("v/1", NoVersion)}, last: Result{Outcome: Conflict}},
		{
			name:    "ended entry registers again",
			records: []Record{register("v/1", NoVersion), {Body: UnregisterEntry{Entry: "v/1"}}, register("v/1", NoVersion)},
			last:    invalid("entry", "the entry was unregistered; restart it to get a new incarnation"),
		},
		{
			name:    "confirm of a version to come",
			records: []Record{register("v/1", NoVersion), {Body: Confirm{Entry: "v/1", Version: 1}}},
			last:    invalid("version", "confirm a version that was folded before the record was written"),
		},
		{
			name: "upstream in two domains",
			records: []Record{
				{Body: JoinUpstreams{Domain: "d", Upstreams: []Upstream{{ID: "u", Service: "s"}}}},
				{Body: JoinUpstreams{Domain: "e", Upstreams: []Upstream{{ID: "u", Service: "s"}}}},
			},
			last: invalid("upstreams.id", "the upstream belongs to another failure domain; drop it there first"),
		},
		{
			name: "older claim",
			records: []Record{
				{Body: ClaimShard{Shard: "d/0", Number: 2, Owner: "b/1"}},
				{Body: ClaimShard{Shard: "d/0", Number: 2, Owner: "a/1"}},
			},
			last: Result{Outcome: Conflict},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, results := foldAll(tt.records...)
			is.Equal(results[len(results)-1], tt.last)
			is.Equal(tt.last.Err() == nil, tt.last.Outcome == Accepted || tt.last.Outcome == Duplicate)
		})
	}
}

// TestRecordRules shows for each rule on single records what it prevents, and
// that it is not prevented with the rule switched off.
func TestRecordRules(t *testing.T) {
	put := func(base, limit int64) Record {
		return Record{ID: fmt.Sprint("put", limit), Base: base, Body: PutContract{Contract: modelContract(limit)}}
	}
	register := func(id state.EntryID) Record {
		return Record{ID: string(id), Base: NoVersion, Body: RegisterEntry{Entry: id, Domain: "d"}}
	}
	tests := []struct {
		name      string
		switchOff func(*Fold)
		records   []Record
		holds     func(*View) bool
	}{
		{
			name:      "a repeated write does not bring a withdrawn contract back",
			switchOff: func(f *Fold) { f.skipRepeats = true },
			records:   []Record{put(NoVersion, 1), {ID: "w", Body: WithdrawContract{Team: "a"}}, put(NoVersion, 1)},
			holds:     func(v *View) bool { return len(v.Contracts()) == 0 },
		},
		{
			name:      "of two operators on one version the second does not overwrite the first",
			switchOff: func(f *Fold) { f.skipBase = true },
			records:   []Record{put(NoVersion, 1), put(0, 2), put(0, 3)},
			holds:     func(v *View) bool { return v.Contracts()[0].Limit.Slots == 2 },
		},
		{
			name:      "a delayed registration does not replace a later incarnation",
			switchOff: func(f *Fold) { f.skipBase = true },
			records:   []Record{register("v/2"), register("v/1")},
			holds:     func(v *View) bool { return v.Entries()[0].ID == "v/2" },
		},
		{
			name:      "an ended entry is not registered again",
			switchOff: func(f *Fold) { f.skipEnded = true },
			records:   []Record{register("v/1"), {ID: "u", Body: UnregisterEntry{Entry: "v/1"}}, {ID: "late", Base: NoVersion, Body: register("v/1").Body}},
			holds:     func(v *View) bool { return len(v.Entries()) == 0 },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for _, off := range []bool{false, true} {
				f := NewFold()
				if off {
					tt.switchOff(f)
				}
				for i, record := range tt.records {
					f.Apply(int64(i), record)
				}
				is.Equal(tt.holds(f.View()), !off)
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
		{name: "right", id: "k", secret: "secret"},
		{name: "wrong secret", id: "k", secret: "Secret", reason: AuthSecret},
		{name: "unknown", id: "nobody", secret: "secret", reason: AuthUnknown},
		{name: "withdrawn", id: "gone", secret: "secret", reason: AuthWithdrawn},
		{name: "withdrawn has no secret", id: "gone", secret: "", reason: AuthWithdrawn},
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

// TestAllotments follows one team through two domains with one entry each.
func TestAllotments(t *testing.T) {
	put := func(limit int64) Body { return PutContract{Contract: modelContract(limit)} }
	confirm := func(domain string, version int64, settled bool) Body {
		return Confirm{Entry: state.EntryID(domain + "/1"), Version: version, Settled: settled}
	}
	start := []Body{
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
		then    []Body
		want    []int64
		transit int64
	}{
		{name: "split by weight", want: []int64{7, 3}},
		{name: "raised at once", then: []Body{put(13)}, want: []int64{9, 4}},
		{name: "lowered at once", then: []Body{put(5)}, want: []int64{4, 1}, transit: 5},
		{name: "lowered and raised", then: []Body{put(5), put(10)}, want: []int64{4, 1}, transit: 5},
		{name: "move before it is confirmed", then: []Body{move}, want: []int64{5, 3}, transit: 2},
		{name: "move confirmed by the wrong domain", then: []Body{move, confirm("y", 6, true), confirm("y", 7, true)}, want: []int64{5, 3}, transit: 2},
		{name: "move folded but not settled", then: []Body{move, confirm("x", 6, true)}, want: []int64{5, 3}, transit: 2},
		{name: "move folded and settled before", then: []Body{move, confirm("x", 6, true), confirm("x", 6, true)}, want: []int64{5, 3}, transit: 2},
		{name: "move folded and settled", then: []Body{move, confirm("x", 6, false), confirm("x", 7, true)}, want: []int64{5, 5}},
		{name: "donor ended, no owner yet", then: []Body{move, UnregisterEntry{Entry: "x/1"}}, want: []int64{5, 3}, transit: 2},
		{
			name: "donor ended, the next owner settled",
			then: []Body{move, UnregisterEntry{Entry: "x/1"}, RegisterEntry{Entry: "x2/1", Domain: "x"}, Confirm{Entry: "x2/1", Version: 8, Settled: true}},
			want: []int64{5, 5},
		},
		{name: "donor has no upstreams", then: []Body{DropUpstreams{Domain: "x", Upstreams: []state.VMID{"u"}}, move, confirm("x", 7, false)}, want: []int64{5, 5}},
		{name: "weights changed", then: []Body{PutDomains{Domains: []Domain{{ID: "x", Weight: 1}, {ID: "y", Weight: 4}}}}, want: []int64{2, 3}, transit: 5},
		{name: "order changed", then: []Body{PutDomains{Domains: []Domain{{ID: "y", Weight: 1}, {ID: "x", Weight: 2}}}}, want: []int64{7, 3}},
		{name: "withdrawn", then: []Body{WithdrawContract{Team: "a"}}, want: []int64{0, 0}, transit: 10},
		{name: "withdrawn and put again", then: []Body{WithdrawContract{Team: "a"}, put(12)}, want: []int64{2, 0}, transit: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var records []Record
			for _, body := range append(append([]Body{}, start...), tt.then...) {
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
			is.Equal(f.View().InTransit("a").Slots, tt.transit)
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
	is.Equal(before, f.View()) // unchanged, so the same
	f.Apply(2, Record{ID: "x", Base: AnyVersion, Body: WithdrawContract{Team: "a"}})
	f.Apply(3, Record{ID: "y", Body: DrainUpstream{Domain: "d", Upstream: "u"}})
	_, ok := before.Contract("a")
	is.True(ok)
	is.True(!before.Upstreams("d")[0].Draining)
	is.True(f.View().Upstreams("d")[0].Draining)
	is.Equal(before.Version(), int64(1))
}

func TestRememberedWritesAreBounded(t *testing.T) {
	is := is.New(t)
	f := NewFold()
	for i := range int64(3 * recentLimit) {
		f.Apply(i, Record{ID: fmt.Sprint(i), Base: AnyVersion, Body: ClaimShard{Shard: "d/0", Number: uint64(i), Owner: "e"}})
	}
	_, _, ok := f.Written("0")
	is.True(!ok)
	_, offset, ok := f.Written(fmt.Sprint(2 * recentLimit))
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
	for _, i := range []int{2, 2, 0, 1} { // out of order and doubled
		encodedPart, err := Encode([]Record{{ID: "id", Body: parts[i]}})
		is.NoErr(err)
		is.True(len(encodedPart) <= 1<<20)
		whole, asOf, complete := a.Add(parts[i])
		is.Equal(complete, i == 1)
		if complete {
			is.Equal(len(whole), len(data))
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
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		fold := NewFold()
		fold.Apply(0, Record{ID: "0", Base: NoVersion, Body: PutDomains{Domains: []Domain{{ID: "d", Weight: 3}, {ID: "e", Weight: 1}}}})
		for i, record := range records {
			fold.Apply(int64(i+1), record)
		}
		image, err := fold.View().EncodeSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(image); err != nil {
			t.Fatal(err)
		}
	})
}
