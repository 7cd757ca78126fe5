// Package apiclient is the client of the /v1 HTTP interface of an entry, for
// callers and operators.
package apiclient
