// Package standin provides small stand-ins for the platform that samphirerail runs on: a
// log service, a VM list and workers, with switches for fault injection. They are for
// development, tests and measurements.
package standin
