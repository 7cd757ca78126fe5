package crashes

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func TestAssess(t *testing.T) {
	cases := []struct {
		name     string
		present  []Presence
		evidence Evidence
		want     []Involvement
	}{
		{
			name: "the job that has just begun is blamed", present: []Presence{{"a", 900 * ms, true}, {"b", 10 * ms, true}},
			want: []Involvement{{Certain: true, Age: 900 * ms}, {Certain: true, Blame: 100, Age: 10 * ms}},
		},
		{
			name: "two have just begun", present: []Presence{{"a", 10 * ms, true}, {"b", 20 * ms, false}},
			want: []Involvement{{Certain: true, Blame: 50, Age: 10 * ms}, {Blame: 50, Age: 20 * ms}},
		},
		{
			name: "none has just begun", present: []Presence{{"a", 2000 * ms, true}, {"b", 900 * ms, true}, {"c", 900 * ms, true}},
			want: []Involvement{{Certain: true, Blame: 33, Age: 2000 * ms}, {Certain: true, Blame: 33, Age: 900 * ms}, {Certain: true, Blame: 33, Age: 900 * ms}},
		},
		{
			name: "runs of one job", present: []Presence{{"a", 10 * ms, true}, {"a", 900 * ms, true}},
			want: []Involvement{{Certain: true, Blame: 100, Alone: true, Age: 10 * ms}, {Certain: true, Blame: 100, Alone: true, Age: 900 * ms}},
		},
		{
			name: "lost with others", present: []Presence{{"a", 10 * ms, true}, {"b", 900 * ms, true}, {"c", -1, false}}, evidence: Shared,
			want: []Involvement{{Age: 10 * ms}, {Shared: true, Age: 900 * ms}, {Shared: true, Age: -1}},
		},
		{
			name: "only one job, just begun, lost with other upstreams", present: []Presence{{"a", 10 * ms, true}, {"a", 900 * ms, true}}, evidence: Shared,
			want: []Involvement{{Alone: true, Age: 10 * ms}, {Shared: true, Age: 900 * ms}},
		},
		{
			name: "gone", present: []Presence{{"a", 10 * ms, true}}, evidence: Presumed,
			want: []Involvement{{Alone: true, Age: 10 * ms}},
		},
		{
			name: "gone, long after the start", present: []Presence{{"a", 900 * ms, true}}, evidence: Presumed,
			want: []Involvement{{Shared: true, Age: 900 * ms}},
		},
		{
			name: "start not answered, lost with others", present: []Presence{{"a", 10 * ms, false}}, evidence: Shared,
			want: []Involvement{{Shared: true, Age: 10 * ms}},
		},
		{
			name: "start not answered, much earlier", present: []Presence{{"a", 1900 * ms, false}},
			want: []Involvement{{Shared: true, Age: 1900 * ms}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Assess(c.present, c.evidence), c.want) })
	}
}

