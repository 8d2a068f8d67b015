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

const tableHead = "workspace,weight,rate,burst,max_queue,note\n"

func rowsOf(s *Snapshot) []Workspace {
	var rows []Workspace
	for _, name := range sortedKeys(s.Workspaces) {
		rows = append(rows, s.Workspaces[name])
	}
	return rows
}

func anyWorkspace(t *rapid.T, name string) Workspace {
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

// spreadsheet rewrites a table as spreadsheets save it: a byte order mark,
// CRLF, every cell quoted, and an empty column and row at the end.
func spreadsheet(data []byte) []byte {
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

// A row that changes on its way through a spreadsheet would silently change
// the configuration.
func TestTableRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Empty()
		for _, name := range rapid.SliceOfDistinct(rapid.StringMatching(`[a-z][a-z0-9._-]{0,10}`), rapid.ID).Draw(t, "names") {
			s.Workspaces[name] = anyWorkspace(t, name)
		}
		for _, data := range [][]byte{FormatTable(s), spreadsheet(FormatTable(s))} {
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

// Notes that look like formulas would be computed by a spreadsheet.
func TestTableProtectsFormulas(t *testing.T) {
	is := is.New(t)
	s := Empty()
	s.Workspaces["a"] = Workspace{Name: "a", Weight: 1, Rate: 1, Burst: 1, MaxQueue: 1, Note: "=1+2"}
	is.True(strings.Contains(string(FormatTable(s)), ",'=1+2"))
	rows, err := ParseTable("t.csv", []byte(tableHead+"a,1,1,1,1,'tis\n"))
	is.NoErr(err)
	is.Equal(rows[0].Note, "'tis") // a plain apostrophe is kept
}

// Every refused table names file, row, column, value and allowed range.
func TestTableFaults(t *testing.T) {
	cases := []struct {
		name, data string
		want       []string
	}{
		{"empty", "", []string{"t.csv, row 1", "no header"}},
		{"semicolons", "workspace;weight;rate;burst;max_queue;note\na;1;1;1;1;\n", []string{"row 1", "separated by semicolon", "use a comma"}},
		{"tabs", "workspace\tweight\nA", []string{"row 1", "separated by tab"}},
		{"semicolons below", tableHead + "a;1;1;1;1;\n", []string{"row 2", "semicolon"}},
		{"wrong column", "workspace,weight,rate,burst,queue,note\n", []string{"row 1", "column max_queue", `"queue"`}},
		{"missing column", "workspace,weight,rate,burst,max_queue\n", []string{"5 columns in the header"}},
		{"decimal comma quoted", tableHead + "a,1,\"1,5\",1,1,\n", []string{"t.csv, row 2, column rate", "decimal comma", `"1,5"`, "0.001 to 1000000"}},
		{"decimal comma unquoted", tableHead + "a,1,1,5,10,20,\n", []string{"row 2", "7 columns instead of 6", "decimal point"}},
		{"thousands", tableHead + "a,1,\"1.000,5\",1,1,\n", []string{"column rate", "decimal comma"}},
		{"not a number", tableHead + "a,1,ten,1,1,\n", []string{"column rate", "not a number", `"ten"`}},
		{"nan", tableHead + "a,1,NaN,1,1,\n", []string{"column rate", "not a number"}},
		{"hexadecimal", tableHead + "a,1,0x10,1,1,\n", []string{"column rate", "not a number"}},
		{"underscore", tableHead + "a,1,1_0,1,1,\n", []string{"column rate", "not a number"}},
		{"empty number", tableHead + "a,1,,1,1,\n", []string{"column rate", "empty cell"}},
		{"zero rate", tableHead + "a,1,0,1,1,\n", []string{"column rate", "out of range", `"0"`}},
		{"negative weight", tableHead + "a,-1,1,1,1,\n", []string{"column weight", "out of range"}},
		{"burst below one", tableHead + "a,1,1,0.5,1,\n", []string{"column burst", "1 to 1000000"}},
		{"queue as fraction", tableHead + "a,1,1,1,1.5,\n", []string{"column max_queue", "not a whole number"}},
		{"too many digits", tableHead + "a,1,0.12345678901234567,1,1,\n", []string{"column rate", "significant digits"}},
		{"name with capital", tableHead + "TRUE,1,1,1,1,\n", []string{"column workspace", `"TRUE"`}},
		{"name made a number", tableHead + "1,1,1,1,1,\n", []string{"column workspace", `"1"`}},
		{"long note", tableHead + "a,1,1,1,1," + strings.Repeat("x", 501) + "\n", []string{"column note", "500"}},
		{"duplicate row", tableHead + "a,1,1,1,1,\nb,1,1,1,1,\na,2,1,1,1,\n", []string{"row 4", "duplicate row, first in row 2"}},
		{"open quote", tableHead + "a,1,1,1,1,\"x\n", []string{"row", "not valid CSV"}},
		{"not UTF-8", tableHead + "a,1,1,1,1,caf\xe9\n", []string{"row 2", "not UTF-8"}},
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

// Row numbers must be lines of the file, also behind notes with line feeds.
func TestTableRowNumbersAreLines(t *testing.T) {
	_, err := ParseTable("t.csv", []byte(tableHead+"a,1,1,1,1,\"x\ny\"\n\nb,x,1,1,1,\n"))
	if err == nil || !strings.Contains(err.Error(), "row 5") {
		t.Fatalf("want row 5, got %v", err)
	}
}

// FuzzParseTable guards against panics, and against tables that are accepted
// and then read differently after an export.
func FuzzParseTable(f *testing.F) {
	for _, seed := range []string{tableHead, tableHead + "a,1,1,1,1,'=x\n", byteOrderMark + tableHead + "a,1e3,\"0.5\",1,1,\"n\r\nm\"\r\n,,,,,\r\n", "a;b\n", "\"", tableHead + "a,1,1,5,1,2,\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, err := ParseTable("t.csv", data)
		if err != nil {
			return
		}
		s := Empty()
		if err := s.ApplyTable(rows, ModeMerge, false); err != nil || s.Validate() != nil {
			t.Fatalf("accepted table is not valid: %v %v", err, s.Validate())
		}
		again, err := ParseTable("t.csv", spreadsheet(FormatTable(s)))
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
