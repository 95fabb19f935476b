package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printer writes results as a table or as JSON.
type printer struct {
	out  io.Writer
	json bool
}

// table is a result in rows. The header is optional.
type table struct {
	header []string
	rows   [][]string
}

// print writes value as JSON, or t as a table.
func (p printer) print(value any, t table) error {
	if p.json {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	if len(t.header) > 0 {
		fmt.Fprintln(w, strings.ToUpper(strings.Join(t.header, "\t")))
	}
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
