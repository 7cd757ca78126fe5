package platformclient

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/logservice"
)

// logHarness is a log service stand-in with a client.
type logHarness struct {
	t       *testing.T
	is      *is.I
	ctx     context.Context
	service *logservice.Service
	address string
	client  *Log
}

func newLogHarness(t *testing.T, config logservice.Config, options Options) *logHarness {
	t.Helper()
	service := logservice.New(config)
	address := serve(t, service).Address()
	client := NewLog([]string{address}, options)
	t.Cleanup(client.Close)
	return &logHarness{t: t, is: is.New(t), ctx: t.Context(), service: service, address: address, client: client}
}

func (r *logHarness) append(id string, expected *int64) (int64, error) {
	return r.client.Append(r.ctx, devplatform.AppendRequest{
		Stream: "config", Record: devplatform.Record{ID: id, Data: []byte(id)}, ExpectedOffset: expected,
	})
}

func (r *logHarness) appendAll(ids ...string) {
	r.t.Helper()
	for _, id := range ids {
		_, err := r.append(id, nil)
		r.is.NoErr(err)
	}
}

func (r *logHarness) read(from int64, limit int, wait time.Duration) (devplatform.ReadReply, error) {
	return r.client.Read(r.ctx, devplatform.ReadRequest{Stream: "config", From: from, Limit: limit, Wait: wait})
}

func (r *logHarness) setFaults(s faults.Switches) {
	r.t.Helper()
	r.is.NoErr(r.service.SetFaults(logservice.Faults{Switches: s}))
}

func offset(n int64) *int64 { return &n }

func TestLogContract(t *testing.T) {
	tests := []struct {
		name   string
		config logservice.Config
		check  func(r *logHarness)
	}{
		{name: "offsets begin at 0 and have no gaps", check: func(r *logHarness) {
			for want := range int64(3) {
				got, err := r.append("a", nil)
				r.is.NoErr(err)
				r.is.Equal(got, want)
			}
			reply, err := r.read(0, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Records), 3)
			for i, record := range reply.Records {
				r.is.Equal(record.Offset, int64(i))
				r.is.Equal(string(record.Data), "a")
				r.is.Equal(record.ID, "a")
			}
			r.is.Equal(reply.Tail, int64(3))
		}},
		{name: "streams have separate offsets", check: func(r *logHarness) {
			r.appendAll("a")
			got, err := r.client.Append(r.ctx, devplatform.AppendRequest{Stream: "jobs", Record: devplatform.Record{ID: "b"}})
			r.is.NoErr(err)
			r.is.Equal(got, int64(0))
		}},
		{name: "append at the expected offset succeeds, at any other offset it writes nothing", check: func(r *logHarness) {
			_, err := r.append("a", offset(0))
			r.is.NoErr(err)
			for _, wrong := range []int64{0, 2} {
				_, err = r.append("b", offset(wrong))
				r.is.True(errors.Is(err, devplatform.ErrOffsetMismatch))
			}
			reply, err := r.read(0, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(reply.Tail, int64(1))
		}},
		{name: "a record of the maximum size is accepted, a larger one is too large", check: func(r *logHarness) {
			for _, size := range []int{devplatform.MaxRecordBytes, devplatform.MaxRecordBytes + 1} {
				_, err := r.client.Append(r.ctx, devplatform.AppendRequest{
					Stream: "config", Record: devplatform.Record{ID: "a", Data: make([]byte, size)},
				})
				r.is.Equal(errors.Is(err, devplatform.ErrTooLarge), size > devplatform.MaxRecordBytes)
			}
			reply, err := r.read(0, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(reply.Tail, int64(1))
		}},
		{name: "calls without a stream or with a negative offset are invalid", check: func(r *logHarness) {
			_, err := r.client.Append(r.ctx, devplatform.AppendRequest{Record: devplatform.Record{ID: "a"}})
			r.is.True(errors.Is(err, devplatform.ErrInvalid))
			_, err = r.read(-1, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrInvalid))
		}},
		{name: "read starts at the offset and stops at the limit", check: func(r *logHarness) {
			r.appendAll("a", "b", "c", "d")
			reply, err := r.read(1, 2, 0)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Records), 2)
			r.is.Equal(reply.Records[0].Offset, int64(1))
		}},
		{name: "read past the tail has no records", check: func(r *logHarness) {
			r.appendAll("a")
			reply, err := r.read(7, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(reply, devplatform.ReadReply{Tail: 1})
		}},
		{name: "read waits for the next record", check: func(r *logHarness) {
			replies := make(chan devplatform.ReadReply, 1)
			go func() {
				reply, _ := r.read(0, 0, time.Hour)
				replies <- reply
			}()
			eventually(r.t, "the read waits", func() bool { return r.service.Stats().Reads == 1 })
			r.appendAll("a")
			r.is.Equal((<-replies).Records[0].ID, "a")
		}},
		{name: "read returns no records when its wait time has passed", check: func(r *logHarness) {
			reply, err := r.read(0, 0, time.Millisecond)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Records), 0)
		}},
		{name: "records beyond the retained number are dropped", config: logservice.Config{RetainRecords: 2}, check: func(r *logHarness) {
			r.appendAll("a", "b", "c", "d")
			reply, err := r.read(1, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrOffsetExpired))
			r.is.Equal(reply, devplatform.ReadReply{Oldest: 2, Tail: 4})
			reply, err = r.read(reply.Oldest, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Records), 2)
		}},
		{name: "records beyond the retained age are dropped", config: logservice.Config{RetainAge: time.Millisecond}, check: func(r *logHarness) {
			r.appendAll("a")
			eventually(r.t, "record 0 is dropped", func() bool {
				_, err := r.read(0, 0, 0)
				return errors.Is(err, devplatform.ErrOffsetExpired)
			})
		}},
		{name: "offsets continue after records are dropped", check: func(r *logHarness) {
			r.appendAll("a", "b")
			r.is.NoErr(r.service.SetFaults(logservice.Faults{DropRecords: true}))
			_, err := r.read(1, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrOffsetExpired))
			got, err := r.append("c", offset(2))
			r.is.NoErr(err)
			r.is.Equal(got, int64(2))
		}},
		{name: "appends above the rate limit are unavailable and write nothing", config: logservice.Config{AppendsPerSecond: 1}, check: func(r *logHarness) {
			refused := 0
			for range 50 {
				if _, err := r.append("a", nil); errors.Is(err, devplatform.ErrUnavailable) {
					refused++
				}
			}
			reply, err := r.read(0, 0, 0)
			r.is.NoErr(err)
			r.is.True(refused > 0)
			r.is.Equal(reply.Tail, int64(50-refused))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.check(newLogHarness(t, tt.config, Options{})) })
	}
}

