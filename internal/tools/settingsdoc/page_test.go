package main

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

const committedPage = "../../../docs/operators/settings.md"

func TestCommittedPageIsUpToDate(t *testing.T) {
	raw, err := os.ReadFile(committedPage)
	require.NoError(t, err)
	require.Equal(t, renderPage(), string(raw),
		"the page is out of date: go run ./internal/tools/settingsdoc > docs/operators/settings.md")
}

func TestPageListsEveryProgram(t *testing.T) {
	text := renderPage()
	for _, want := range []string{
		"## catkin-entry\n", "## catkin-control\n", "## catkinctl sheet apply\n", "## catkin-standin\n", "## catkin-load\n",
		"| `--address-lifetime` | `CATKIN_ADDRESS_LIFETIME` | `30s` | how long callers may keep the addresses |",
	} {
		require.Contains(t, text, want)
	}
}
