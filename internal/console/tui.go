package console

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"

	"streamcleat/internal/appliance"
)

const every = 500 * time.Millisecond // pause between looks at the box

type screen int

const (
	overview screen = iota
	workers
	handlers
	events
	timetable
	screens
)

var titles = [...]string{"1 overview", "2 workers", "3 handlers", "4 events", "5 timers"}

var (
	strong = lipgloss.NewStyle().Bold(true)
	marked = lipgloss.NewStyle().Reverse(true)
)

// data is one look at the box.
type data struct {
	status   appliance.Status
	workers  []appliance.Worker
	handlers []appliance.FunctionStatus
	events   []appliance.RequestStatus
	timers   []appliance.Timer
	err      error
}

type (
	dataMsg    data
	saidMsg    struct{ text string }
	explainMsg struct{ text string }
	tickMsg    struct{}
)

// model is the console's state; the box's state is only ever read.
type model struct {
	c       *Client
	at      screen
	row     int
	top     int // first row shown
	w, h    int
	data    data
	said    string
	confirm *appliance.Command // waits for y
	detail  string             // an event explained, in place of the table
}

// Run shows the console until the user leaves it or ctx ends. Leaving it leaves the box as it is.
func Run(ctx context.Context, c *Client, in io.Reader, out io.Writer) error {
	p := tea.NewProgram(&model{c: c, w: 80, h: 24}, tea.WithContext(ctx), tea.WithInput(in), tea.WithOutput(out))
	_, err := p.Run()
	return err
}

func (m *model) Init() tea.Cmd { return tea.Batch(m.look(), m.tick()) }

func (m *model) tick() tea.Cmd { return tea.Tick(every, func(time.Time) tea.Msg { return tickMsg{} }) }

// look reads what the present screen shows.
func (m *model) look() tea.Cmd {
	at, c := m.at, m.c
	return func() tea.Msg {
		var d data
		if d.err = c.Get("status", &d.status); d.err != nil {
			return dataMsg(d)
		}
		switch at {
		case workers:
			d.err = c.Get("workers", &d.workers)
		case handlers:
			d.err = c.Get("handlers", &d.handlers)
		case events:
			d.err = c.Get("events?most=200", &d.events)
		case timetable:
			d.err = c.Get("timers", &d.timers)
		}
		return dataMsg(d)
	}
}

func (m *model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.w, m.h = msg.Width, msg.Height
	case tickMsg:
		return m, tea.Batch(m.look(), m.tick())
	case dataMsg:
		if msg.err != nil {
			m.data.err = msg.err // the last look stays on the screen
		} else {
			m.data = data(msg)
		}
	case saidMsg:
		m.said = msg.text
		return m, m.look()
	case explainMsg:
		m.detail = msg.text
	case tea.KeyPressMsg:
		return m.key(msg.String())
	}
	return m, nil
}

func (m *model) key(k string) (tea.Model, tea.Cmd) {
	if m.confirm != nil {
		o := *m.confirm
		m.confirm, m.said = nil, "left as it is"
		if k == "y" {
			m.said = ""
			return m, m.order(o)
		}
		return m, nil
	}
	if m.detail != "" && k != "q" && k != "ctrl+c" {
		m.detail = ""
		if k == "esc" || k == "enter" {
			return m, nil
		}
	}
	m.said = ""
	switch k {
	case "q", "ctrl+c":
		return m, tea.Quit
	case "1", "2", "3", "4", "5":
		return m, m.to(screen(k[0] - '1'))
	case "tab", "right":
		return m, m.to((m.at + 1) % screens)
	case "shift+tab", "left":
		return m, m.to((m.at + screens - 1) % screens)
	case "up", "k":
		m.row--
	case "down", "j":
		m.row++
	case "pgup":
		m.row -= m.h / 2
	case "pgdown":
		m.row += m.h / 2
	case "enter":
		if m.at == events && m.chosen() != "" {
			id, c := m.chosen(), m.c
			return m, func() tea.Msg {
				e, err := c.Explain(id)
				if err != nil {
					return saidMsg{err.Error()}
				}
				return explainMsg{EventText(e)}
			}
		}
	case "s":
		m.confirm = &appliance.Command{Order: "stop"}
	case "S":
		m.confirm = &appliance.Command{Order: "stop", Now: true}
	default:
		if o := m.act(k); o != nil {
			return m, m.order(*o)
		}
	}
	m.clamp()
	return m, nil
}

