//! Breadth-first search over all states of a specification, for safety and for liveness.

use indexmap::IndexSet;
use pathfinding::directed::bfs::{bfs, bfs_reach};
use std::{cell::RefCell, fmt::Debug, hash::Hash};

/// What a whole search found.
pub(crate) enum Search<S> {
    /// No state is broken; all of them, and the steps between them by index.
    Whole(Graph<S>),
    /// The shortest way into a broken state, as the steps taken.
    Broken(Vec<String>),
}

/// Every reachable state and step.
pub(crate) struct Graph<S> {
    pub(crate) states: IndexSet<S>,
    pub(crate) steps: Vec<(usize, usize)>,
}

/// Explores everything that is reachable from `start`. `next` lists the steps out of a state with
/// their names; `is_broken` is the safety property's negation.
pub(crate) fn explore<S, T>(
    start: S,
    next: impl Fn(&S) -> Vec<(T, S)>,
    is_broken: impl Fn(&S) -> bool,
) -> Search<S>
where
    S: Clone + Eq + Hash,
    T: Debug,
{
    let graph = RefCell::new(Graph {
        states: IndexSet::from([start]),
        steps: Vec::new(),
    });
    let successors = |from: &usize| {
        let state = graph.borrow().states[*from].clone();
        let mut graph = graph.borrow_mut();

        let reached = next(&state).into_iter();
        let reached: Vec<usize> = reached
            .map(|(_, state)| graph.states.insert_full(state).0)
            .collect();
        graph.steps.extend(reached.iter().map(|to| (*from, *to)));
        reached
    };
    let path = bfs(&0, successors, |at| is_broken(&graph.borrow().states[*at]));
    let graph = graph.into_inner();
    match path {
        Some(path) => {
            let path: Vec<&S> = path.into_iter().map(|at| &graph.states[at]).collect();
            Search::Broken(name_steps(&path, next))
        }
        None => Search::Whole(graph),
    }
}

fn name_steps<S: Eq, T: Debug>(path: &[&S], next: impl Fn(&S) -> Vec<(T, S)>) -> Vec<String> {
    let name = |pair: &[&S]| {
        let steps = next(pair[0]);
        let taken = steps.iter().find(|(_, state)| state == pair[1]);
        taken.map_or_else(String::new, |(step, _)| format!("{step:?}"))
    };
    path.windows(2).map(name).collect()
}

impl<S: Eq + Hash> Graph<S> {
    /// A state from which no state with `is_goal` can be reached, if there is one.
    pub(crate) fn stuck(&self, is_goal: impl Fn(&S) -> bool) -> Option<&S> {
        let mut before: Vec<Vec<usize>> = vec![Vec::new(); self.states.len() + 1];
        for (from, to) in &self.steps {
            before[*to].push(*from);
        }
        // One node more leads back to every goal.
        let root = self.states.len();
        let goals = self.states.iter().enumerate();
        before[root].extend(
            goals
                .filter(|(_, state)| is_goal(state))
                .map(|(index, _)| index),
        );
        let mut can_reach = vec![false; self.states.len() + 1];
        for node in bfs_reach(root, |node| before[*node].clone()) {
            can_reach[node] = true;
        }
        let stuck = (0..self.states.len()).find(|index| !can_reach[*index])?;
        self.states.get_index(stuck)
    }

    /// How many states have a property; shows that a search went where it should.
    pub(crate) fn count(&self, has: impl Fn(&S) -> bool) -> usize {
        self.states.iter().filter(|state| has(state)).count()
    }
}
