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

// Columns lists the table's columns in order.
var Columns = []string{"workspace", "weight", "rate", "burst", "max_queue", "note"}

const (
	header        = "workspace,weight,rate,burst,max_queue,note"
	byteOrderMark = "\uFEFF"

	// MaxTableBytes bounds a table: 20,000 rows with notes of 500 bytes.
	MaxTableBytes = 12 << 20
	// maxTableFaults bounds the faults of one table; a table with the wrong
	// separator would otherwise repeat one message for each row.
	maxTableFaults = 100

	// formulaPrefixes are first characters that make a spreadsheet interpret a
	// cell as a formula or drop that character. FormatTable puts an apostrophe in
	// front of notes that start with one, and ParseTable removes it.
	formulaPrefixes = "=+-@'\t"
)

// decimalComma matches numbers written with a decimal comma, as spreadsheets do
// in some locales.
var decimalComma = regexp.MustCompile(`^[+-]?[0-9.]*,[0-9]+$`)

// FormatTable returns all workspaces as CSV, ordered by name, with LF line endings.
func FormatTable(s *Snapshot) []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	_ = w.Write(Columns) // writing to a buffer cannot fail
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
	if note != "" && strings.ContainsRune(formulaPrefixes, rune(note[0])) {
		return "'" + note
	}
	return note
}

func unprotectNote(cell string) string {
	if len(cell) > 1 && cell[0] == '\'' && strings.ContainsRune(formulaPrefixes, rune(cell[1])) {
		return cell[1:]
	}
	return cell
}

// ParseTable parses a table as saved by spreadsheets: it accepts a byte order
// mark, CRLF, quoting, empty rows and empty trailing columns. file is used only
// in error messages. The error is of type Faults. Parsing stops after the row with
// which the number of problems reaches maxTableFaults.
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
			p.addSyntaxFault(err)
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
	file        string
	headerWidth int // columns of the header, including empty trailing ones
	rows        []Workspace
	rowOf       map[string]int // first row of each workspace
	faults      Faults
}

func (p *tableParser) add(f Fault) {
	f.File = p.file
	p.faults = append(p.faults, f)
}

// checkEncoding checks the size and the encoding of the file.
func (p *tableParser) checkEncoding(data []byte) (Fault, bool) {
	switch {
	case len(data) > MaxTableBytes:
		return Fault{File: p.file, Problem: fmt.Sprintf("table of %d bytes is too large", len(data)), Allowed: fmt.Sprintf("%d bytes", MaxTableBytes)}, false
	case !utf8.Valid(data):
		row := 1 + bytes.Count(data[:firstInvalidByte(data)], []byte("\n"))
		return Fault{File: p.file, Row: row, Problem: "not UTF-8; save the sheet as CSV UTF-8", Allowed: "UTF-8"}, false
	default:
		return Fault{}, true
	}
}

// firstInvalidByte returns the offset of the first byte that is not valid UTF-8.
func firstInvalidByte(data []byte) int {
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

func (p *tableParser) addSyntaxFault(err error) {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		p.add(Fault{Row: parse.Line, Problem: "not valid CSV: " + parse.Err.Error()})
		return
	}
	p.add(Fault{Problem: "not valid CSV: " + err.Error()})
}

// header checks the header row and reports whether the remaining rows can be parsed.
func (p *tableParser) header(row int, record []string) bool {
	line := strings.Join(record, ",")
	for separator, name := range map[string]string{";": "semicolon", "\t": "tab"} {
		if strings.Contains(record[0], separator) {
			p.add(Fault{Row: row, Value: line, Problem: "columns are separated by " + name + "; use a comma", Allowed: header})
			return false
		}
	}
	p.headerWidth = len(record)
	record = trimTrailingEmpty(record, len(Columns))
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

// trimTrailingEmpty removes empty cells after the first wanted ones.
func trimTrailingEmpty(record []string, wanted int) []string {
	for len(record) > wanted && strings.TrimSpace(record[len(record)-1]) == "" {
		record = record[:len(record)-1]
	}
	return record
}

// record parses one row. Spreadsheets save all rows with the width of the header;
// a wider row contains an unquoted comma, such as a decimal comma, even if its
// last cell is empty.
func (p *tableParser) record(row int, record []string) {
	wider := len(record) > p.headerWidth
	if !wider {
		record = trimTrailingEmpty(record, len(Columns))
	}
	if wider || len(record) != len(Columns) {
		p.add(columnFault(row, record))
		return
	}
	before := len(p.faults)
	w := Workspace{Name: strings.TrimSpace(record[0]), Note: unprotectNote(record[5])}
	w.Weight = p.parseNumber(row, 1, record[1], MinWeight, MaxWeight)
	w.Rate = p.parseNumber(row, 2, record[2], MinRate, MaxRate)
	w.Burst = p.parseNumber(row, 3, record[3], MinBurst, MaxBurst)
	w.MaxQueue = int(p.parseNumber(row, 4, record[4], MinQueue, MaxQueue))
	if len(p.faults) > before {
		return
	}
	p.addRow(row, w)
}

// addRow validates a row in the same way as Validate and adds it.
func (p *tableParser) addRow(row int, w Workspace) {
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

func (p *tableParser) parseNumber(row, column int, cell string, low, high float64) float64 {
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

// isDecimal rejects notations that ParseFloat accepts and spreadsheets do not
// produce: hexadecimal, underscores, inf and nan.
func isDecimal(text string) bool {
	return strings.Trim(text, "0123456789.+-eE") == ""
}
