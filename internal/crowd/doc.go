// Package crowd holds tests with crowds of callers that do not behave: unfinished, oversized and
// malformed requests, and connections that are held open. They run entries as processes of their
// own with a lowered memory and few descriptors, and check that the processes live, that memory
// and descriptors stay under the machine's limits, and that an ordinary request is answered while
// the crowd holds. The package has no code outside its tests.
package crowd
