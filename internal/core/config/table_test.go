package config

import (
	"bytes"
	"encoding/csv"
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const headerLine = "workspace,weight,rate,burst,max_queue,note\n"

func rowsOf(s *Snapshot) []Workspace {
	var rows []Workspace
	for _, name := range sortedKeys(s.Workspaces) {
		rows = append(rows, s.Workspaces[name])
	}
	return rows
}

func drawWorkspace(t *rapid.T, name string) Workspace {
	note := rapid.StringOfN(rapid.RuneFrom([]rune("aé=+-@'\t\n\",; ệ1")), 0, 12, -1).Draw(t, "note")
	return Workspace{
		Name:     name,
		Weight:   float64(rapid.IntRange(1, 1e6).Draw(t, "weight")) / 1000,
		Rate:     float64(rapid.IntRange(1, 1e9).Draw(t, "rate")) / 1000,
		Burst:    float64(rapid.IntRange(10, 1e6).Draw(t, "burst")) / 10,
		MaxQueue: rapid.IntRange(MinQueue, MaxQueue).Draw(t, "queue"),
		Note:     strings.ReplaceAll(note, "\t", ""),
	}
}

// saveInSpreadsheet rewrites a table as spreadsheets save it: with a byte order
// mark, CRLF, every cell quoted, and an empty trailing column and row.
func saveInSpreadsheet(data []byte) []byte {
	records, _ := csv.NewReader(bytes.NewReader(data)).ReadAll()
	out := byteOrderMark
	for _, record := range records {
		for i, cell := range record {
			record[i] = `"` + strings.ReplaceAll(cell, `"`, `""`) + `"`
		}
		out += strings.Join(record, ",") + ",\r\n"
	}
	return []byte(out + ",,,,,,\r\n")
}

// Guards against a row that changes when a table is exported, saved in a
// spreadsheet and imported again.
func TestTableRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := EmptySnapshot()
		for _, name := range rapid.SliceOfDistinct(rapid.StringMatching(`[a-z][a-z0-9._-]{0,10}`), rapid.ID).Draw(t, "names") {
			s.Workspaces[name] = drawWorkspace(t, name)
		}
		for _, data := range [][]byte{FormatTable(s), saveInSpreadsheet(FormatTable(s))} {
			rows, err := ParseTable("t.csv", data)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(rows, rowsOf(s)) {
				t.Fatalf("got %v, want %v", rows, rowsOf(s))
			}
		}
	})
}

// Guards against notes that a spreadsheet evaluates as formulas.
func TestTableEscapesFormulas(t *testing.T) {
	is := is.New(t)
	s := EmptySnapshot()
	s.Workspaces["a"] = Workspace{Name: "a", Weight: 1, Rate: 1, Burst: 1, MaxQueue: 1, Note: "=1+2"}
	is.True(strings.Contains(string(FormatTable(s)), ",'=1+2"))
	rows, err := ParseTable("t.csv", []byte(headerLine+"a,1,1,1,1,'tis\n"))
	is.NoErr(err)
	is.Equal(rows[0].Note, "'tis") // a plain apostrophe is kept
}

