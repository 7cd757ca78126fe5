// Package devplatform defines the protocol that samphirerail expects from the platform it
// runs on: the append-only log service, the list of VMs, and the workers (runners on
// upstream VMs). It contains the wire types, the typed errors and one small interface for
// each of the three services. It contains no implementation: the HTTP clients are in the
// main module, and the stand-ins in the neighbouring packages.
//
// docs/PLATFORM.md lists all assumptions behind these types.
package devplatform
