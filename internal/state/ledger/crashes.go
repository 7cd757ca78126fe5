package ledger

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// TaskCrashes is what is held against a task under which upstreams have crashed; see package
// crashes.
type TaskCrashes struct {
	Occurrence, Step, Index int
	Certain, Uncertain      int
	Shared                  int
	BlamePercent            int
	Alone                   bool
	AgeMS                   int64
	// Observed says that the upstreams were seen to end. Former releases, which do not write
	// it, counted upstreams that were cut off as well.
	Observed bool
}

// appendCrashes appends the crashes to a job's encoded state. Entries of a former release
// ignore what follows the state. more says that another value follows.
func appendCrashes(value []byte, crashes []TaskCrashes, more bool) ([]byte, error) {
	if len(crashes) == 0 && !more {
		return value, nil
	}
	data, err := msgpack.Marshal(crashes)
	if err != nil {
		return nil, fmt.Errorf("ledger: cannot encode the crashes of %d tasks: %w", len(crashes), err)
	}
	return append(value, data...), nil
}

// decodeState decodes a job's state, and the crashes and the series that follow it.
func decodeState(r Record, into *JobState) error {
	rest, err := decodePrefix(r, into)
	if err != nil || len(rest) == 0 {
		return err
	}
	crashes := rest
	if rest, err = splitValue(crashes); err == nil {
		err = msgpack.Unmarshal(crashes, &into.Crashes)
	}
	if err == nil && len(rest) > 0 {
		err = decodeSeries(rest, into)
	}
	if err != nil {
		return unreadable(r, err)
	}
	return nil
}