// act is the order that a key gives for the chosen row.
func (m *model) act(k string) *appliance.Command {
	target := m.chosen()
	if target == "" {
		return nil
	}
	switch {
	case m.at == workers && k == "d":
		serving := 0
		for _, w := range m.data.workers {
			if w.State != "draining" {
				serving++
			}
		}
		if serving <= 1 {
			m.confirm = &appliance.Command{Order: "drain", Target: target}
			return nil
		}
		return &appliance.Command{Order: "drain", Target: target}
	case m.at == workers && k == "r":
		return &appliance.Command{Order: "return", Target: target}
	case m.at == handlers && k == "u":
		return &appliance.Command{Order: "unload", Target: target}
	case m.at == timetable && k == "f":
		return &appliance.Command{Order: "fire", Target: target}
	case m.at == timetable && k == "h":
		return &appliance.Command{Order: "hold", Target: target, Release: m.data.timers[m.row].Suspended}
	}
	return nil
}

func (m *model) order(o appliance.Command) tea.Cmd {
	c := m.c
	return func() tea.Msg {
		said, err := c.Order(o)
		if err != nil {
			return saidMsg{"not done: " + err.Error()}
		}
		return saidMsg{said}
	}
}

func (m *model) to(at screen) tea.Cmd {
	m.at, m.row, m.top = at, 0, 0
	return m.look()
}

func (m *model) rows() [][]string {
	switch m.at {
	case workers:
		return WorkerRows(m.data.workers)
	case handlers:
		return HandlerRows(m.data.handlers)
	case events:
		return EventRows(m.data.events)
	case timetable:
		return TimerRows(m.data.timers, time.Now())
	}
	return nil
}

// chosen names what the marked row is about.
func (m *model) chosen() string {
	m.clamp()
	switch {
	case m.at == workers && m.row < len(m.data.workers):
		return m.data.workers[m.row].Name
	case m.at == handlers && m.row < len(m.data.handlers):
		return m.data.handlers[m.row].Name
	case m.at == events && m.row < len(m.data.events):
		return m.data.events[m.row].Source + "#" + m.data.events[m.row].ID
	case m.at == timetable && m.row < len(m.data.timers):
		return m.data.timers[m.row].Entry
	}
	return ""
}

func (m *model) clamp() {
	n := max(len(m.rows())-1, 0)
	m.row = max(min(m.row, n-1), 0)
	shown := m.h - 5
	m.top = max(min(m.top, m.row), m.row-shown+2, 0)
}

var keysOf = [...]string{"", "up/down choose  d drain  r return", "up/down choose  u unload", "up/down choose  enter explain",
	"up/down choose  f fire now  h hold or release"}

func (m *model) View() tea.View {
	m.clamp()
	var lines []string
	head := fmt.Sprintf("streamcleat %s  %s", m.data.status.Name, m.data.status.State)
	if w := m.data.status.ActiveConsole; w != "" && w != m.c.Name {
		head += "  (orders by " + w + ")"
	}
	if m.data.err != nil {
		head = "streamcleat  " + m.data.err.Error() + "; trying again"
	}
	lines = append(lines, strong.Render(cut(head, m.w)))
	var tabs []string
	for i, t := range titles {
		if screen(i) == m.at {
			t = "[" + t + "]"
		} else {
			t = " " + t + " "
		}
		tabs = append(tabs, t)
	}
	lines = append(lines, cut(strings.Join(tabs, " "), m.w))
	room := max(m.h-4, 1)
	var body []string
	switch {
	case m.detail != "":
		body = strings.Split(m.detail, "\n")
	case m.at == overview:
		body = strings.Split(StatusText(m.data.status, m.w), "\n")
	default:
		all := strings.Split(Table(m.rows()), "\n")
		body = append(body, strong.Render(cut(all[0], m.w)))
		rest := all[1:]
		if len(rest) == 0 {
			body = append(body, "none")
		}
		for i := m.top; i < len(rest) && len(body) < room; i++ {
			line := cut(rest[i], m.w-2)
			if i == m.row {
				line = marked.Render("> " + line)
			} else {
				line = "  " + line
			}
			body = append(body, line)
		}
	}
	for i := range body {
		if i < room {
			if m.detail != "" || m.at == overview {
				body[i] = cut(body[i], m.w)
			}
			lines = append(lines, body[i])
		}
	}
	for len(lines) < m.h-2 {
		lines = append(lines, "")
	}
	note := m.said
	if m.confirm != nil {
		note = fmt.Sprintf("%s %s? y does it, any other key leaves it", m.confirm.Order, m.confirm.Target)
		if m.confirm.Now {
			note = "stop now, answering what is open at once? y does it, any other key leaves it"
		}
	}
	keys := keysOf[m.at]
	if m.detail != "" {
		keys = "esc back"
	}
	lines = append(lines, cut(note, m.w), cut(strings.TrimSpace(keys+"  tab 1-5 screens  s stop  S stop now  q leave"), m.w))
	v := tea.NewView(strings.Join(lines, "\n"))
	v.AltScreen = true
	return v
}

// cut shortens a line to a width in cells.
func cut(line string, width int) string {
	if lipgloss.Width(line) <= width {
		return line
	}
	r := []rune(line)
	for len(r) > 0 && lipgloss.Width(string(r)) > width-1 {
		r = r[:len(r)-1]
	}
	return string(r) + "~"
}
