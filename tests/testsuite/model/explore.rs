//! Breadth-first search over all states of a specification, for safety and liveness.

use indexmap::IndexSet;
use pathfinding::directed::bfs::{bfs, bfs_reach};
use std::{cell::RefCell, fmt::Debug, hash::Hash};

/// Result of a search.
pub(crate) enum Search<S> {
    /// No reachable state violates the safety property.
    Whole(Graph<S>),
    /// The steps of a shortest path into a state that violates the safety property.
    Broken(Vec<String>),
}

/// Every reachable state, and the steps between them by index into the states.
pub(crate) struct Graph<S> {
    pub(crate) states: IndexSet<S>,
    pub(crate) steps: Vec<(usize, usize)>,
}

/// Explores everything that is reachable from `start`. `next` returns the possible steps and the
/// state after each; `is_broken` is the negation of the safety property.
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
    /// Returns a state from which no state with `is_goal` can be reached, if there is one.
    pub(crate) fn stuck(&self, is_goal: impl Fn(&S) -> bool) -> Option<&S> {
        let mut before: Vec<Vec<usize>> = vec![Vec::new(); self.states.len() + 1];
        for (from, to) in &self.steps {
            before[*to].push(*from);
        }
        // An additional node, with an edge back to every goal.
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

    /// Number of states with a property; asserts that the search covers them.
    pub(crate) fn count(&self, has: impl Fn(&S) -> bool) -> usize {
        self.states.iter().filter(|state| has(state)).count()
    }
}
