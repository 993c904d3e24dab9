// Command cardamomhatch runs and operates an overload control layer for
// service call graphs.
package main

import (
	"github.com/alecthomas/kong"
)

// commands is the command line. Each subcommand has a Run method.
type commands struct {
	Dev        devCommand        `cmd:"" help:"Run an example mesh in one process on loopback."`
	Load       loadCommand       `cmd:"" help:"Generate open-loop load against a mesh."`
	Experiment experimentCommand `cmd:"" help:"Run scenarios of overload and failure on real nodes and judge the figures."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c,
		kong.Name("cardamomhatch"),
		kong.Description("Overload control for service call graphs."),
		kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
