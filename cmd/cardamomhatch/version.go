package main

import "fmt"

const version = "0.1.0"

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	fmt.Println("cardamomhatch", version)
	return nil
}
