package swim

// maxNameTakeovers bounds how often this member reclaims its name from a process
// with a higher incarnation. A process that is seen more often is still running.
const maxNameTakeovers = 3

// resolveNameConflict handles an update about another process with this member's
// name. An earlier incarnation is ignored. A later incarnation may belong to a
// previous process whose clock was ahead, so this member supersedes it with a
// higher one. After maxNameTakeovers the other process is assumed to be running,
// and this member gives up the name.
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
	m.updateSelf(other.Incarnation+1, 0)
}
