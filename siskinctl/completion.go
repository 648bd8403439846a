package main

import "fmt"

// bashCompletion runs the program that is being completed with GO_FLAGS_COMPLETION
// set, which makes go-flags print the completions.
const bashCompletion = `_siskinstand() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
    return 0
}
complete -o default -F _siskinstand siskinctl siskin-gateway siskin-sidecar siskin-fake siskin-load
`

type completionCommand struct{ app *app }

func newCompletionCommand(a *app) subcommand {
	return subcommand{"completion", "Print the completion script of bash for all programs", "source <(siskinctl completion)", &completionCommand{a}}
}

// Execute prints the completion script.
func (c *completionCommand) Execute([]string) error {
	fmt.Fprint(c.app.out, bashCompletion)
	return nil
}
