package config

import (
	"errors"
	"fmt"
)

// Outcome is what became of a record.
type Outcome string

// The outcomes of a record.
const (
	Accepted  Outcome = "accepted"
	Conflict  Outcome = "conflict"
	Duplicate Outcome = "duplicate"
	Invalid   Outcome = "invalid"
	// Skipped records are of a kind that this release does not know.
	Skipped Outcome = "skipped"
)

// Result tells what became of a record. Only an accepted one changed the
// state.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Current is the present version of the object, for a conflict.
	Current int64 `json:"current,omitempty"`
	// Field and Remedy are set for an invalid record.
	Field  string `json:"field,omitempty"`
	Remedy string `json:"remedy,omitempty"`
}

// ConflictError says that the object has changed since the writer read it.
type ConflictError struct {
	// Current is the object's version; NoVersion when it does not exist.
	Current int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: the object is at version %d; read it again and repeat the change on it", e.Current)
}

// InvalidError says that a field of a record can't be accepted.
type InvalidError struct {
	Field  string
	Remedy string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("config: invalid %s; %s", e.Field, e.Remedy)
}

// ErrSkipped says that this release does not know the kind of the record.
var ErrSkipped = errors.New("config: unknown kind of record; upgrade the entries first")

// Err returns nil for an accepted or duplicate record, otherwise a
// *ConflictError, an *InvalidError or ErrSkipped.
func (r Result) Err() error {
	switch r.Outcome {
	case Conflict:
		return &ConflictError{Current: r.Current}
	case Invalid:
		return &InvalidError{Field: r.Field, Remedy: r.Remedy}
	case Skipped:
		return ErrSkipped
	case Accepted, Duplicate:
		return nil
	}
	return nil
}

func accepted() Result { return Result{Outcome: Accepted} }

func invalid(field, remedy string) Result {
	return Result{Outcome: Invalid, Field: field, Remedy: remedy}
}
