// Package telemetry sets up the logger and the tracer of a process.
package telemetry

import (
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
)

// NewLogger returns a logger that writes one line with key=value pairs per event to
// out. level is an hclog level such as "info". Line breaks in messages and values are
// escaped.
func NewLogger(name, level string, out io.Writer) hclog.Logger {
	inner := hclog.New(&hclog.LoggerOptions{
		Name:              name,
		Level:             hclog.LevelFromString(level),
		Output:            out,
		IncludeLocation:   false,
		DisableTime:       false,
		TimeFormat:        "2006-01-02T15:04:05.000Z07:00",
		TimeFn:            func() time.Time { return time.Now().UTC() },
		IndependentLevels: false,
	})
	return &lineLogger{Logger: inner}
}

// lineLogger escapes messages and values that hclog would write on several lines.
type lineLogger struct{ hclog.Logger }

func (l *lineLogger) Log(level hclog.Level, msg string, args ...any) {
	l.Logger.Log(level, oneLine(msg), escape(args)...)
}

func (l *lineLogger) Trace(msg string, args ...any) { l.Log(hclog.Trace, msg, args...) }
func (l *lineLogger) Debug(msg string, args ...any) { l.Log(hclog.Debug, msg, args...) }
func (l *lineLogger) Info(msg string, args ...any)  { l.Log(hclog.Info, msg, args...) }
func (l *lineLogger) Warn(msg string, args ...any)  { l.Log(hclog.Warn, msg, args...) }
func (l *lineLogger) Error(msg string, args ...any) { l.Log(hclog.Error, msg, args...) }

func (l *lineLogger) With(args ...any) hclog.Logger {
	return &lineLogger{Logger: l.Logger.With(escape(args)...)}
}

func (l *lineLogger) Named(name string) hclog.Logger {
	return &lineLogger{Logger: l.Logger.Named(name)}
}

func (l *lineLogger) ResetNamed(name string) hclog.Logger {
	return &lineLogger{Logger: l.Logger.ResetNamed(name)}
}

// escape returns a copy of args with line breaks in values escaped.
func escape(args []any) []any {
	out := make([]any, len(args))
	for i, arg := range args {
		out[i] = escapeValue(arg)
	}
	return out
}

func escapeValue(arg any) any {
	switch v := arg.(type) {
	case string:
		return oneLine(v)
	case error:
		return oneLine(v.Error())
	case fmt.Stringer:
		return oneLine(v.String())
	case []byte:
		return oneLine(string(v))
	}
	if v := reflect.ValueOf(arg); v.Kind() == reflect.String {
		return oneLine(v.String()) // names have types of their own
	}
	return arg
}

// oneLine escapes s as a Go string without quotes if it contains line breaks.
func oneLine(s string) string {
	if !strings.ContainsAny(s, "\n\r") {
		return s
	}
	quoted := strconv.Quote(s)
	return quoted[1 : len(quoted)-1]
}
