package config

import (
	"errors"
	"fmt"
)

// Outcome is the outcome of folding a record.
type Outcome string

// The outcomes of a record.
const (
	Accepted  Outcome = "accepted"
	Conflict  Outcome = "conflict"
	Duplicate Outcome = "duplicate"
	Invalid   Outcome = "invalid"
	// Skipped is the outcome of a record whose kind is unknown to this release.
	Skipped Outcome = "skipped"
)

// Result is the result of folding a record. Only an accepted record changes the
// state.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Current is the current version of the object; set for a conflict only.
	Current int64 `json:"current,omitempty"`
	// Field is the invalid field and Remedy what to change; set for an invalid
	// record only.
	Field  string `json:"field,omitempty"`
	Remedy string `json:"remedy,omitempty"`
}

// ConflictError is returned when an object has changed since the writer read it.
type ConflictError struct {
	// Current is the object's version, or NoVersion if it does not exist.
	Current int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: the object is at version %d; read it again and repeat the change on it", e.Current)
}

// InvalidError is returned when a field of a record is invalid.
type InvalidError struct {
	Field  string
	Remedy string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("config: invalid %s; %s", e.Field, e.Remedy)
}

// ErrSkipped is returned for a record whose kind is unknown to this release.
var ErrSkipped = errors.New("config: unknown kind of record; upgrade the entries first")

// Err returns nil for an accepted or duplicate record, and otherwise a
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
