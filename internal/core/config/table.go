package config

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Columns are the table's columns in order.
var Columns = []string{"workspace", "weight", "rate", "burst", "max_queue", "note"}

const (
	header        = "workspace,weight,rate,burst,max_queue,note"
	byteOrderMark = "\uFEFF"

	// MaxTableBytes bounds a table: 20,000 rows with notes of 500 bytes.
	MaxTableBytes = 12 << 20
	// maxTableFaults bounds the faults of one table; a table with the wrong
	// separator would otherwise repeat one message for each row.
	maxTableFaults = 100

	// formulaStarts are the characters that make a spreadsheet read a cell as
	// a formula or drop the first character. Notes that start with one are
	// written with an apostrophe in front, which ParseTable removes.
	formulaStarts = "=+-@'\t"
)

// decimalComma matches numbers as spreadsheets with a comma for the decimal
// point write them.
var decimalComma = regexp.MustCompile(`^[+-]?[0-9.]*,[0-9]+$`)

// FormatTable writes all workspaces as CSV, ordered by name, with LF line ends.
func FormatTable(s *Snapshot) []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	_ = w.Write(Columns) // writes to a buffer do not fail
	for _, name := range sortedKeys(s.Workspaces) {
		_ = w.Write(s.Workspaces[name].record())
	}
	w.Flush()
	return out.Bytes()
}

func (w Workspace) record() []string {
	return []string{
		w.Name, formatNumber(w.Weight), formatNumber(w.Rate), formatNumber(w.Burst),
		strconv.Itoa(w.MaxQueue), protectNote(w.Note),
	}
}

func protectNote(note string) string {
	if note != "" && strings.ContainsRune(formulaStarts, rune(note[0])) {
		return "'" + note
	}
	return note
}

func unprotectNote(cell string) string {
	if len(cell) > 1 && cell[0] == '\'' && strings.ContainsRune(formulaStarts, rune(cell[1])) {
		return cell[1:]
	}
	return cell
}

// ParseTable reads a table as spreadsheets write it: a byte order mark, CRLF,
// quoting, empty rows and empty columns at the end are accepted. file is only
// named in faults. All problems are returned at once as Faults.
func ParseTable(file string, data []byte) ([]Workspace, error) {
	p := &tableParser{file: file, rowOf: map[string]int{}}
	if fault, ok := p.checkEncoding(data); !ok {
		return nil, Faults{fault}
	}
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	r := csv.NewReader(bytes.NewReader(data))
	r.FieldsPerRecord = -1
	first := true
	for len(p.faults) < maxTableFaults {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.syntax(err)
			break
		}
		row, _ := r.FieldPos(0)
		if isEmpty(record) {
			continue
		}
		if first && !p.header(row, record) {
			break
		}
		if !first {
			p.record(row, record)
		}
		first = false
	}
	if first && len(p.faults) == 0 {
		p.add(Fault{Row: 1, Problem: "no header", Allowed: header})
	}
	if err := p.faults.orNil(); err != nil {
		return nil, err
	}
	return p.rows, nil
}

type tableParser struct {
	file   string
	width  int // columns of the header, with empty ones at its end
	rows   []Workspace
	rowOf  map[string]int // row of each workspace seen
	faults Faults
}

func (p *tableParser) add(f Fault) {
	f.File = p.file
	p.faults = append(p.faults, f)
}

func (p *tableParser) checkEncoding(data []byte) (Fault, bool) {
	switch {
	case len(data) > MaxTableBytes:
		return Fault{File: p.file, Problem: fmt.Sprintf("table of %d bytes is too large", len(data)), Allowed: fmt.Sprintf("%d bytes", MaxTableBytes)}, false
	case !utf8.Valid(data):
		row := 1 + bytes.Count(data[:firstInvalid(data)], []byte("\n"))
		return Fault{File: p.file, Row: row, Problem: "not UTF-8; save the sheet as CSV UTF-8", Allowed: "UTF-8"}, false
	default:
		return Fault{}, true
	}
}

func firstInvalid(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return len(data)
}

func isEmpty(record []string) bool {
	for _, cell := range record {
		if strings.TrimSpace(cell) != "" {
			return false
		}
	}
	return true
}

func (p *tableParser) syntax(err error) {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		p.add(Fault{Row: parse.Line, Problem: "not valid CSV: " + parse.Err.Error()})
		return
	}
	p.add(Fault{Problem: "not valid CSV: " + err.Error()})
}

