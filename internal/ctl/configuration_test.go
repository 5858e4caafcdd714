package ctl_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/checker"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/ctl"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// readJSON reads a configuration in the names of package resolver. Package platform tests that of the
// platform's records.
func readJSON(b []byte) *checker.Document {
	c := new(resolver.Configuration)
	d := &checker.Document{Locate: func(p resolver.Place) checker.Position {
		return checker.Position{Line: 1 + p.Index, Field: p.Field}
	}}
	if err := json.Unmarshal(b, c); err != nil {
		d.Errors = []checker.Finding{{Class: checker.Faulty, Rule: checker.Syntax, Position: checker.Position{Line: 7, Field: "a\x1bb"}, Text: "faulty"}}
		return d
	}
	d.Configuration = c
	return d
}

// Guards against a script that takes a check that wasn't made for one without findings, against
// differences that are counted as findings, and against an output that lacks a position.
func TestConfigurationCheck(t *testing.T) {
	var table observer.Table
	handler := http.NewServeMux()
	handler.Handle("GET /v1/tables/{name}", &observer.Handler{Tables: map[string]*observer.Table{"operators": &table}})
	gateway := httptest.NewServer(handler)
	defer gateway.Close()
	address := strings.TrimPrefix(gateway.URL, "http://")
	script, err := filepath.Abs("testdata/configuration")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	datadriven.RunTest(t, script, func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "file":
			if err := os.WriteFile(d.CmdArgs[0].Key, []byte(d.Input), 0o600); err != nil {
				t.Fatal(err)
			}
			return ""
		case "gateway":
			table = observer.Table{}
			c := connector.Changes{Next: 9, Full: true}
			for i, a := range d.CmdArgs {
				item := connector.Item{Key: a.Key, Offset: uint64(i)}
				if len(a.Vals) > 0 {
					b, err := os.ReadFile(a.Vals[0])
					if err != nil {
						t.Fatal(err)
					}
					item.Value = b
				}
				c.Items = append(c.Items, item)
			}
			table.Apply(c, timekeeper.Now())
			return ""
		}
		var out, errs strings.Builder
		a := &ctl.App{
			In: strings.NewReader(d.Input), Out: &out, Err: &errs, ReadConfiguration: readJSON,
			DecodeOperator: func(key string, value []byte) (*observer.Decision, error) {
				if key != "config" {
					return nil, nil
				}
				if d := readJSON(value); d.Configuration != nil {
					return &observer.Decision{Configuration: d.Configuration}, nil
				}
				return nil, errors.New("refused")
			},
		}
		args := []string{"eelgrassctl", "configuration", "check"}
		for _, c := range d.CmdArgs {
			args = append(args, strings.ReplaceAll(c.String(), "GATEWAY", address))
		}
		code := a.Run(t.Context(), args)
		text := strings.ReplaceAll(out.String()+errs.String(), address, "GATEWAY")
		return fmt.Sprintf("%s\nexit code %d\n", strings.TrimRight(text, "\n"), code)
	})
}
