// Package httpapi serves the HTTP API of an entry (/v1, for callers and
// operators) and the monitoring endpoints (metrics and health checks). It
// authenticates keys, enforces limits, validates messages, and passes valid
// calls to a coordination.JobService or an Operations.
package httpapi
