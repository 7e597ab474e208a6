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
	// The size of the terminal until it is known.
	defaultWidth  = 80
	defaultHeight = 24
)

// screen is one of the screens between which the user switches.
type screen int

const (
	overviewScreen screen = iota
	workersScreen
	functionsScreen
	requestsScreen
	schedulesScreen
	screenCount
)

// snapshot is what was last read from the appliance.
type snapshot struct {
	status    appliance.Status
	workers   []appliance.WorkerStatus
	functions []appliance.FunctionStatus
	requests  []appliance.RequestStatus
	schedules []appliance.ScheduleStatus
	err       error
}

// Messages of the event loop.
type (
	snapshotMsg snapshot
	noticeMsg   struct{ text string }
	detailMsg   struct{ text string }
	tickMsg     struct{}
)

// model is the state of the console. It only reads the state of the appliance.
type model struct {
	client        *Client
	screen        screen
	selected      int // row of the table
	firstVisible  int // row of the table
	width, height int
	snapshot      snapshot
	notice        string
	unconfirmed   *appliance.Command // awaits the key that confirms it
	detail        string             // a request with its steps, in place of the table
}

// Run shows the console until the user leaves it or ctx ends. The appliance runs on.
func Run(ctx context.Context, c *Client, in io.Reader, out io.Writer) error {
	m := &model{client: c, width: defaultWidth, height: defaultHeight}
	p := tea.NewProgram(m, tea.WithContext(ctx), tea.WithInput(in), tea.WithOutput(out))
	_, err := p.Run()
	return err
}

// Init implements tea.Model.
func (m *model) Init() tea.Cmd { return tea.Batch(m.refresh(), m.tick()) }

func (m *model) tick() tea.Cmd {
	return tea.Tick(refreshInterval, func(time.Time) tea.Msg { return tickMsg{} })
}

// refresh reads what the present screen shows.
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
			m.snapshot.err = msg.err // the last snapshot stays on the screen
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

// execute gives a command to the appliance and shows what was done.
func (m *model) execute(command appliance.Command) tea.Cmd {
	client := m.client
	return func() tea.Msg {
		result, err := client.Execute(command)
		if err != nil {
			return noticeMsg{"not done: " + err.Error()}
		}
		return noticeMsg{result}
	}
}

// explain shows a request with its steps.
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

func (m *model) showScreen(s screen) tea.Cmd {
	m.screen, m.selected, m.firstVisible = s, 0, 0
	return m.refresh()
}

// rows returns the table of the present screen, the heading first.
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
	}
	return nil
}

// target returns what the selected row is about, as commands name it, or nothing when there is no row.
func (m *model) target() string {
	m.clampSelection()
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

// clampSelection keeps the selected row in the table, and on the screen.
func (m *model) clampSelection() {
	count := max(len(m.rows())-1, 0)
	m.selected = max(min(m.selected, count-1), 0)
	visible := m.height - fixedLines - 1 // the heading of the table takes one
	m.firstVisible = max(min(m.firstVisible, m.selected), m.selected-visible+2, 0)
}
