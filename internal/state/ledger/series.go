package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// Series is the progress of a job that repeats. Its size goes with the occurrences at work, not
// with those that are complete or to come.
//
// Entries of a former release don't know it. They take an occurrence as complete only if all its
// steps are listed as done, so the state lists the complete ones while they are few. Once they are
// not, Unlisted is set, and the part of the record that these entries read says that the job is
// cancelled: they start nothing of it then, and neither replace nor drop its record.
type Series struct {
	// Next is the first occurrence that has not begun. Those before it are complete, but for the
	// ones in Open.
	Next int
	// Open holds the occurrences before Next that are not complete, in ascending order.
	Open []int
	// Unlisted says that JobState.Steps lacks complete occurrences.
	Unlisted bool
}

// storedSeries is the encoded form. Phase is that of the job.
type storedSeries struct {
	Phase    Phase
	Next     int
	Open     []int
	Unlisted bool
}

// errSeries means that a series contradicts itself.
var errSeries = errors.New("the open occurrences are not in order, or not before the next one")

func (s *Series) validate() error {
	if s == nil {
		return nil
	}
	last := -1
	for _, k := range s.Open {
		if k <= last || k >= s.Next {
			return fmt.Errorf("occurrence %d of a series that has begun %d: %w", k, s.Next, errSeries)
		}
		last = k
	}
	if s.Next < 0 {
		return fmt.Errorf("a series that has begun %d occurrences: %w", s.Next, errSeries)
	}
	return nil
}

// complete reports whether an occurrence is complete.
func (s *Series) complete(occurrence int) bool {
	if occurrence >= s.Next {
		return false
	}
	_, open := slices.BinarySearch(s.Open, occurrence)
	return !open
}

// appendSeries appends the series of a state, if it has one.
func appendSeries(value []byte, s *JobState) ([]byte, error) {
	if s.Series == nil {
		return value, nil
	}
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&storedSeries{s.Phase, s.Series.Next, s.Series.Open, s.Series.Unlisted}); err != nil {
		return nil, fmt.Errorf("ledger: cannot encode the series of a job: %w", err)
	}
	return append(value, data.Bytes()...), nil
}

// decodeSeries decodes a series and applies it to the state: complete occurrences, which are listed
// for entries of a former release, are left out.
func decodeSeries(data []byte, into *JobState) error {
	if _, err := splitValue(data); err != nil {
		return err
	}
	var stored storedSeries
	if err := msgpack.Unmarshal(data, &stored); err != nil {
		return err
	}
	into.Phase = stored.Phase
	into.Series = &Series{Next: stored.Next, Open: stored.Open, Unlisted: stored.Unlisted}
	if err := into.Series.validate(); err != nil {
		return err
	}
	into.Steps = slices.DeleteFunc(into.Steps, func(st StepState) bool { return into.Series.complete(st.Occurrence) })
	into.Steps = slices.Clip(into.Steps)
	return nil
}
