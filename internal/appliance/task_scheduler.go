package appliance

import "math"

// BackgroundTask is periodic work such as compaction. It runs in rounds. Each round is divided into short slices, so that
// requests are not delayed by a long round.
type BackgroundTask struct {
	Name            string
	Interval        float64 // seconds from the end of a round to the next; 0: rounds run on request only
	Priority        int     // the due task with the highest priority runs first
	SliceDuration   float64 // budget of one slice in seconds
	MaxTimeFraction float64 // maximum fraction of the time spent on the task, over timeFractionWindow; 0: no limit
	MaxDelay        float64 // seconds after which a due slice runs even under load; 0: never
	Urgent          bool    // the task runs even under load
}

const (
	busyThreshold      = 0.7  // utilization above which only urgent and overdue tasks run
	timeFractionWindow = 60.0 // time constant, in seconds, of the exponential decay of recentTime
)

// Backoff of failed tasks.
const (
	failureBackoffFactor = 2.0  // factor for each consecutive failure
	maxBackoffFactor     = 16.0 // maximum factor of the interval
	maxBackoffSteps      = 10   // maximum exponent, so that the power stays finite
	minBackoffInterval   = 1.0  // minimum interval in seconds to which the factor is applied
)

// scheduledTask is a task with its scheduling state.
type scheduledTask struct {
	BackgroundTask
	due          float64 // start time of the next round
	dueSince     float64 // time since which the next slice has been waiting
	running      bool
	recentTime   float64 // seconds of work, decaying over timeFractionWindow
	recentTimeAt float64 // time of the last update of recentTime
	rounds       int
	slices       int
	failures     int // consecutive
	lastError    string
	timeUsed     float64 // seconds of work since the start
	longestWait  float64 // longest wait of a due slice, in seconds
}

// TaskScheduler decides which background task runs next. It has no clock: the caller passes the time in seconds.
type TaskScheduler struct {
	tasks []*scheduledTask
}

// NewTaskScheduler returns a scheduler for tasks. The first round of each is due one interval from now.
func NewTaskScheduler(now float64, tasks ...BackgroundTask) *TaskScheduler {
	s := &TaskScheduler{}
	for _, task := range tasks {
		due := now + task.roundInterval()
		s.tasks = append(s.tasks, &scheduledTask{BackgroundTask: task, due: due, dueSince: due, recentTimeAt: now})
	}
	return s
}

// roundInterval returns the interval between rounds in seconds. It is infinite for a task that runs on request only.
func (t *BackgroundTask) roundInterval() float64 {
	if t.Interval == 0 {
		return math.Inf(1)
	}
	return t.Interval
}

// Request makes a task due now. It reports whether the task exists.
func (s *TaskScheduler) Request(now float64, name string) bool {
	for _, task := range s.tasks {
		if task.Name != name {
			continue
		}
		if task.due > now {
			task.due, task.dueSince = now, now
		}
		return true
	}
	return false
}

// Next returns the task that may run a slice now and the budget in seconds, or an empty name if there is none or a slice
// is running already. The task that exceeds its MaxDelay by most takes precedence. Otherwise it is the due task with the
// highest priority among those that the utilization and their time fraction allow.
func (s *TaskScheduler) Next(now, utilization float64) (name string, budget float64) {
	for _, task := range s.tasks {
		if task.running {
			return "", 0
		}
	}
	for _, task := range s.tasks {
		if task.due <= now {
			task.decay(now)
		}
	}
	task := s.mostOverdue(now)
	if task == nil {
		task = s.highestPriority(now, utilization)
	}
	if task == nil {
		return "", 0
	}
	task.running = true
	task.longestWait = max(task.longestWait, now-task.dueSince)
	return task.Name, task.SliceDuration
}

// mostOverdue returns the due task that exceeds its MaxDelay by most, or nil.
func (s *TaskScheduler) mostOverdue(now float64) *scheduledTask {
	var overdue *scheduledTask
	maxExcess := 0.0
	for _, task := range s.tasks {
		if task.due > now {
			continue
		}
		excess := now - task.dueSince - task.MaxDelay
		if task.MaxDelay > 0 && excess > maxExcess {
			overdue, maxExcess = task, excess
		}
	}
	return overdue
}

// highestPriority returns the due task with the highest priority, or nil. Ties go to the task that has waited longest.
func (s *TaskScheduler) highestPriority(now, utilization float64) *scheduledTask {
	var best *scheduledTask
	for _, task := range s.tasks {
		if task.due > now || utilization > busyThreshold && !task.Urgent || task.exceedsTimeFraction() {
			continue
		}
		if best == nil || task.Priority > best.Priority || task.Priority == best.Priority && task.dueSince < best.dueSince {
			best = task
		}
	}
	return best
}

func (t *scheduledTask) exceedsTimeFraction() bool {
	return t.MaxTimeFraction > 0 && t.recentTime > t.MaxTimeFraction*timeFractionWindow
}

// decay applies the exponential decay of recentTime up to now.
func (t *scheduledTask) decay(now float64) {
	t.recentTime *= math.Exp(-max(now-t.recentTimeAt, 0) / timeFractionWindow)
	t.recentTimeAt = max(now, t.recentTimeAt)
}

// Done reports the end of a task's slice. took is the duration of the slice in seconds, more is true if the round needs
// another slice, and err is the failure of the slice, if any.
func (s *TaskScheduler) Done(now float64, name string, took float64, more bool, err error) {
	for _, task := range s.tasks {
		if task.Name == name && task.running {
			task.endSlice(now, took, more, err)
		}
	}
}

func (t *scheduledTask) endSlice(now, took float64, more bool, err error) {
	t.running = false
	t.decay(now)
	t.recentTime += took
	t.timeUsed += took
	t.slices++
	switch {
	case err != nil:
		t.failures++
		t.lastError = err.Error()
		t.due = now + t.backoff()
		t.dueSince = t.due
	case more:
		t.dueSince = now
	default:
		t.rounds++
		t.failures, t.lastError = 0, ""
		t.due = now + t.roundInterval()
		t.dueSince = t.due
	}
}

// backoff returns the backoff of a failed task in seconds.
func (t *scheduledTask) backoff() float64 {
	interval := max(t.Interval, minBackoffInterval)
	return min(interval*math.Pow(failureBackoffFactor, float64(min(t.failures, maxBackoffSteps))), interval*maxBackoffFactor)
}

// TaskStatus is the status of a background task in the admin API. Times are in seconds.
type TaskStatus struct {
	Name        string  `json:"name"`
	Due         float64 `json:"due_s"` // from now; negative if it is overdue
	Running     bool    `json:"running"`
	Rounds      int     `json:"rounds"`
	Slices      int     `json:"slices"`
	TimeUsed    float64 `json:"used_s"`
	LongestWait float64 `json:"longest_wait_s"`
	Failures    int     `json:"failures"` // consecutive
	LastError   string  `json:"error,omitempty"`
}

// Statuses returns the status of all tasks, in the order of NewTaskScheduler's arguments.
func (s *TaskScheduler) Statuses(now float64) []TaskStatus {
	var statuses []TaskStatus
	for _, task := range s.tasks {
		due := task.due - now
		if math.IsInf(due, 1) {
			due = 0
		}
		statuses = append(statuses, TaskStatus{
			Name:        task.Name,
			Due:         due,
			Running:     task.running,
			Rounds:      task.rounds,
			Slices:      task.slices,
			TimeUsed:    task.timeUsed,
			LongestWait: task.longestWait,
			Failures:    task.failures,
			LastError:   task.lastError,
		})
	}
	return statuses
}
