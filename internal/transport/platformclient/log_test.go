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

// logRig is a log service with a client.
type logRig struct {
	t       *testing.T
	is      *is.I
	ctx     context.Context
	service *logservice.Service
	address string
	client  *Log
}

func newLogRig(t *testing.T, config logservice.Config, options Options) *logRig {
	t.Helper()
	service := logservice.New(config)
	address := serve(t, service).Address()
	client := NewLog([]string{address}, options)
	t.Cleanup(client.Close)
	return &logRig{t: t, is: is.New(t), ctx: t.Context(), service: service, address: address, client: client}
}

func (r *logRig) append(id string, expected *int64) (int64, error) {
	return r.client.Append(r.ctx, devplatform.AppendRequest{
		Stream: "config", Record: devplatform.Record{ID: id, Data: []byte(id)}, ExpectedOffset: expected,
	})
}

func (r *logRig) fill(ids ...string) {
	r.t.Helper()
	for _, id := range ids {
		_, err := r.append(id, nil)
		r.is.NoErr(err)
	}
}

func (r *logRig) read(from int64, limit int, wait time.Duration) (devplatform.ReadReply, error) {
	return r.client.Read(r.ctx, devplatform.ReadRequest{Stream: "config", From: from, Limit: limit, Wait: wait})
}

func (r *logRig) set(s faults.Switches) {
	r.t.Helper()
	r.is.NoErr(r.service.SetFaults(logservice.Faults{Switches: s}))
}

func offset(n int64) *int64 { return &n }

