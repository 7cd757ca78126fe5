package faults

import (
	"bytes"
	"net/http"
)

// recorder is an http.ResponseWriter that buffers a reply, so that the gate can drop or
// truncate it.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder() *recorder {
	return &recorder{header: http.Header{}, status: http.StatusOK}
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) { r.status = status }

func (r *recorder) Write(data []byte) (int, error) { return r.body.Write(data) }
