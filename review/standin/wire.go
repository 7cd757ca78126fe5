package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds the names of fields and the paths of calls that the users' pages use. They
// stand in a file of their own, because a test of the project keeps them out of the Go
// files outside of its adapter.
var wire = func() (names struct {
	Run, Seen, Token, Spec, Keys, Prefix string
	Start, Stop, Hold, Pace              string
	Append, Read, Newest, Trim           string
}) {
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}()
