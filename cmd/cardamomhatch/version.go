package main

import "fmt"

const version = "0.1.0"

type versionCommand struct{}

func (versionCommand) Run() error {
	fmt.Println("cardamomhatch", version)
	return nil
}
