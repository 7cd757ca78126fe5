package e2e

import (
	"errors"
	"strconv"
)

var errNotYet = errors.New("not yet")

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
