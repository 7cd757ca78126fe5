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
	// cellPadding is the number of spaces between two columns.
	cellPadding = 2
	emptyCell   = "-"
)

// table writes aligned columns. Sections are separated by empty lines.
type table struct {
	writer  *tabwriter.Writer
	started bool
}

func newTable(out io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(out, 0, 0, cellPadding, ' ', 0)}
}

// section starts a section with its own column headings.
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

// cell formats a value on one line; text with control characters is quoted.
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

// joinValues joins values with commas.
func joinValues[T ~string](values []T) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	return strings.Join(texts, ",")
}

// print writes a response to standard output: as JSON with --output json, otherwise
// as the table that draw fills.
func (s *session) print(message any, draw func(*table)) error {
	if s.json {
		return writeJSON(s.streams.Out, message)
	}
	t := newTable(s.streams.Out)
	draw(t)
	if err := t.writer.Flush(); err != nil {
		return eris.Wrap(err, "can't write the output; check where standard output goes")
	}
	return nil
}

func writeJSON(out io.Writer, message any) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(message); err != nil {
		return eris.Wrap(err, "can't write the output; check where standard output goes")
	}
	return nil
}
