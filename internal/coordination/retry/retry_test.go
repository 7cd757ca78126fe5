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

// hop is one process on a path; the last one does the work.
type hop struct {
	limiter *Limiter
	next    *hop
	work    *int
	// lendAll makes a hop hand its whole budget on and keep it as well.
	lendAll bool
}

var errLost = errors.New("answer lost")

// run retries on every failure, drawn from fails: 0 is success, 1 a call that
// was not sent, 2 an answer that was lost.
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
		if !errors.Is(err, errLost) {
			attempts.Return(lent)
		}
		if attempts.Next(context.Background()) != nil {
			return errLost
		}
	}
}

func (h *hop) once(lent int, fails func() int) error {
	if h.next == nil {
		*h.work++
	} else {
		if fails() == 1 {
			return errors.New("not sent")
		}
		if err := h.next.run(lent, fails); err != nil {
			return err
		}
	}
	if fails() == 2 {
		return errLost
	}
	return nil
}

func path(work *int, lendAll bool) *hop {
	cfg := Config{Reserve: 1000, Initial: time.Nanosecond, Max: time.Nanosecond}
	var first *hop
	for range 3 {
		first = &hop{limiter: NewLimiter(cfg), next: first, work: work, lendAll: lendAll}
	}
	return first
}

func TestRetriesOfThreeHopsStayWithinOneBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 8).Draw(t, "budget")
		work := 0
		outcome := rapid.SampledFrom([]int{0, 1, 2, 2, 2})
		_ = path(&work, false).run(budget, func() int { return outcome.Draw(t, "outcome") })
		if work > budget+1 {
			t.Fatalf("%d attempts at the last hop with a budget of %d retries", work, budget)
		}
	})
}

func TestRetriesMultiplyWithoutLending(t *testing.T) {
	is := is.New(t)
	work := 0
	_ = path(&work, true).run(3, func() int { return 2 })
	is.True(work > 4)
}

func TestLimiterBoundsRetriesToAFractionOfRequests(t *testing.T) {
	is := is.New(t)
	limiter := NewLimiter(Config{Ratio: 0.1, Reserve: 10, Initial: time.Nanosecond, Max: time.Nanosecond})
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
		{name: "bucket empty", cfg: Config{Reserve: 1, Ratio: 0.1}, left: 1, timeout: time.Minute, want: ErrThrottled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				limiter := NewLimiter(tt.cfg)
				if errors.Is(tt.want, ErrThrottled) {
					is.True(limiter.withdraw())
				}
				ctx, cancel := context.WithTimeout(context.Background(), tt.timeout)
				defer cancel()
				begun := time.Now()
				err := limiter.Begin(tt.left).Next(ctx)
				is.True(errors.Is(err, tt.want))
				if tt.want != nil {
					is.Equal(time.Since(begun), time.Duration(0))
				}
			})
		})
	}
}

func TestDelayIsDrawnFromNoughtToADoublingBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limiter := NewLimiter(Config{Reserve: 100, Initial: 20 * time.Millisecond, Max: 100 * time.Millisecond})
		attempts := limiter.Begin(6)
		for _, millis := range []int{20, 40, 80, 100, 100, 100} {
			bound := time.Duration(millis) * time.Millisecond
			begun := time.Now()
			is.NoErr(attempts.Next(context.Background()))
			is.True(time.Since(begun) <= bound+1)
		}
	})
}
