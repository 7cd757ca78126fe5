// Package retry bounds the retries along the path of a submission. A submission carries
// a retry budget: the number of retries that all hops together may still make. A hop
// that forwards the submission lends a part of the budget to the next hop. In addition,
// a token bucket limits the retries of an entry to a fraction of its requests.
package retry