func TestVerdict(t *testing.T) {
	certain := Involvement{Certain: true, Blame: 20}
	blamed := Involvement{Certain: true, Blame: 100}
	alone := Involvement{Certain: true, Blame: 100, Alone: true}
	uncertain := Involvement{}
	uncertainAlone := Involvement{Alone: true}
	shared := Involvement{Shared: true}
	cases := []struct {
		name    string
		crashes []Involvement
		want    Verdict
	}{
		{name: "none", want: Free},
		{name: "beside others", crashes: []Involvement{certain}, want: Free},
		{name: "beside others, with most of the blame", crashes: []Involvement{blamed}, want: Isolate},
		{name: "alone, once", crashes: []Involvement{alone}, want: Isolate},
		{name: "twice beside others", crashes: []Involvement{certain, certain}, want: Isolate},
		{name: "blamed twice beside others", crashes: []Involvement{blamed, blamed}, want: Isolate},
		{name: "beside others, then alone", crashes: []Involvement{certain, alone}, want: GiveUp},
		{name: "alone, then beside others", crashes: []Involvement{alone, certain}, want: Isolate},
		{name: "one certain, one not, alone", crashes: []Involvement{certain, uncertainAlone}, want: Isolate},
		{name: "never certain, alone at last", crashes: []Involvement{uncertain, uncertain, uncertain, uncertainAlone}, want: GiveUp},
		{name: "four with causes of their own", crashes: []Involvement{uncertain, uncertain, uncertain, uncertain}, want: Isolate},
		{name: "shared cause, once", crashes: []Involvement{shared}, want: Free},
		{name: "shared cause, many times", crashes: []Involvement{shared, shared, shared, shared, shared, shared}, want: Isolate},
		{name: "three times most of the blame", crashes: []Involvement{blamed, blamed, blamed}, want: GiveUp},
		{name: "three times some of the blame", crashes: []Involvement{certain, certain, certain}, want: Isolate},
		{name: "five, some with a shared cause", crashes: []Involvement{shared, certain, shared, shared, certain}, want: GiveUp},
		{name: "shared cause, once alone", crashes: []Involvement{shared, shared, shared, shared, alone}, want: Isolate},
		{name: "alone, then with a shared cause", crashes: []Involvement{alone, shared, shared, shared, shared}, want: Isolate},
		{name: "two power losses right after the start", crashes: []Involvement{uncertainAlone, uncertainAlone}, want: Isolate},
		{name: "five starts without an answer", crashes: []Involvement{uncertain, uncertain, uncertain, uncertain, uncertain}, want: GiveUp},
		{name: "five", crashes: []Involvement{uncertain, uncertain, certain, certain, certain}, want: GiveUp},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Record
			for _, i := range c.crashes {
				r.Add(i)
			}
			is.New(t).Equal(r.Verdict(), c.want)
		})
	}
}

// A new owner does not know the age of runs that it takes over.
func TestTaskIsGivenUpByItsFifthCrashAmongManyOthers(t *testing.T) {
	beside := []Presence{{"a", 12 * ms, true}, {"b", 20 * ms, true}, {"c", 400 * ms, true}}
	takenOver := []Presence{{"a", -1, false}}
	alone := []Presence{{"a", 14 * ms, true}}
	for name, crashes := range map[string][][]Presence{
		"one takeover":  {beside, beside, takenOver, alone, alone},
		"two takeovers": {beside, takenOver, takenOver, alone, alone},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r Record
			for _, present := range crashes {
				is.True(r.Verdict() != GiveUp)
				r.Add(Assess(present, Shared)[0])
			}
			is.Equal(r.Verdict(), GiveUp)
		})
	}
}

func TestSharedOutages(t *testing.T) {
	type loss struct {
		upstream, rack string
		at             time.Duration
	}
	cases := []struct {
		name   string
		others []loss
		want   bool
	}{
		{name: "alone"},
		{name: "one of another rack", others: []loss{{"b", "r2", 1000 * ms}}},
		{name: "one of the rack", others: []loss{{"b", "r1", 1050 * ms}}, want: true},
		{name: "one of the rack, much earlier", others: []loss{{"b", "r1", 700 * ms}}},
		{name: "two of other racks", others: []loss{{"b", "r2", 990 * ms}, {"c", "r3", 1020 * ms}}, want: true},
		{name: "the same one again", others: []loss{{"a", "r1", 1010 * ms}, {"a", "r1", 1020 * ms}}},
		{name: "unknown racks", others: []loss{{"b", "", 1000 * ms}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var o Outages
			for _, l := range c.others {
				o.Note(l.upstream, Place{"s", l.rack}, l.at)
			}
			o.Note("elsewhere", Place{"other", "r1"}, 1000*ms)
			rack := "r1"
			if c.name == "unknown racks" {
				rack = ""
			}
			is.New(t).Equal(o.Shared("a", Place{"s", rack}, 1000*ms), c.want)
		})
	}
}

func TestTimesFollowTheAgeAtTheCrash(t *testing.T) {
	cases := []struct {
		name           string
		age            time.Duration
		trial, cleared time.Duration
	}{
		{"at the start", 10 * ms, time.Second, 30 * time.Second},
		{"after seconds", 4 * time.Second, 8 * time.Second, 30 * time.Second},
		{"after minutes", 5 * time.Minute, 10 * time.Second, 10 * time.Minute},
		{"after days", 72 * time.Hour, 10 * time.Second, time.Hour},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := Record{Certain: 1, Age: c.age}
			is.Equal(r.TrialTime(), c.trial)
			is.Equal(r.ClearedAfter(), c.cleared)
		})
	}
}
