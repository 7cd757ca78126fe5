package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/rotisserie/eris"
)

const (
	// cellPadding is the space between two columns.
	cellPadding = 2
	emptyCell   = "-"
)

// table writes rows in columns. Sections are divided by empty lines.
type table struct {
	writer  *tabwriter.Writer
	started bool
}

func newTable(out io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(out, 0, 0, cellPadding, ' ', 0)}
}

// section begins a part with its own columns.
func (t *table) section(header ...string) {
	if t.started {
		_, _ = fmt.Fprintln(t.writer)
	}
	t.started = true
	t.line(header)
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, value := range cells {
		texts[i] = cell(value)
	}
	t.line(texts)
}

func (t *table) line(texts []string) {
	_, _ = fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

// cell renders a value on one line without tabs.
func cell(value any) string {
	text := fmt.Sprint(value)
	switch {
	case text == "":
		return emptyCell
	case strings.ContainsFunc(text, unicode.IsControl):
		return strconv.Quote(text)
	}
	return text
}

func joined[T ~string](values []T) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	return strings.Join(texts, ",")
}

// print writes a message: as JSON, or as the table that draw makes of it.
func (s *session) print(message any, draw func(*table)) error {
	if s.json {
		return writeJSON(s.streams.Out, message)
	}
	t := newTable(s.streams.Out)
	draw(t)
	if err := t.writer.Flush(); err != nil {
		return eris.Wrap(err, "the output can't be written; check where it goes")
	}
	return nil
}

func writeJSON(out io.Writer, message any) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(message); err != nil {
		return eris.Wrap(err, "the output can't be written; check where it goes")
	}
	return nil
}
