package console

import (
	tea "charm.land/bubbletea/v2"

	"streamcleat/internal/appliance"
)

// keyHints are the key hints that are specific to each screen.
var keyHints = [...]string{
	overviewScreen:  "",
	workersScreen:   "up/down choose  d drain  r return",
	functionsScreen: "up/down choose  u unload",
	requestsScreen:  "up/down choose  enter explain",
	schedulesScreen: "up/down choose  f fire now  h hold or release",
}

// commonKeyHints are the key hints that all screens have.
const commonKeyHints = "  tab 1-5 screens  s stop  S stop now  q leave"

// handleKey handles a key press.
func (m *model) handleKey(key string) (tea.Model, tea.Cmd) {
	if m.pendingCommand != nil {
		return m, m.handleConfirmation(key)
	}
	if m.detail != "" && key != "q" && key != "ctrl+c" {
		m.detail = ""
		if key == "esc" || key == "enter" {
			return m, nil
		}
	}
	m.notice = ""
	if cmd, handled := m.handleNavigation(key); handled {
		return m, cmd
	}
	if !m.moveSelection(key) {
		if cmd := m.handleCommandKey(key); cmd != nil {
			return m, cmd
		}
	}
	m.clampSelection()
	return m, nil
}

// handleConfirmation executes the pending command if key is y, and discards it otherwise.
func (m *model) handleConfirmation(key string) tea.Cmd {
	command := *m.pendingCommand
	m.pendingCommand, m.notice = nil, "left as it is"
	if key != "y" {
		return nil
	}
	m.notice = ""
	return m.execute(command)
}

// handleNavigation handles the keys that switch screens or quit.
func (m *model) handleNavigation(key string) (cmd tea.Cmd, handled bool) {
	switch key {
	case "q", "ctrl+c":
		return tea.Quit, true
	case "1", "2", "3", "4", "5":
		return m.showScreen(screen(key[0] - '1')), true
	case "tab", "right":
		return m.showScreen((m.screen + 1) % screenCount), true
	case "shift+tab", "left":
		return m.showScreen((m.screen + screenCount - 1) % screenCount), true
	}
	return nil, false
}

// moveSelection handles the keys that move the selected row.
func (m *model) moveSelection(key string) (handled bool) {
	switch key {
	case "up", "k":
		m.selected--
	case "down", "j":
		m.selected++
	case "pgup":
		m.selected -= m.height / 2
	case "pgdown":
		m.selected += m.height / 2
	default:
		return false
	}
	return true
}

// handleCommandKey handles the keys that show a request or send a command. Some commands have to be confirmed first.
func (m *model) handleCommandKey(key string) tea.Cmd {
	m.clampSelection()
	if key == "enter" {
		if m.screen == requestsScreen && m.target() != "" {
			return m.explain(m.target())
		}
		return nil
	}
	command := m.commandForKey(key)
	if command == nil {
		return nil
	}
	if m.needsConfirmation(command) {
		m.pendingCommand = command
		return nil
	}
	return m.execute(*command)
}

// commandForKey returns the command that is bound to a key on the current screen, or nil. Its target, if any, is the selected
// row.
func (m *model) commandForKey(key string) *appliance.Command {
	switch key {
	case "s":
		return &appliance.Command{Name: "stop"}
	case "S":
		return &appliance.Command{Name: "stop", Immediate: true}
	}
	target := m.target()
	if target == "" {
		return nil
	}
	switch {
	case m.screen == workersScreen && key == "d":
		return &appliance.Command{Name: "drain", Target: target}
	case m.screen == workersScreen && key == "r":
		return &appliance.Command{Name: "return", Target: target}
	case m.screen == functionsScreen && key == "u":
		return &appliance.Command{Name: "unload", Target: target}
	case m.screen == schedulesScreen && key == "f":
		return &appliance.Command{Name: "fire", Target: target}
	case m.screen == schedulesScreen && key == "h":
		return &appliance.Command{Name: "hold", Target: target, Resume: m.snapshot.schedules[m.selected].Suspended}
	}
	return nil
}

// needsConfirmation reports whether a command stops the appliance or drains its last serving worker.
func (m *model) needsConfirmation(command *appliance.Command) bool {
	return command.Name == "stop" || command.Name == "drain" && m.servingWorkers() <= 1
}

// servingWorkers returns the number of workers that are not draining.
func (m *model) servingWorkers() int {
	serving := 0
	for i := range m.snapshot.workers {
		if m.snapshot.workers[i].State != "draining" {
			serving++
		}
	}
	return serving
}
