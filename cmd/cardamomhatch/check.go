package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/inifile"
	"cardamomhatch/internal/operator"
	"cardamomhatch/internal/settings"
)

type checkSettingsCommand struct {
	File string `arg:"" help:"Settings file."`
	JSON bool   `help:"Print JSON."`
}

func (c *checkSettingsCommand) Run(s *streams) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	parsed, err := settings.Parse(filepath.Base(c.File), data)
	summary := fmt.Sprintf("settings of host %s are valid", parsed.Host)
	if parsed.Unset != "" {
		summary += "; without a value, which counts as not set: " + parsed.Unset
	}
	return report(s, err, summary, c.JSON)
}

type checkDeclarationCommand struct {
	Files []string `arg:"" name:"file" help:"Declaration files; together they declare the whole mesh."`
	JSON  bool     `help:"Print JSON."`
}

func (c *checkDeclarationCommand) Run(s *streams) error {
	files, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	parsed := make([]declaration.File, len(files))
	for i, f := range files {
		parsed[i] = declaration.File{Name: f.Name, Data: []byte(f.Text)}
	}
	m, err := declaration.Parse(parsed...)
	if err != nil {
		return report(s, err, "", c.JSON)
	}
	summary := fmt.Sprintf("mesh %s is valid: %d services, %d routes, %d edges, %d workspaces",
		m.Name, len(m.Services), len(m.Routes), len(m.Edges), len(m.Workspaces))
	return report(s, nil, summary, c.JSON)
}

// report prints the problems that err contains, one per line, and returns an error.
// If err is nil, it prints the summary. Any other err is returned as it is.
func report(s *streams, err error, summary string, asJSON bool) error {
	var problems inifile.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	if asJSON {
		if e := operator.EncodeJSON(s.out, struct {
			Valid    bool              `json:"valid"`
			Problems []inifile.Problem `json:"problems"`
		}{len(problems) == 0, append([]inifile.Problem{}, problems...)}); e != nil {
			return e
		}
	} else if len(problems) > 0 {
		fmt.Fprintln(s.out, problems.Error())
	} else {
		fmt.Fprintln(s.out, summary)
	}
	if len(problems) > 0 {
		return errors.Errorf("%d problems found", len(problems))
	}
	return nil
}
