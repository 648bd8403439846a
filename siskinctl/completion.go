package main

import "fmt"

// bashCompletion asks the program itself for the words, see go-flags.
const bashCompletion = `_siskinstand() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
    return 0
}
complete -o default -F _siskinstand siskinctl siskin-gateway siskin-sidecar siskin-fake siskin-load
`

type completionRun struct{ app *app }

func completionCommand(a *app) command {
	return command{"completion", "Print the completion script of bash for all programs", "source <(siskinctl completion)", &completionRun{a}}
}

// Execute prints the script.
func (c *completionRun) Execute([]string) error {
	fmt.Fprint(c.app.out, bashCompletion)
	return nil
}
