// Command settingsdoc generates the operators' settings page from the flags of every
// program:
//
//	go run ./internal/tools/settingsdoc > docs/operators/settings.md
package main

import (
	"fmt"
	"os"
)

func main() {
	if _, err := os.Stdout.WriteString(renderPage()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
