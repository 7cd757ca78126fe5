// Package retry bounds the retries along the path of a submission. A
// submission carries the number of retries that all hops together may still
// make; a hop that forwards it lends a part of that number. A token bucket
// bounds the retries of an entry as a fraction of its requests.
package retry
