package console

import (
	"context"
	"io"
	"time"

	tea "charm.land/bubbletea/v2"

	"streamcleat/internal/appliance"
)

const (
	refreshInterval = 500 * time.Millisecond
	// Terminal size that is assumed until the first tea.WindowSizeMsg.
	defaultWidth  = 80
	defaultHeight = 24
)

// screen is a screen of the terminal UI.
type screen int

const (
	overviewScreen screen = iota
	workersScreen
	functionsScreen
	requestsScreen
	schedulesScreen
	screenCount // number of screens
)

// snapshot is the result of a poll of the appliance: the status and the data of the screen that was current.
type snapshot struct {
	status    appliance.Status
	workers   []appliance.WorkerStatus
	functions []appliance.FunctionStatus
	requests  []appliance.RequestStatus
	schedules []appliance.ScheduleStatus
	err       error
}

// Messages that Update handles, besides those of bubbletea.
type (
	snapshotMsg snapshot
	noticeMsg   struct{ text string }
	detailMsg   struct{ text string }
	tickMsg     struct{}
)

// model is the state of the terminal UI. It implements tea.Model.
type model struct {
	client         *Client
	screen         screen
	selected       int // index of the selected row
	firstVisible   int // index of the first visible row
	width, height  int
	snapshot       snapshot
	notice         string
	pendingCommand *appliance.Command // command that the user has yet to confirm; nil if none
	detail         string             // description of a request, shown instead of the table
}

// Run runs the terminal UI until the user quits or ctx ends. Neither stops the appliance.
func Run(ctx context.Context, c *Client, in io.Reader, out io.Writer) error {
	m := &model{client: c, width: defaultWidth, height: defaultHeight}
	p := tea.NewProgram(m, tea.WithContext(ctx), tea.WithInput(in), tea.WithOutput(out))
	_, err := p.Run()
	return err
}

// Init implements tea.Model.
func (m *model) Init() tea.Cmd { return tea.Batch(m.refresh(), m.tick()) }

// tick schedules the next refresh.
func (m *model) tick() tea.Cmd {
	return tea.Tick(refreshInterval, func(time.Time) tea.Msg { return tickMsg{} })
}

// refresh reads the status and the data of the current screen.
func (m *model) refresh() tea.Cmd {
	current, client := m.screen, m.client
	return func() tea.Msg {
		var s snapshot
		if s.err = client.Get("status", &s.status); s.err != nil {
			return snapshotMsg(s)
		}
		switch current {
		case workersScreen:
			s.err = client.Get("workers", &s.workers)
		case functionsScreen:
			s.err = client.Get("handlers", &s.functions)
		case requestsScreen:
			s.err = client.Get("events?most=200", &s.requests)
		case schedulesScreen:
			s.err = client.Get("timers", &s.schedules)
		case overviewScreen, screenCount: // the overview shows the status only
		}
		return snapshotMsg(s)
	}
}

// Update implements tea.Model.
func (m *model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = msg.Width, msg.Height
	case tickMsg:
		return m, tea.Batch(m.refresh(), m.tick())
	case snapshotMsg:
		if msg.err != nil {
			m.snapshot.err = msg.err // keep showing the last snapshot
		} else {
			m.snapshot = snapshot(msg)
		}
	case noticeMsg:
		m.notice = msg.text
		return m, m.refresh()
	case detailMsg:
		m.detail = msg.text
	case tea.KeyPressMsg:
		return m.handleKey(msg.String())
	}
	return m, nil
}

// execute sends a command to the appliance and shows the result on the notice line.
func (m *model) execute(command appliance.Command) tea.Cmd {
	client := m.client
	return func() tea.Msg {
		result, err := client.Execute(command)
		if err != nil {
			return noticeMsg{"command failed: " + err.Error()}
		}
		return noticeMsg{result}
	}
}

// explain shows a request with the steps of its trace instead of the table.
func (m *model) explain(id string) tea.Cmd {
	client := m.client
	return func() tea.Msg {
		request, err := client.Explain(id)
		if err != nil {
			return noticeMsg{err.Error()}
		}
		return detailMsg{RequestText(request)}
	}
}

// showScreen switches to a screen and selects its first row.
func (m *model) showScreen(s screen) tea.Cmd {
	m.screen, m.selected, m.firstVisible = s, 0, 0
	return m.refresh()
}

// rows returns the table of the current screen. The first row is the heading.
func (m *model) rows() [][]string {
	switch m.screen {
	case workersScreen:
		return WorkerRows(m.snapshot.workers)
	case functionsScreen:
		return FunctionRows(m.snapshot.functions)
	case requestsScreen:
		return RequestRows(m.snapshot.requests)
	case schedulesScreen:
		return ScheduleRows(m.snapshot.schedules, time.Now())
	case overviewScreen, screenCount: // no table
	}
	return nil
}

// target returns the command target of the selected row, or an empty string if there is no row. clampSelection must have
// been called before.
func (m *model) target() string {
	switch {
	case m.screen == workersScreen && m.selected < len(m.snapshot.workers):
		return m.snapshot.workers[m.selected].Name
	case m.screen == functionsScreen && m.selected < len(m.snapshot.functions):
		return m.snapshot.functions[m.selected].Name
	case m.screen == requestsScreen && m.selected < len(m.snapshot.requests):
		request := &m.snapshot.requests[m.selected]
		return request.Source + "#" + request.ID
	case m.screen == schedulesScreen && m.selected < len(m.snapshot.schedules):
		return m.snapshot.schedules[m.selected].Entry
	}
	return ""
}

// clampSelection moves the selection into the table and scrolls it into view.
func (m *model) clampSelection() {
	count := max(len(m.rows())-1, 0)
	m.selected = max(min(m.selected, count-1), 0)
	visible := m.height - fixedLines - 1 // one line is the heading of the table
	m.firstVisible = max(min(m.firstVisible, m.selected), m.selected-visible+2, 0)
}
