package retry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/samphirerail/samphirerail/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Set()
	goleak.VerifyTestMain(m)
}

// hop is one process on the path of a request; the last hop executes the request.
type hop struct {
	limiter    *Limiter
	next       *hop
	executions *int
	// lendAll makes a hop pass on its whole budget without deducting it.
	lendAll bool
}

var errResponseLost = errors.New("response lost")

// run executes a request and retries on every failure. fails returns 0 for success, 1
// for a call that was not sent, 2 for a lost response.
func (h *hop) run(left int, fails func() int) error {
	attempts := h.limiter.Begin(left)
	for {
		lent := attempts.Lend()
		if h.lendAll {
			attempts.Return(lent)
			lent = attempts.Left()
		}
		err := h.once(lent, fails)
		if err == nil {
			return nil
		}
		if !errors.Is(err, errResponseLost) {
			attempts.Return(lent)
		}
		if attempts.Next(context.Background()) != nil {
			return errResponseLost
		}
	}
}

func (h *hop) once(lent int, fails func() int) error {
	if h.next == nil {
		*h.executions++
	} else {
		if fails() == 1 {
			return errors.New("not sent")
		}
		if err := h.next.run(lent, fails); err != nil {
			return err
		}
	}
	if fails() == 2 {
		return errResponseLost
	}
	return nil
}

func newPath(executions *int, lendAll bool) *hop {
	cfg := Config{Burst: 1000, InitialDelay: time.Nanosecond, MaxDelay: time.Nanosecond}
	var first *hop
	for range 3 {
		first = &hop{limiter: NewLimiter(cfg), next: first, executions: executions, lendAll: lendAll}
	}
	return first
}

func TestRetriesOfThreeHopsStayWithinOneBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 8).Draw(t, "budget")
		executions := 0
		outcome := rapid.SampledFrom([]int{0, 1, 2, 2, 2})
		_ = newPath(&executions, false).run(budget, func() int { return outcome.Draw(t, "outcome") })
		if executions > budget+1 {
			t.Fatalf("last hop was called %d times with a budget of %d retries; want at most budget+1", executions, budget)
		}
	})
}

func TestRetriesMultiplyWithoutLending(t *testing.T) {
	is := is.New(t)
	executions := 0
	_ = newPath(&executions, true).run(3, func() int { return 2 })
	is.True(executions > 4)
}

func TestLimiterBoundsRetriesToAFractionOfRequests(t *testing.T) {
	is := is.New(t)
	limiter := NewLimiter(Config{Ratio: 0.1, Burst: 10, InitialDelay: time.Nanosecond, MaxDelay: time.Nanosecond})
	retries := 0
	for range 1000 {
		attempts := limiter.Begin(3)
		for attempts.Next(context.Background()) == nil {
			retries++
		}
	}
	is.True(retries <= 110)
	is.True(retries >= 100)
}

func TestNext(t *testing.T) {
	tests := []struct {
		name    string
		cfg     Config
		left    int
		timeout time.Duration
		want    error
	}{
		{name: "allowed", left: 1, timeout: time.Minute},
		{name: "no retries left", left: 0, timeout: time.Minute, want: ErrExhausted},
		{name: "deadline before the next attempt", left: 1, timeout: 0, want: ErrDeadline},
		{name: "bucket empty", cfg: Config{Burst: 1, Ratio: 0.1}, left: 1, timeout: time.Minute, want: ErrThrottled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				limiter := NewLimiter(tt.cfg)
				if errors.Is(tt.want, ErrThrottled) {
					is.True(limiter.takeToken())
				}
				ctx, cancel := context.WithTimeout(context.Background(), tt.timeout)
				defer cancel()
				started := time.Now()
				err := limiter.Begin(tt.left).Next(ctx)
				is.True(errors.Is(err, tt.want))
				if tt.want != nil {
					is.Equal(time.Since(started), time.Duration(0))
				}
			})
		})
	}
}

func TestDelayStaysBelowDoublingBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limiter := NewLimiter(Config{Burst: 100, InitialDelay: 20 * time.Millisecond, MaxDelay: 100 * time.Millisecond})
		attempts := limiter.Begin(6)
		for _, millis := range []int{20, 40, 80, 100, 100, 100} {
			bound := time.Duration(millis) * time.Millisecond
			started := time.Now()
			is.NoErr(attempts.Next(context.Background()))
			is.True(time.Since(started) <= bound+1)
		}
	})
}
