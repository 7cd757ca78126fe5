// Package devplatform states the protocol that samphirerail assumes of the
// platform it runs on: the append-only log service, the list of VMs, and the
// workers (runners on upstream VMs). It holds the wire types, the typed errors
// and one small interface per port. It has no implementation: the HTTP clients
// live in the product and the stand-ins beside it.
//
// docs/PLATFORM.md lists every assumption behind these types.
package devplatform
