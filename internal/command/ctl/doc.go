// Package ctl implements samphirectl, the command line for operators and callers.
// Each command validates its arguments, calls an entry through package apiclient
// and prints the response.
package ctl
