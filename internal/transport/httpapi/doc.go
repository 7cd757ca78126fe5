// Package httpapi serves the callers' and operators' HTTP interface (/v1) and
// the listener for metrics and health checks. It checks keys, limits and
// messages, and hands the work to a coordination.JobService or an Operations.
package httpapi
