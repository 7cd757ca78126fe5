package ctl

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	contractSuffix = ".toml"
	limitKey       = "limit"
	limitPrefix    = limitKey + "."
)

// contractFile is a contract kept in a file.
type contractFile struct {
	name     string
	contract v1.Contract
}

// fault is one thing that is wrong in a file.
type fault struct {
	file string
	// key is empty when the file as a whole is wrong.
	key     string
	problem string
	remedy  string
}

func (f *fault) line() string {
	where := f.file
	if f.key != "" {
		where += ": " + f.key
	}
	return oneLine(fmt.Sprintf("%s: %s; %s", where, f.problem, f.remedy))
}

// faultsError holds everything that is wrong in the files.
type faultsError struct {
	faults []fault
}

// Error renders all faults.
func (e *faultsError) Error() string { return strings.Join(e.lines(), "\n") }

func (e *faultsError) exitCode() int { return ExitInvalid }

func (e *faultsError) lines() []string {
	lines := make([]string, len(e.faults))
	for i := range e.faults {
		lines[i] = e.faults[i].line()
	}
	return lines
}

// loadContract reads one contract. It fails with a *faultsError.
func loadContract(name string) (contractFile, error) {
	file, faults := readContract(name, name)
	if len(faults) > 0 {
		return file, &faultsError{faults: faults}
	}
	return file, nil
}

// loadContracts reads all contracts below a directory in the order of their
// names. It fails with a *faultsError that holds the faults of all files.
func loadContracts(directory string) ([]contractFile, error) {
	names, err := contractNames(directory)
	if err != nil {
		return nil, &usageError{problem: "can't read the directory: " + err.Error(), remedy: "give a readable directory with -f"}
	}
	if len(names) == 0 {
		return nil, &usageError{problem: "no file *" + contractSuffix + " in " + directory, remedy: "give the directory of the contracts with -f"}
	}
	var files []contractFile
	var faults []fault
	for _, name := range names {
		file, wrong := readContract(directory, name)
		files = append(files, file)
		faults = append(faults, wrong...)
	}
	faults = append(faults, sameTeams(files)...)
	if len(faults) > 0 {
		return nil, &faultsError{faults: faults}
	}
	return files, nil
}

func contractNames(directory string) ([]string, error) {
	var names []string
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(path) == contractSuffix {
			names = append(names, path)
		}
		return err
	})
	return names, err
}

func sameTeams(files []contractFile) []fault {
	var faults []fault
	seen := make(map[state.TeamID]string, len(files))
	for _, file := range files {
		team := file.contract.Team
		first, found := seen[team]
		switch {
		case team == "":
		case found:
			faults = append(faults, fault{file: file.name, key: "team", problem: "names the team of " + first + " again", remedy: "keep one file for each team"})
		default:
			seen[team] = file.name
		}
	}
	return faults
}

// readContract reads a file, whose name is shown relative to base.
func readContract(base, path string) (contractFile, []fault) {
	name := path
	if relative, err := filepath.Rel(base, path); err == nil && relative != "." {
		name = relative
	}
	reader := &contractReader{file: contractFile{name: name}}
	content, err := os.ReadFile(path)
	if err != nil {
		reader.fault("", "can't be read: "+err.Error(), "make the file readable")
		return reader.file, reader.faults
	}
	reader.read(string(content))
	reader.file.contract = normalise(reader.file.contract)
	return reader.file, reader.faults
}

// contractReader collects the faults of one file.
type contractReader struct {
	file   contractFile
	meta   toml.MetaData
	faults []fault
}

func (r *contractReader) fault(key, problem, remedy string) {
	r.faults = append(r.faults, fault{file: r.file.name, key: key, problem: problem, remedy: remedy})
}

// read takes the file apart first, so that one wrong value does not hide the
// next.
func (r *contractReader) read(content string) {
	var keys map[string]toml.Primitive
	meta, err := toml.Decode(content, &keys)
	if err != nil {
		r.fault("", "is not valid TOML: "+parseProblem(err), "correct the file")
		return
	}
	r.meta = meta
	if limit, ok := keys[limitKey]; ok {
		r.flattenLimit(keys, limit)
	}
	for i := range contractFields {
		r.readField(keys, &contractFields[i])
		delete(keys, contractFields[i].key)
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		r.fault(key, "is not a key of a contract", "remove it or correct its name")
	}
}

func (r *contractReader) flattenLimit(keys map[string]toml.Primitive, limit toml.Primitive) {
	delete(keys, limitKey)
	var parts map[string]toml.Primitive
	if err := r.meta.PrimitiveDecode(limit, &parts); err != nil {
		r.fault(limitKey, "is not a table", "write the limit as [limit] with its keys below")
		return
	}
	for key, value := range parts {
		keys[limitPrefix+key] = value
	}
}

func (r *contractReader) readField(keys map[string]toml.Primitive, field *contractField) {
	value, ok := keys[field.key]
	if !ok {
		if !field.optional {
			r.fault(field.key, "is missing", "add it")
		}
		return
	}
	if err := r.meta.PrimitiveDecode(value, field.pointer(&r.file.contract)); err != nil {
		r.fault(field.key, "has the wrong type: "+parseProblem(err), "write a value of the documented type")
		return
	}
	var wrong *v1.FieldError
	if errors.As(field.check(&r.file.contract), &wrong) {
		r.fault(wrong.Field, wrong.Problem, wrong.Remedy)
	}
}

func parseProblem(err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fmt.Sprintf("line %d: %s", parse.Position.Line, parse.Message)
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}
