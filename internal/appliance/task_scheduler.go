package appliance

import "math"

// BackgroundTask is a kind of work that runs beside the requests. It runs in rounds, and each round in slices within a
// budget, between which requests have precedence.
type BackgroundTask struct {
	Name            string
	Interval        float64 // seconds from the end of a round to the next; 0: a round runs only on request
	Priority        int     // a higher one runs first
	SliceDuration   float64 // seconds that one slice may take
	MaxTimeFraction float64 // share of the time that it may use over timeShareWindow; 0: any
	MaxDelay        float64 // seconds of waiting after which a slice runs also under load; 0: it waits
	Urgent          bool    // it runs also under load
}

const (
	busyThreshold   = 0.7  // utilization above which only urgent and overdue tasks run
	timeShareWindow = 60.0 // seconds over which the time that a task has used decays
)

// Backoff of failed tasks.
const (
	failureBackoff    = 2.0  // factor of the interval for each failure in a row
	maxFailureBackoff = 16.0 // most times the interval
	maxBackoffSteps   = 10   // failures that count, so that the power stays finite
	minFailurePause   = 1.0  // seconds; the interval that backs off when a task has a shorter one or none
)

// scheduledTask is a task with its state.
type scheduledTask struct {
	BackgroundTask
	due          float64 // when the next round begins
	dueSince     float64 // since when a slice waits; it begins anew with each slice of a round
	running      bool
	recentTime   float64 // seconds of work, decaying over timeShareWindow
	recentTimeAt float64 // when recentTime was last brought up to date
	rounds       int
	slices       int
	failures     int // in a row
	lastError    string
	timeUsed     float64 // seconds of work since the start
	longestWait  float64 // longest wait of a slice that was due
}

// TaskScheduler decides which background task runs when. It has no clock: each call brings the time in seconds.
type TaskScheduler struct {
	tasks []*scheduledTask
}

// NewTaskScheduler plans the first round of each task one interval from now.
func NewTaskScheduler(now float64, tasks ...BackgroundTask) *TaskScheduler {
	s := &TaskScheduler{}
	for _, task := range tasks {
		due := now + task.pause()
		s.tasks = append(s.tasks, &scheduledTask{BackgroundTask: task, due: due, dueSince: due, recentTimeAt: now})
	}
	return s
}

// pause returns the seconds between rounds; infinite for a task that runs only on request.
func (t *BackgroundTask) pause() float64 {
	if t.Interval == 0 {
		return math.Inf(1)
	}
	return t.Interval
}

// Request makes a task due now. It reports false for an unknown one.
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

// Next returns the task that runs a slice now, with its budget in seconds, or an empty name. One slice runs at a time.
// A task that has waited longer than its MaxDelay goes first, the one that is over it by most before others. Else the
// due task with the highest priority runs, of those that the utilization and their share of time allow.
func (s *TaskScheduler) Next(now, utilization float64) (name string, budget float64) {
	for _, task := range s.tasks {
		if task.running {
			return "", 0
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

// mostOverdue returns the task that is over its MaxDelay by most, or nil.
func (s *TaskScheduler) mostOverdue(now float64) (most *scheduledTask) {
	mostOver := 0.0
	for _, task := range s.tasks {
		if task.due > now {
			continue
		}
		task.decay(now)
		over := now - task.dueSince - task.MaxDelay
		if task.MaxDelay > 0 && over > mostOver {
			most, mostOver = task, over
		}
	}
	return most
}

// highestPriority returns the due task with the highest priority, of equal ones the one that has waited longest, or
// nil.
func (s *TaskScheduler) highestPriority(now, utilization float64) (best *scheduledTask) {
	for _, task := range s.tasks {
		if task.due > now || utilization > busyThreshold && !task.Urgent || task.exceedsTimeShare() {
			continue
		}
		if best == nil || task.Priority > best.Priority || task.Priority == best.Priority && task.dueSince < best.dueSince {
			best = task
		}
	}
	return best
}

func (t *scheduledTask) exceedsTimeShare() bool {
	return t.MaxTimeFraction > 0 && t.recentTime > t.MaxTimeFraction*timeShareWindow
}

// decay brings recentTime up to date.
func (t *scheduledTask) decay(now float64) {
	t.recentTime *= math.Exp(-max(now-t.recentTimeAt, 0) / timeShareWindow)
	t.recentTimeAt = max(now, t.recentTimeAt)
}

// Done ends the slice of a task: it took so many seconds, its round needs more slices or not, and it may have failed.
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
		t.due = now + t.failurePause()
		t.dueSince = t.due
	case more:
		t.dueSince = now
	default:
		t.rounds++
		t.failures, t.lastError = 0, ""
		t.due = now + t.pause()
		t.dueSince = t.due
	}
}

// failurePause returns the seconds until a failed task runs again.
func (t *scheduledTask) failurePause() float64 {
	pause := max(t.Interval, minFailurePause)
	if math.IsInf(pause, 1) {
		pause = minFailurePause
	}
	return min(pause*math.Pow(failureBackoff, float64(min(t.failures, maxBackoffSteps))), pause*maxFailureBackoff)
}

// TaskStatus is what the console shows of a background task. Times are in seconds.
type TaskStatus struct {
	Name        string  `json:"name"`
	Due         float64 `json:"due_s"` // from now; below 0 it waits
	Running     bool    `json:"running"`
	Rounds      int     `json:"rounds"`
	Slices      int     `json:"slices"`
	TimeUsed    float64 `json:"used_s"`
	LongestWait float64 `json:"longest_wait_s"`
	Failures    int     `json:"failures"` // in a row
	LastError   string  `json:"error,omitempty"`
}

// View returns the status of all tasks in the order in which they were given.
func (s *TaskScheduler) View(now float64) []TaskStatus {
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
