// Package loadtool is an open-loop load generator. It submits jobs to running entries, or
// starts tasks directly on an upstream, at a fixed rate that does not depend on the
// replies, and measures outcomes and latencies as callers observe them.
package loadtool

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// The limits of the options.
const (
	// MaxRate is the highest rate, in jobs per second.
	MaxRate = 100_000
	// MaxCallers is the highest number of calls in flight.
	MaxCallers = 4096
)

// Options configures a run.
type Options struct {
	// Rate is in jobs per second. It is not reduced when replies are slow.
	Rate float64
	// Duration is the time for which jobs are sent.
	Duration time.Duration
	// Callers is the maximum number of calls in flight. A job for which no caller is
	// free is sent late; its latency still counts from its due time.
	Callers int
	// Seed determines the gaps between jobs and their classes.
	Seed uint64
	// Mix states the share of each class in the jobs.
	Mix []ClassWeight
	// Job describes each job.
	Job Job
}

// ClassWeight is the share of a class in all jobs, relative to the other weights.
type ClassWeight struct {
	Class  state.Class
	Weight int
}

// Job states the requirements of each job.
type Job struct {
	Service    state.Service
	CPUMilli   int64
	MemoryMB   int64
	RunTime    time.Duration
	Idempotent bool
}

// OptionError reports an invalid option and how to correct it.
type OptionError struct {
	Option string
	Value  string
	Remedy string
}

func (e *OptionError) Error() string {
	return fmt.Sprintf("load: option %s has the invalid value %q; %s", e.Option, e.Value, e.Remedy)
}

// Validate checks the options. It fails with an *OptionError.
func (o *Options) Validate() error {
	switch {
	case !(o.Rate > 0 && o.Rate <= MaxRate):
		return &OptionError{Option: "rate", Value: fmt.Sprint(o.Rate), Remedy: fmt.Sprintf("use more than 0 and at most %d per second", MaxRate)}
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

// ParseMix parses "CLASS=PART,...", where each part is a positive integer. Only classes
// of jobs that end on their own are valid. It fails with an *OptionError.
func ParseMix(text string) ([]ClassWeight, error) {
	var mix []ClassWeight
	for field := range strings.SplitSeq(text, ",") {
		name, number, found := strings.Cut(field, "=")
		weight, err := strconv.Atoi(number)
		class := state.Class(name)
		bounded := class == state.ClassRequest || class == state.ClassBatch || class == state.ClassGang
		if !found || err != nil || weight < 1 || !bounded {
			return nil, &OptionError{Option: "mix", Value: text, Remedy: mixRemedy}
		}
		mix = append(mix, ClassWeight{Class: class, Weight: weight})
	}
	return mix, nil
}

// CheckLoopback checks that address is IP:port on the loopback network. It fails with an
// *OptionError.
func CheckLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return &OptionError{Option: "address", Value: address, Remedy: "use IP:port on the loopback network, such as 127.0.0.1:8080"}
	}
	return nil
}
