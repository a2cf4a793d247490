//! The table of tasks: slots, states, and the counts and memory use that are derived from them.

use crate::actions::Actions;
use crate::state::{ClassState, Server};
use crate::task::{Handle, Task, TaskState};

impl Server {
    /// How many tasks are in a state.
    pub(crate) fn count(&self, state: TaskState) -> usize {
        self.tasks_by_state[state as usize]
    }

    pub(crate) fn class(&self, task: &Task) -> &ClassState {
        &self.classes[task.arrival.class]
    }

    /// Puts a new task into a slot; `set_state` then counts it.
    pub(crate) fn insert(&mut self, task: Task) -> Handle {
        let next = Handle(self.tasks.len() as u32);
        let handle = self.free_slots.pop().unwrap_or(next);
        if handle == next {
            self.tasks.push(task);
        }
        self.tasks[handle.index()] = task;
        self.active.push(handle);
        handle
    }

    /// Moves a task to another state and updates the counts and the memory use.
    pub(crate) fn set_state(&mut self, handle: Handle, state: TaskState) {
        let task = &mut self.tasks[handle.index()];
        let factor = self.parameters.running_memory_factor;
        let memory_kb = |state: TaskState| match state {
            TaskState::Free => 0.0,
            TaskState::Queued | TaskState::Joined => task.arrival.memory_kb,
            _ => task.arrival.memory_kb * factor,
        };
        self.memory_kb += memory_kb(state) - memory_kb(task.state);
        let tenant = &mut self.tenants[task.arrival.tenant];
        tenant.queued += usize::from(state == TaskState::Queued);
        tenant.queued -= usize::from(task.state == TaskState::Queued);
        self.tasks_by_state[state as usize] += 1;
        let before = &mut self.tasks_by_state[task.state as usize];
        *before = before.saturating_sub(1); // free slots are not counted when they are first used
        task.state = state;
    }

    /// Frees the slot of a task that has ended.
    pub(crate) fn release(&mut self, handle: Handle, actions: &mut dyn Actions) {
        self.set_state(handle, TaskState::Free);
        self.active.retain(|&other| other != handle);
        self.free_slots.push(handle);
        actions.release(handle);
    }
}
