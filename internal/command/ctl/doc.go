// Package ctl is the command line of operators and callers. Each command is
// thin: it checks its arguments, makes calls through package apiclient, and
// prints what they return.
package ctl