// header checks the first row and reports whether the rest can be read.
func (p *tableParser) header(row int, record []string) bool {
	line := strings.Join(record, ",")
	for separator, name := range map[string]string{";": "semicolon", "\t": "tab"} {
		if strings.Contains(record[0], separator) {
			p.add(Fault{Row: row, Value: line, Problem: "columns are separated by " + name + "; use a comma", Allowed: header})
			return false
		}
	}
	p.width = len(record)
	record = trimEmptyEnd(record, len(Columns))
	if len(record) != len(Columns) {
		p.add(Fault{Row: row, Value: line, Problem: fmt.Sprintf("%d columns in the header", len(record)), Allowed: header})
		return false
	}
	ok := true
	for i, want := range Columns {
		if strings.TrimSpace(record[i]) != want {
			p.add(Fault{Row: row, Column: want, Value: record[i], Problem: "wrong column name", Allowed: want})
			ok = false
		}
	}
	return ok
}

// trimEmptyEnd removes empty cells behind the wanted columns.
func trimEmptyEnd(record []string, wanted int) []string {
	for len(record) > wanted && strings.TrimSpace(record[len(record)-1]) == "" {
		record = record[:len(record)-1]
	}
	return record
}

// record reads one row. Spreadsheets write all rows as wide as the header; a
// wider row has an unquoted decimal comma, even when its last cell is empty.
func (p *tableParser) record(row int, record []string) {
	wider := len(record) > p.width
	if !wider {
		record = trimEmptyEnd(record, len(Columns))
	}
	if wider || len(record) != len(Columns) {
		p.add(columnFault(row, record))
		return
	}
	before := len(p.faults)
	w := Workspace{Name: strings.TrimSpace(record[0]), Note: unprotectNote(record[5])}
	w.Weight = p.number(row, 1, record[1], MinWeight, MaxWeight)
	w.Rate = p.number(row, 2, record[2], MinRate, MaxRate)
	w.Burst = p.number(row, 3, record[3], MinBurst, MaxBurst)
	w.MaxQueue = int(p.number(row, 4, record[4], MinQueue, MaxQueue))
	if len(p.faults) > before {
		return
	}
	p.checked(row, w)
}

// checked adds a row after the same checks that Validate makes.
func (p *tableParser) checked(row int, w Workspace) {
	var faults Faults
	w.check(w.Name, &faults)
	for _, f := range faults {
		column := f.Field
		if column == "name" {
			column = "workspace"
		}
		p.add(Fault{Row: row, Column: column, Value: f.Value, Problem: f.Problem, Allowed: f.Allowed})
	}
	if first, ok := p.rowOf[w.Name]; ok {
		p.add(Fault{Row: row, Column: "workspace", Value: w.Name, Problem: fmt.Sprintf("duplicate row, first in row %d", first), Allowed: "one row for each workspace"})
		return
	}
	p.rowOf[w.Name] = row
	p.rows = append(p.rows, w)
}

func columnFault(row int, record []string) Fault {
	problem := fmt.Sprintf("%d columns instead of %d", len(record), len(Columns))
	switch {
	case len(record) == 1 && strings.Contains(record[0], ";"):
		problem += "; columns are separated by semicolon, use a comma"
	case len(record) > len(Columns):
		problem += "; write numbers with a decimal point and put notes with commas in quotes"
	}
	return Fault{Row: row, Value: strings.Join(record, ","), Problem: problem, Allowed: header}
}

func (p *tableParser) number(row, column int, cell string, low, high float64) float64 {
	text := strings.TrimSpace(cell)
	whole := Columns[column] == "max_queue"
	f := Fault{Row: row, Column: Columns[column], Value: cell, Allowed: rangeText(low, high)}
	if whole {
		f.Allowed = "whole number, " + f.Allowed
	}
	v, err := strconv.ParseFloat(text, 64)
	switch {
	case text == "":
		f.Problem = "empty cell"
	case decimalComma.MatchString(text):
		f.Problem = "decimal comma; write a decimal point"
	case err != nil || !isDecimal(text):
		f.Problem = "not a number"
	case whole && v != float64(int64(v)):
		f.Problem = "not a whole number"
	case !(v >= low && v <= high):
		f.Problem = "out of range"
	default:
		return v
	}
	p.add(f)
	return 0
}

// isDecimal refuses forms that ParseFloat takes and spreadsheets do not write:
// hexadecimal, underscores, inf and nan.
func isDecimal(text string) bool {
	return strings.Trim(text, "0123456789.+-eE") == ""
}
