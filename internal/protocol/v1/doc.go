// Package v1 defines version 1 of the JSON messages between callers or operators and
// an entry, their validation, and their conversion to and from the types of the
// coordination layer. Durations are in whole milliseconds.
package v1
