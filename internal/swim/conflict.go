package swim

// maxNameTakeovers bounds how often this member takes its name back from a
// process with a higher incarnation. One that is seen more often is running.
const maxNameTakeovers = 3

// resolveNameConflict deals with another process under this member's name. An
// earlier incarnation is ignored. A later one is superseded, since it may be an
// earlier process whose clock was ahead; if that happens again and again the
// other process is running, and this member gives up the name.
func (m *Machine) resolveNameConflict(other Update) {
	if other.Incarnation <= m.self.Incarnation {
		m.counts.EndedIncarnation++
		return
	}
	m.nameTakeovers++
	if m.nameTakeovers > maxNameTakeovers {
		m.leftReason = "another member at " + other.Addr + " has this name"
		m.version++
		return
	}
	m.renewSelf(other.Incarnation+1, 0)
}
