// Package e2e holds the tests that run the binaries as separate processes on
// loopback, make them fail, and judge from what workers ran and callers were
// told. It has no code outside its tests.
package e2e
