// Package apiclient is a client of the /v1 HTTP API of an entry, for callers and
// operators.
package apiclient
