// Package standin groups small stand-ins for the platform that samphirerail
// runs on: a log service, a VM list and workers, with switches that make them
// fail. They serve development, tests and measurements.
package standin
