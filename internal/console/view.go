package console

import (
	"fmt"
	"strings"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
)

// fixedLines is the number of lines outside the body: heading, tabs, notice and key hints.
const fixedLines = 4

var (
	screenTitles = [...]string{"1 overview", "2 workers", "3 handlers", "4 events", "5 timers"}

	headingStyle  = lipgloss.NewStyle().Bold(true)
	selectedStyle = lipgloss.NewStyle().Reverse(true)
)

// View implements tea.Model.
func (m *model) View() tea.View {
	m.clampSelection()
	lines := []string{
		headingStyle.Render(truncate(m.heading(), m.width)),
		truncate(m.tabs(), m.width),
	}
	body := m.body()
	lines = append(lines, body[:min(len(body), m.bodyHeight())]...)
	for len(lines) < m.height-2 {
		lines = append(lines, "")
	}
	lines = append(lines, truncate(m.noticeLine(), m.width), truncate(m.keyLine(), m.width))
	view := tea.NewView(strings.Join(lines, "\n"))
	view.AltScreen = true
	return view
}

// bodyHeight returns the number of lines of the body.
func (m *model) bodyHeight() int { return max(m.height-fixedLines, 1) }

// heading returns the name and state of the appliance, and the name of the active console unless it is this one.
func (m *model) heading() string {
	if m.snapshot.err != nil {
		return "streamcleat  " + m.snapshot.err.Error() + "; trying again"
	}
	status := &m.snapshot.status
	heading := fmt.Sprintf("streamcleat %s  %s", status.Name, status.State)
	if active := status.ActiveConsole; active != "" && active != m.client.Name {
		heading += "  (orders by " + active + ")"
	}
	return heading
}

// tabs returns the line of screen titles, with the current one in brackets.
func (m *model) tabs() string {
	tabs := make([]string, len(screenTitles))
	for i, title := range screenTitles {
		if screen(i) == m.screen {
			tabs[i] = "[" + title + "]"
		} else {
			tabs[i] = " " + title + " "
		}
	}
	return strings.Join(tabs, " ")
}

// body returns the lines of the detail if there is one, otherwise those of the overview or the table.
func (m *model) body() []string {
	switch {
	case m.detail != "":
		return truncateAll(strings.Split(m.detail, "\n"), m.width)
	case m.screen == overviewScreen:
		return truncateAll(strings.Split(StatusText(m.snapshot.status, m.width), "\n"), m.width)
	}
	return m.tableLines()
}

// tableLines returns the heading and the visible rows of the table.
func (m *model) tableLines() []string {
	lines := strings.Split(Table(m.rows()), "\n")
	body := []string{headingStyle.Render(truncate(lines[0], m.width))}
	rows := lines[1:]
	if len(rows) == 0 {
		return append(body, "none")
	}
	for i := m.firstVisible; i < len(rows) && len(body) < m.bodyHeight(); i++ {
		row := truncate(rows[i], m.width-2)
		if i == m.selected {
			body = append(body, selectedStyle.Render("> "+row))
		} else {
			body = append(body, "  "+row)
		}
	}
	return body
}

// noticeLine returns the confirmation prompt if a command is pending, otherwise the last notice.
func (m *model) noticeLine() string {
	switch {
	case m.pendingCommand == nil:
		return m.notice
	case m.pendingCommand.Immediate:
		return "stop now, answering what is open at once? y does it, any other key leaves it"
	}
	return fmt.Sprintf("%s %s? y does it, any other key leaves it", m.pendingCommand.Name, m.pendingCommand.Target)
}

// keyLine returns the line of key hints.
func (m *model) keyLine() string {
	keys := keyHints[m.screen]
	if m.detail != "" {
		keys = "esc back"
	}
	return strings.TrimSpace(keys + commonKeyHints)
}

// truncateAll truncates lines in place.
func truncateAll(lines []string, width int) []string {
	for i := range lines {
		lines[i] = truncate(lines[i], width)
	}
	return lines
}

// truncate truncates a line to a width in terminal cells. A truncated line ends with ~.
func truncate(line string, width int) string {
	if lipgloss.Width(line) <= width {
		return line
	}
	runes := []rune(line)
	for len(runes) > 0 && lipgloss.Width(string(runes)) > width-1 {
		runes = runes[:len(runes)-1]
	}
	return string(runes) + "~"
}
