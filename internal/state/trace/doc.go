// Package trace reads, writes and generates traces: recordings of what callers and the
// platform did to a cell, in order of time. docs/TRACES.md describes the format.
package trace