func TestLogContract(t *testing.T) {
	tests := []struct {
		name   string
		config logservice.Config
		check  func(r *logRig)
	}{
		{name: "offsets begin at 0 and have no gaps", check: func(r *logRig) {
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
		{name: "streams are apart", check: func(r *logRig) {
			r.fill("a")
			got, err := r.client.Append(r.ctx, devplatform.AppendRequest{Stream: "jobs", Record: devplatform.Record{ID: "b"}})
			r.is.NoErr(err)
			r.is.Equal(got, int64(0))
		}},
		{name: "an append at the expected offset succeeds, any other writes nothing", check: func(r *logRig) {
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
		{name: "a record may have the largest size and no more", check: func(r *logRig) {
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
		{name: "calls without a stream or with a negative offset are invalid", check: func(r *logRig) {
			_, err := r.client.Append(r.ctx, devplatform.AppendRequest{Record: devplatform.Record{ID: "a"}})
			r.is.True(errors.Is(err, devplatform.ErrInvalid))
			_, err = r.read(-1, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrInvalid))
		}},
		{name: "read starts at the offset and stops at the limit", check: func(r *logRig) {
			r.fill("a", "b", "c", "d")
			reply, err := r.read(1, 2, 0)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Records), 2)
			r.is.Equal(reply.Records[0].Offset, int64(1))
		}},
		{name: "read past the tail has no records", check: func(r *logRig) {
			r.fill("a")
			reply, err := r.read(7, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(reply, devplatform.ReadReply{Tail: 1})
		}},
		{name: "read waits for the next record", check: func(r *logRig) {
			replies := make(chan devplatform.ReadReply, 1)
			go func() {
				reply, _ := r.read(0, 0, time.Hour)
				replies <- reply
			}()
			eventually(r.t, "the read is held", func() bool { return r.service.Stats().Reads == 1 })
			r.fill("a")
			r.is.Equal((<-replies).Records[0].ID, "a")
		}},
		{name: "read returns empty when its wait is over", check: func(r *logRig) {
			reply, err := r.read(0, 0, time.Millisecond)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Records), 0)
		}},
		{name: "records beyond the retained number are forgotten", config: logservice.Config{RetainRecords: 2}, check: func(r *logRig) {
			r.fill("a", "b", "c", "d")
			reply, err := r.read(1, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrForgotten))
			r.is.Equal(reply, devplatform.ReadReply{Oldest: 2, Tail: 4})
			reply, err = r.read(reply.Oldest, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Records), 2)
		}},
		{name: "records beyond the retained age are forgotten", config: logservice.Config{RetainAge: time.Millisecond}, check: func(r *logRig) {
			r.fill("a")
			eventually(r.t, "record 0 forgotten", func() bool {
				_, err := r.read(0, 0, 0)
				return errors.Is(err, devplatform.ErrForgotten)
			})
		}},
		{name: "forgetting keeps the offsets going", check: func(r *logRig) {
			r.fill("a", "b")
			r.is.NoErr(r.service.SetFaults(logservice.Faults{Forget: true}))
			_, err := r.read(1, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrForgotten))
			got, err := r.append("c", offset(2))
			r.is.NoErr(err)
			r.is.Equal(got, int64(2))
		}},
		{name: "appends over the rate are unavailable and write nothing", config: logservice.Config{AppendsPerSecond: 1}, check: func(r *logRig) {
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
		t.Run(tt.name, func(t *testing.T) { tt.check(newLogRig(t, tt.config, Options{})) })
	}
}

func TestLogFaults(t *testing.T) {
	const short = 300 * time.Millisecond
	tests := []struct {
		name    string
		options Options
		check   func(r *logRig)
	}{
		{name: "an append whose answer was lost is stored, and its repeat stored again", check: func(r *logRig) {
			r.set(faults.Switches{Lose: faults.Lose{Next: 1}})
			_, err := r.append("a", nil)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			_, err = r.append("a", nil)
			r.is.NoErr(err)
			reply, err := r.read(0, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Records), 2)
			r.is.Equal(reply.Records[0].ID, reply.Records[1].ID)
		}},
		{name: "a conditional append whose answer was lost fails when repeated", check: func(r *logRig) {
			r.set(faults.Switches{Lose: faults.Lose{Next: 1}})
			_, err := r.append("a", offset(0))
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			_, err = r.append("a", offset(0))
			r.is.True(errors.Is(err, devplatform.ErrOffsetMismatch))
		}},
		{name: "answers are lost with a fixed seed in the same order", check: func(r *logRig) {
			var runs [2][20]bool
			for run := range runs {
				r.set(faults.Switches{Lose: faults.Lose{Probability: 0.5, Seed: 7}})
				for i := range runs[run] {
					_, err := r.append("a", nil)
					runs[run][i] = err == nil
				}
			}
			r.is.Equal(runs[0], runs[1])
		}},
		{name: "a log that is down stores nothing", check: func(r *logRig) {
			for _, down := range []faults.DownMode{faults.Refuse, faults.Drop} {
				r.set(faults.Switches{Down: down})
				_, err := r.append("a", nil)
				r.is.True(errors.Is(err, devplatform.ErrUnavailable))
				_, err = r.read(0, 0, 0)
				r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			}
			r.set(faults.Switches{})
			reply, err := r.read(0, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(reply.Tail, int64(0))
		}},
		{name: "a slow append is unknown and takes effect late", options: Options{Timeout: short}, check: func(r *logRig) {
			r.set(faults.Switches{Delay: faults.Delay{Path: devplatform.PathAppend, Milliseconds: 2 * short.Milliseconds()}})
			_, err := r.append("a", nil)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			eventually(r.t, "the append took effect", func() bool {
				reply, err := r.read(0, 0, 0)
				return err == nil && reply.Tail == 1
			})
		}},
		{name: "a reply cut short is an error, never a part", check: func(r *logRig) {
			r.fill("a", "b")
			r.set(faults.Switches{TruncateNext: 1})
			reply, err := r.read(0, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			r.is.Equal(len(reply.Records), 0)
		}},
		{name: "a caller whose address is cut off gets no answer until it heals", options: Options{Timeout: short}, check: func(r *logRig) {
			r.set(faults.Switches{Cut: loopback()})
			_, err := r.append("a", nil)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			r.set(faults.Switches{})
			eventually(r.t, "healed", func() bool { _, err := r.append("b", nil); return err == nil })
		}},
		{name: "an endpoint that is gone is passed over", check: func(r *logRig) {
			gone := serve(r.t, logservice.New(logservice.Config{}))
			gone.Kill()
			client := NewLog([]string{gone.Address(), r.address}, Options{})
			r.t.Cleanup(client.Close)
			_, err := client.Append(r.ctx, devplatform.AppendRequest{Stream: "config", Record: devplatform.Record{ID: "a"}})
			r.is.NoErr(err)
		}},
		{name: "with every endpoint gone the append was not sent", check: func(r *logRig) {
			gone := serve(r.t, logservice.New(logservice.Config{}))
			gone.Kill()
			client := NewLog([]string{gone.Address()}, Options{})
			r.t.Cleanup(client.Close)
			_, err := client.Append(r.ctx, devplatform.AppendRequest{Stream: "config", Record: devplatform.Record{ID: "a"}})
			r.is.True(errors.Is(err, devplatform.ErrNotSent))
			_, err = NewLog(nil, Options{}).Read(r.ctx, devplatform.ReadRequest{Stream: "config"})
			r.is.True(errors.Is(err, devplatform.ErrNotSent))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.check(newLogRig(t, logservice.Config{}, tt.options)) })
	}
}
