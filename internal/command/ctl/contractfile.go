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

// contractFile is a contract that was read from a file.
type contractFile struct {
	name     string
	contract v1.Contract
}

// fault is a validation error in a contract file.
type fault struct {
	file string
	// key is the TOML key; empty if the fault concerns the whole file.
	key     string
	problem string
	remedy  string
}

func (f *fault) line() string {
	location := f.file
	if f.key != "" {
		location += ": " + f.key
	}
	return oneLine(fmt.Sprintf("%s: %s; %s", location, f.problem, f.remedy))
}

// faultsError holds all faults of the contract files.
type faultsError struct {
	faults []fault
}

// Error returns all faults, one on a line.
func (e *faultsError) Error() string { return strings.Join(e.lines(), "\n") }

func (e *faultsError) exitCode() int { return ExitInvalid }

func (e *faultsError) lines() []string {
	lines := make([]string, len(e.faults))
	for i := range e.faults {
		lines[i] = e.faults[i].line()
	}
	return lines
}

// loadContract reads the contract in the file name. The error is a *faultsError.
func loadContract(name string) (contractFile, error) {
	file, faults := readContract(name, name)
	if len(faults) > 0 {
		return file, &faultsError{faults: faults}
	}
	return file, nil
}

// loadContracts reads all contract files below a directory, in lexical order of
// their paths. The error is a *usageError if there is no readable file list, or a
// *faultsError that holds the faults of all files.
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
		file, fileFaults := readContract(directory, name)
		files = append(files, file)
		faults = append(faults, fileFaults...)
	}
	faults = append(faults, duplicateTeams(files)...)
	if len(faults) > 0 {
		return nil, &faultsError{faults: faults}
	}
	return files, nil
}

func contractNames(directory string) ([]string, error) {
	var names []string
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(path) == contractSuffix && path != filepath.Join(directory, evacuationFile) {
			names = append(names, path)
		}
		return err
	})
	return names, err
}

// duplicateTeams returns a fault for each file that names the team of an earlier file.
func duplicateTeams(files []contractFile) []fault {
	var faults []fault
	fileByTeam := make(map[state.TeamID]string, len(files))
	for _, file := range files {
		team := file.contract.Team
		first, found := fileByTeam[team]
		switch {
		case team == "":
		case found:
			faults = append(faults, fault{file: file.name, key: "team", problem: "names the same team as " + first + ", an earlier file", remedy: "keep one file for each team"})
		default:
			fileByTeam[team] = file.name
		}
	}
	return faults
}

// readContract reads a contract file. Faults show its path relative to base.
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
	reader.parse(string(content))
	reader.file.contract = normalise(reader.file.contract)
	return reader.file, reader.faults
}

// contractReader parses one contract file and collects its faults.
type contractReader struct {
	file   contractFile
	meta   toml.MetaData
	faults []fault
}

func (r *contractReader) fault(key, problem, remedy string) {
	r.faults = append(r.faults, fault{file: r.file.name, key: key, problem: problem, remedy: remedy})
}

// parse decodes each key separately, so that an invalid value does not hide the
// faults of later keys.
func (r *contractReader) parse(content string) {
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

// flattenLimit replaces the limit table in keys by its entries, as "limit.<key>".
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
	var fieldErr *v1.FieldError
	if errors.As(field.check(&r.file.contract), &fieldErr) {
		r.fault(fieldErr.Field, fieldErr.Problem, fieldErr.Remedy)
	}
}

// parseProblem returns the message of a TOML error without the prefix of the library.
func parseProblem(err error) string {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return fmt.Sprintf("line %d: %s", parseErr.Position.Line, parseErr.Message)
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}
