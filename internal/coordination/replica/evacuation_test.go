package replica

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

// evacuationDecoder takes every key but "config" and "bad" as a domain.
type evacuationDecoder struct{ configDecoder }

func (evacuationDecoder) Evacuation(r ledger.Record) (request evacuation.Request, ok bool, err error) {
	switch r.Key {
	case "config":
		return request, false, nil
	case "bad":
		return request, true, errors.New("no domain")
	}
	return evacuation.Request{Domain: state.DomainID(r.Key), Withdrawn: len(r.Value) == 0, Offset: r.Offset}, true, nil
}

// operatorsLog is an operators' topic with two keys a page. failAfter fails the page after
// this key; limit bounds the records of a read.
type operatorsLog struct {
	port.Log
	mu        sync.Mutex
	records   []ledger.Record
	first     int64
	failAfter string
	down      bool
	limit     int
	// latency is how long the response of a read is on the way.
	latency time.Duration
}

func (l *operatorsLog) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, ledger.Record{Key: key, Value: []byte(value), Offset: int64(len(l.records))})
}

func (l *operatorsLog) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

var errDown = errors.New("no response")

func (l *operatorsLog) NewestPage(ctx context.Context, topic port.Topic, after string) (port.Batch, error) {
	if topic != port.TopicOperators {
		<-ctx.Done()
		return port.Batch{}, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || (after != "" && after == l.failAfter) {
		return port.Batch{}, errDown
	}
	newest := map[string]ledger.Record{}
	for _, r := range l.records {
		newest[r.Key] = r
	}
	page := port.Batch{Next: int64(len(l.records))}
	for _, key := range []string{"a", "bad", "config", "z1", "z2", "z3"} {
		r, ok := newest[key]
		switch {
		case !ok || key <= after || len(r.Value) == 0:
		case len(page.Records) == 2:
			page.After = page.Records[1].Key
			return page, nil
		default:
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (l *operatorsLog) Read(ctx context.Context, _ port.Topic, from int64, wait time.Duration) (port.Batch, error) {
	for range int(wait / (10 * time.Millisecond)) {
		l.mu.Lock()
		ready := from < int64(len(l.records)) || l.down || from < l.first
		l.mu.Unlock()
		if ready {
			break
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return port.Batch{}, err
		}
	}
	l.mu.Lock()
	latency := l.latency
	down, expired := l.down, from < l.first
	rest := l.records[min(int(from), len(l.records)):]
	if l.limit > 0 {
		rest = rest[:min(l.limit, len(rest))]
	}
	batch := port.Batch{Records: rest, Next: from + int64(len(rest)), End: int64(len(l.records))}
	l.mu.Unlock()
	if err := sleep(ctx, latency); err != nil {
		return port.Batch{}, err
	}
	switch {
	case down:
		return port.Batch{}, errDown
	case expired:
		return port.Batch{}, port.ErrExpired
	}
	return batch, nil
}

// followOperators runs a replica on a log and calls test.
func followOperators(t *testing.T, log *operatorsLog, test func(is *is.I, r *Replica, out *bytes.Buffer), options ...Option) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		began := time.Now()
		r := New(log, evacuationDecoder{}, hclog.New(&hclog.LoggerOptions{Output: &out}), metrics.NewRegistry(),
			append(options, WithClock(func() time.Duration { return time.Since(began) }))...)
		ctx, cancel := context.WithCancel(t.Context())
		go r.followConfig(ctx)
		test(is.New(t), r, &out)
		cancel()
		synctest.Wait()
	})
}

// settle is longer than a read of the operators' topic takes.
const settle = readWait + 2*retryPause

func (r *Replica) evacuated() []state.DomainID {
	set, _ := r.Evacuation()
	return set.Domains()
}

// TestEvacuationIsFolded follows requests and withdrawals, also in one batch.
func TestEvacuationIsFolded(t *testing.T) {
	log := &operatorsLog{}
	log.put("config", "1")
	log.put("z2", "{}")
	_, age := New(log, evacuationDecoder{}, hclog.NewNullLogger(), metrics.NewRegistry()).Evacuation()
	is.New(t).Equal(age, neverRead)
	followOperators(t, log, func(is *is.I, r *Replica, _ *bytes.Buffer) {
		time.Sleep(20 * time.Millisecond)
		is.Equal(r.evacuated(), []state.DomainID{"z2"})
		log.put("z1", "{}")
		time.Sleep(20 * time.Millisecond)
		is.Equal(r.evacuated(), []state.DomainID{"z1", "z2"})
		log.put("z2", "")
		time.Sleep(20 * time.Millisecond)
		is.Equal(r.evacuated(), []state.DomainID{"z1"})
		log.change(func() { log.limit = 2 })
		for _, value := range []string{"", "{}", "", "{}"} {
			log.put("z1", value)
			log.put("bad", value)
		}
		time.Sleep(settle)
		is.Equal(r.evacuated(), []state.DomainID{"z1"})
	})
}

// TestAbsentRequestIsWithdrawn checks that a request is withdrawn if it is absent after all
// newest records were read again, and not before: a page that failed shows nothing.
func TestAbsentRequestIsWithdrawn(t *testing.T) {
	log := &operatorsLog{}
	for _, key := range []string{"a", "config", "z1", "z2"} {
		log.put(key, "{}")
	}
	followOperators(t, log, func(is *is.I, r *Replica, out *bytes.Buffer) {
		time.Sleep(20 * time.Millisecond)
		is.Equal(r.evacuated(), []state.DomainID{"a", "z1", "z2"})
		log.change(func() {
			log.records = append(log.records, ledger.Record{Key: "a", Offset: 4}, ledger.Record{Key: "z1", Offset: 5})
			log.first = 6 // both withdrawals are gone from the history
			log.failAfter = "z2"
		})
		log.put("z3", "{}")
		time.Sleep(20 * settle) // the first page is read, the second fails
		is.Equal(r.evacuated(), []state.DomainID{"a", "z1", "z2"})
		_, age := r.Evacuation()
		is.True(age > 19*settle)
		log.change(func() { log.failAfter = "" })
		time.Sleep(settle)
		is.Equal(r.evacuated(), []state.DomainID{"z2", "z3"})
		is.True(strings.Contains(out.String(), "absent"))
	})
}

// TestEvacuationOutlivesUnreachableLog checks that failed reads leave the set as it is, and
// that its age shows them.
func TestEvacuationOutlivesUnreachableLog(t *testing.T) {
	log := &operatorsLog{}
	log.put("config", "1")
	log.put("z1", "{}")
	followOperators(t, log, func(is *is.I, r *Replica, _ *bytes.Buffer) {
		time.Sleep(10 * readWait)
		_, age := r.Evacuation()
		is.True(age <= 2*readWait)
		log.change(func() { log.down = true })
		time.Sleep(time.Minute)
		is.Equal(r.evacuated(), []state.DomainID{"z1"})
		_, age = r.Evacuation()
		is.True(age >= time.Minute)
		log.change(func() { log.down = false })
		time.Sleep(settle)
		_, age = r.Evacuation()
		is.True(age <= 2*settle)
	})
}

// TestOwnerReadsOftenEnough checks that the age stays far below the limit at the owner: each
// start gets what is left of the limit as its lease.
func TestOwnerReadsOftenEnough(t *testing.T) {
	log := &operatorsLog{}
	log.put("config", "1")
	followOperators(t, log, func(is *is.I, r *Replica, _ *bytes.Buffer) {
		r.SetReadMode(Owning)
		time.Sleep(10 * readWait)
		for range 100 {
			time.Sleep(30 * time.Millisecond)
			_, age := r.Evacuation()
			is.True(age <= time.Second)
		}
	}, WithEvacuationLimit(5*time.Second))
}

// TestAgeCountsFromTheRequest guards against an age that begins with the response: that may
// have waited in a buffer while the process was paused, and shows nothing of that time.
func TestAgeCountsFromTheRequest(t *testing.T) {
	log := &operatorsLog{}
	log.put("config", "1")
	followOperators(t, log, func(is *is.I, r *Replica, _ *bytes.Buffer) {
		time.Sleep(20 * time.Millisecond)
		log.change(func() { log.latency = 8 * time.Second })
		log.put("config", "1")
		time.Sleep(8*time.Second + 50*time.Millisecond) // a response has just arrived
		_, age := r.Evacuation()
		is.True(age >= 8*time.Second)
	})
}

// TestPartialReadIsNotRecent guards against taking a batch for the end of the log.
func TestPartialReadIsNotRecent(t *testing.T) {
	is := is.New(t)
	now := time.Duration(1)
	r := New(nil, evacuationDecoder{}, hclog.NewNullLogger(), metrics.NewRegistry(), WithClock(func() time.Duration { return now }))
	r.applyEvacuations(port.Batch{Next: 4}, true, now)
	now = 10 * time.Second
	request := ledger.Record{Key: "z1", Value: []byte("{}"), Offset: 4}
	r.applyEvacuations(port.Batch{Records: []ledger.Record{request}, Next: 5, End: 9}, false, now)
	set, age := r.Evacuation()
	is.True(set.Has("z1")) // a request counts as soon as it was read
	is.Equal(age, now-1)
	r.applyEvacuations(port.Batch{Records: []ledger.Record{request}, Next: 9, End: 9}, false, now)
	_, age = r.Evacuation()
	is.Equal(age, time.Duration(0))
}

// TestInvalidRequestIsIgnored checks that an invalid record leaves a line and affects nothing
// else of its batch.
func TestInvalidRequestIsIgnored(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := New(nil, evacuationDecoder{}, hclog.New(&hclog.LoggerOptions{Output: &out}), metrics.NewRegistry())
	r.applyEvacuations(port.Batch{Records: []ledger.Record{{Key: "bad"}, {Key: "z1", Value: []byte("{}"), Offset: 1}}, Next: 2, End: 2}, false, 0)
	is.Equal(r.evacuated(), []state.DomainID{"z1"})
	is.Equal(strings.Count(out.String(), "invalid operators' record ignored"), 1)
}

// TestInvalidRecordIsLoggedOnce guards against a line for each read of all records, which comes
// with each burst of changes.
func TestInvalidRecordIsLoggedOnce(t *testing.T) {
	log := &operatorsLog{limit: 1}
	log.put("bad", "x")
	followOperators(t, log, func(is *is.I, _ *Replica, out *bytes.Buffer) {
		time.Sleep(settle)
		for range 10 {
			for range 5 {
				log.put("config", "x")
			}
			time.Sleep(settle)
		}
		synctest.Wait()
		is.Equal(strings.Count(out.String(), "invalid operators' record ignored"), 1)
		log.put("bad", "y")
		time.Sleep(settle)
		synctest.Wait()
		is.Equal(strings.Count(out.String(), "invalid operators' record ignored"), 2)
	})
}
