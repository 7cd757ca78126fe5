// Package e2e holds the end-to-end tests. They run the binaries as separate
// processes on loopback, inject faults, and check what workers ran against the
// responses that callers received. The package has no code outside its tests.
package e2e
