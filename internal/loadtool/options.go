// Package loadtool sends jobs to running entries, or straight to an upstream,
// at a fixed rate whatever the answers do, and measures what callers see.
package loadtool

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Bounds of the options.
const (
	// MaxRate is the highest rate in jobs a second.
	MaxRate = 100_000
	// MaxCallers is the most calls in flight.
	MaxCallers = 4096
)

// Options say what to send.
type Options struct {
	// Rate is in jobs a second. It does not fall when answers are slow.
	Rate float64
	// Duration is how long jobs are sent.
	Duration time.Duration
	// Callers is the most calls in flight. A job that finds none free is sent
	// late, and its latency counts from when it should have been sent.
	Callers int
	// Seed decides the gaps between jobs and their classes.
	Seed uint64
	// Mix is the parts of the classes.
	Mix []Part
	// Job is what each job asks for.
	Job Job
}

// Part is a class with its part of all jobs, relative to the other weights.
type Part struct {
	Class  state.Class
	Weight int
}

// Job is what each job asks for.
type Job struct {
	Service    state.Service
	CPUMilli   int64
	MemoryMB   int64
	RunTime    time.Duration
	Idempotent bool
}

// OptionError names an option that is not acceptable.
type OptionError struct {
	Option string
	Value  string
	Remedy string
}

func (e *OptionError) Error() string {
	return fmt.Sprintf("load: %s %q is not acceptable; %s", e.Option, e.Value, e.Remedy)
}

// Validate fails with an *OptionError.
func (o *Options) Validate() error {
	switch {
	case !(o.Rate > 0 && o.Rate <= MaxRate):
		return &OptionError{Option: "rate", Value: fmt.Sprint(o.Rate), Remedy: fmt.Sprintf("use more than 0 and at most %d a second", MaxRate)}
	case o.Duration <= 0:
		return &OptionError{Option: "duration", Value: o.Duration.String(), Remedy: "use more than 0"}
	case o.Callers < 1 || o.Callers > MaxCallers:
		return &OptionError{Option: "callers", Value: strconv.Itoa(o.Callers), Remedy: fmt.Sprintf("use 1 to %d", MaxCallers)}
	case len(o.Mix) == 0:
		return &OptionError{Option: "mix", Remedy: mixRemedy}
	}
	return nil
}

const mixRemedy = "use CLASS=PART,... of the classes request, batch and gang, such as request=90,batch=10"

// ParseMix reads "CLASS=PART,...". It fails with an *OptionError.
func ParseMix(text string) ([]Part, error) {
	var mix []Part
	for field := range strings.SplitSeq(text, ",") {
		name, number, found := strings.Cut(field, "=")
		weight, err := strconv.Atoi(number)
		class := state.Class(name)
		ends := class == state.ClassRequest || class == state.ClassBatch || class == state.ClassGang
		if !found || err != nil || weight < 1 || !ends {
			return nil, &OptionError{Option: "mix", Value: text, Remedy: mixRemedy}
		}
		mix = append(mix, Part{Class: class, Weight: weight})
	}
	return mix, nil
}

// CheckLoopback accepts IP:port on the loopback network. It fails with an
// *OptionError.
func CheckLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return &OptionError{Option: "address", Value: address, Remedy: "use IP:port on the loopback network, such as 127.0.0.1:8080"}
	}
	return nil
}