func TestLogFaults(t *testing.T) {
	const short = 300 * time.Millisecond
	tests := []struct {
		name    string
		options Options
		check   func(r *logHarness)
	}{
		{name: "an append whose reply was lost is stored, and its retry is stored again", check: func(r *logHarness) {
			r.setFaults(faults.Switches{DropReplies: faults.DropReplies{Next: 1}})
			_, err := r.append("a", nil)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			_, err = r.append("a", nil)
			r.is.NoErr(err)
			reply, err := r.read(0, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Records), 2)
			r.is.Equal(reply.Records[0].ID, reply.Records[1].ID)
		}},
		{name: "a conditional append whose reply was lost fails when retried", check: func(r *logHarness) {
			r.setFaults(faults.Switches{DropReplies: faults.DropReplies{Next: 1}})
			_, err := r.append("a", offset(0))
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			_, err = r.append("a", offset(0))
			r.is.True(errors.Is(err, devplatform.ErrOffsetMismatch))
		}},
		{name: "a fixed seed drops the same replies", check: func(r *logHarness) {
			var runs [2][20]bool
			for run := range runs {
				r.setFaults(faults.Switches{DropReplies: faults.DropReplies{Probability: 0.5, Seed: 7}})
				for i := range runs[run] {
					_, err := r.append("a", nil)
					runs[run][i] = err == nil
				}
			}
			r.is.Equal(runs[0], runs[1])
		}},
		{name: "a log that is down stores nothing", check: func(r *logHarness) {
			for _, down := range []faults.DownMode{faults.Refuse, faults.Drop} {
				r.setFaults(faults.Switches{Down: down})
				_, err := r.append("a", nil)
				r.is.True(errors.Is(err, devplatform.ErrUnavailable))
				_, err = r.read(0, 0, 0)
				r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			}
			r.setFaults(faults.Switches{})
			reply, err := r.read(0, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(reply.Tail, int64(0))
		}},
		{name: "a slow append has an unknown outcome and takes effect after the timeout", options: Options{Timeout: short}, check: func(r *logHarness) {
			r.setFaults(faults.Switches{Delay: faults.Delay{Path: devplatform.PathAppend, Milliseconds: 2 * short.Milliseconds()}})
			_, err := r.append("a", nil)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			eventually(r.t, "the append took effect", func() bool {
				reply, err := r.read(0, 0, 0)
				return err == nil && reply.Tail == 1
			})
		}},
		{name: "a truncated reply is an error, not a partial result", check: func(r *logHarness) {
			r.appendAll("a", "b")
			r.setFaults(faults.Switches{TruncateNext: 1})
			reply, err := r.read(0, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			r.is.Equal(len(reply.Records), 0)
		}},
		{name: "a client in a partitioned network gets no reply until the partition ends", options: Options{Timeout: short}, check: func(r *logHarness) {
			r.setFaults(faults.Switches{Partitioned: loopback()})
			_, err := r.append("a", nil)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			r.setFaults(faults.Switches{})
			eventually(r.t, "the partition ends", func() bool { _, err := r.append("b", nil); return err == nil })
		}},
		{name: "an unreachable endpoint is skipped", check: func(r *logHarness) {
			stopped := serve(r.t, logservice.New(logservice.Config{}))
			stopped.Kill()
			client := NewLog([]string{stopped.Address(), r.address}, Options{})
			r.t.Cleanup(client.Close)
			_, err := client.Append(r.ctx, devplatform.AppendRequest{Stream: "config", Record: devplatform.Record{ID: "a"}})
			r.is.NoErr(err)
		}},
		{name: "with every endpoint unreachable the append is not sent", check: func(r *logHarness) {
			stopped := serve(r.t, logservice.New(logservice.Config{}))
			stopped.Kill()
			client := NewLog([]string{stopped.Address()}, Options{})
			r.t.Cleanup(client.Close)
			_, err := client.Append(r.ctx, devplatform.AppendRequest{Stream: "config", Record: devplatform.Record{ID: "a"}})
			r.is.True(errors.Is(err, devplatform.ErrNotSent))
			_, err = NewLog(nil, Options{}).Read(r.ctx, devplatform.ReadRequest{Stream: "config"})
			r.is.True(errors.Is(err, devplatform.ErrNotSent))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.check(newLogHarness(t, logservice.Config{}, tt.options)) })
	}
}