// Guards against import errors that do not name the file, row, column, value and
// allowed range.
func TestTableFaults(t *testing.T) {
	cases := []struct {
		name, data string
		want       []string
	}{
		{"empty", "", []string{"t.csv, row 1", "no header"}},
		{"semicolons", "workspace;weight;rate;burst;max_queue;note\na;1;1;1;1;\n", []string{"row 1", "separated by semicolon", "use a comma"}},
		{"tabs", "workspace\tweight\nA", []string{"row 1", "separated by tab"}},
		{"semicolons below", headerLine + "a;1;1;1;1;\n", []string{"row 2", "semicolon"}},
		{"wrong column", "workspace,weight,rate,burst,queue,note\n", []string{"row 1", "column max_queue", `"queue"`}},
		{"missing column", "workspace,weight,rate,burst,max_queue\n", []string{"5 columns in the header"}},
		{"decimal comma quoted", headerLine + "a,1,\"1,5\",1,1,\n", []string{"t.csv, row 2, column rate", "decimal comma", `"1,5"`, "0.001 to 1000000"}},
		{"decimal comma unquoted", headerLine + "a,1,1,5,10,20,\n", []string{"row 2", "7 columns instead of 6", "decimal point"}},
		{"thousands", headerLine + "a,1,\"1.000,5\",1,1,\n", []string{"column rate", "decimal comma"}},
		{"not a number", headerLine + "a,1,ten,1,1,\n", []string{"column rate", "not a number", `"ten"`}},
		{"nan", headerLine + "a,1,NaN,1,1,\n", []string{"column rate", "not a number"}},
		{"hexadecimal", headerLine + "a,1,0x10,1,1,\n", []string{"column rate", "not a number"}},
		{"underscore", headerLine + "a,1,1_0,1,1,\n", []string{"column rate", "not a number"}},
		{"empty number", headerLine + "a,1,,1,1,\n", []string{"column rate", "empty cell"}},
		{"zero rate", headerLine + "a,1,0,1,1,\n", []string{"column rate", "out of range", `"0"`}},
		{"negative weight", headerLine + "a,-1,1,1,1,\n", []string{"column weight", "out of range"}},
		{"burst below one", headerLine + "a,1,1,0.5,1,\n", []string{"column burst", "1 to 1000000"}},
		{"queue as fraction", headerLine + "a,1,1,1,1.5,\n", []string{"column max_queue", "not a whole number"}},
		{"too many digits", headerLine + "a,1,0.12345678901234567,1,1,\n", []string{"column rate", "significant digits"}},
		{"name with capital", headerLine + "TRUE,1,1,1,1,\n", []string{"column workspace", `"TRUE"`}},
		{"name made a number", headerLine + "1,1,1,1,1,\n", []string{"column workspace", `"1"`}},
		{"long note", headerLine + "a,1,1,1,1," + strings.Repeat("x", 501) + "\n", []string{"column note", "500"}},
		{"duplicate row", headerLine + "a,1,1,1,1,\nb,1,1,1,1,\na,2,1,1,1,\n", []string{"row 4", "duplicate row, first in row 2"}},
		{"open quote", headerLine + "a,1,1,1,1,\"x\n", []string{"row", "not valid CSV"}},
		{"not UTF-8", headerLine + "a,1,1,1,1,caf\xe9\n", []string{"row 2", "not UTF-8"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rows, err := ParseTable("t.csv", []byte(c.data))
			var faults Faults
			if !errors.As(err, &faults) || rows != nil {
				t.Fatalf("rows %v, error %v; want faults only", rows, err)
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%q is not in %q", want, err)
				}
			}
		})
	}
}

// Guards against row numbers in errors that are not line numbers of the file,
// for example after a note with line feeds.
func TestTableRowNumbersAreLines(t *testing.T) {
	_, err := ParseTable("t.csv", []byte(headerLine+"a,1,1,1,1,\"x\ny\"\n\nb,x,1,1,1,\n"))
	if err == nil || !strings.Contains(err.Error(), "row 5") {
		t.Fatalf("want row 5, got %v", err)
	}
}

// FuzzParseTable guards against panics, and against accepted tables that are
// parsed differently after an export.
func FuzzParseTable(f *testing.F) {
	for _, seed := range []string{headerLine, headerLine + "a,1,1,1,1,'=x\n", byteOrderMark + headerLine + "a,1e3,\"0.5\",1,1,\"n\r\nm\"\r\n,,,,,\r\n", "a;b\n", "\"", headerLine + "a,1,1,5,1,2,\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, err := ParseTable("t.csv", data)
		if err != nil {
			return
		}
		s := EmptySnapshot()
		if err := s.ApplyTable(rows, ModeMerge, false); err != nil || s.Validate() != nil {
			t.Fatalf("accepted table is not valid: %v %v", err, s.Validate())
		}
		again, err := ParseTable("t.csv", saveInSpreadsheet(FormatTable(s)))
		if err != nil || len(again) != len(rows) {
			t.Fatalf("export of an accepted table: %v", err)
		}
		for _, row := range again {
			if s.Workspaces[row.Name] != row {
				t.Fatalf("row changed from %v to %v", s.Workspaces[row.Name], row)
			}
		}
	})
}
