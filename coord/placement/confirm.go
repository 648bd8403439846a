package placement

// confirmShare is the share of a replica's memory from which the placement of a prompt has to be
// confirmed. Smaller prompts that several hosts place at once fit into the memory that is not
// filled, see Policy.MemoryShare, or arrive over a longer time than a report takes.
const confirmShare = 0.05

// MustConfirm reports whether a prompt needs so many tokens that its placement has to be
// confirmed: the host reports it, waits until the other hosts must have heard of it and it of
// their prompts, and sends it only if the replica can hold all of them. Of two hosts that place
// such prompts before they know of each other's, the later one knows of both when it confirms.
func (m Model) MustConfirm(tokens int) bool {
	return float64(tokens) > confirmShare*float64(m.engine.MemoryTokens)
}

// FitsMemory reports whether a replica can hold its load, which includes the prompt that is to
// be confirmed.
func (m Model) FitsMemory(p Policy, l Load) bool {
	return float64(l.Tokens) <= p.MemoryShare*float64(m.engine.MemoryTokens)
}
