//! Exhaustive and random exploration of models that are built from the real step functions.

#![allow(dead_code, unreachable_pub)]

use std::fmt::{Debug, Write};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use pathfinding::directed::bfs::bfs_reach;
use xxhash_rust::xxh3::Xxh3;

/// A closed system whose possible steps can be enumerated in every state.
pub trait Model: Clone {
    type Action: Clone + Debug;

    /// Returns the steps that are possible in the present state.
    fn actions(&self) -> Vec<Self::Action>;

    /// Takes one step.
    fn step(&mut self, action: &Self::Action);

    /// Returns the name of an invariant that does not hold, if there is one.
    fn violation(&self) -> Option<&'static str>;

    /// Hashes the part of the state on which later steps depend.
    fn hash_state(&self, hasher: &mut Xxh3);
}

struct HashWriter<'a>(&'a mut Xxh3);

impl Write for HashWriter<'_> {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

/// Hashes a value by its debug output, which contains every field.
pub fn hash_debug(hasher: &mut Xxh3, value: &dyn Debug) {
    write!(HashWriter(hasher), "{value:?}").expect("writing to a hasher cannot fail");
}

/// Returns the digest of a value's debug output.
pub fn digest_debug(value: &dyn Debug) -> u128 {
    let mut hasher = Xxh3::new();
    hash_debug(&mut hasher, value);
    hasher.digest128()
}

struct Trace<A> {
    action: A,
    previous: Option<Rc<Trace<A>>>,
}

/// A model together with the trace that led to its state; compared by a 128-bit digest of the state.
#[derive(Clone)]
struct Node<M: Model> {
    digest: u128,
    model: M,
    trace: Option<Rc<Trace<M::Action>>>,
}

impl<M: Model> Node<M> {
    fn new(model: M, trace: Option<Rc<Trace<M::Action>>>) -> Self {
        let mut hasher = Xxh3::new();
        model.hash_state(&mut hasher);
        Self {
            digest: hasher.digest128(),
            model,
            trace,
        }
    }

    fn successors(&self) -> Vec<Self> {
        let follow = |action: M::Action| {
            let mut model = self.model.clone();
            model.step(&action);
            let trace = Trace {
                action,
                previous: self.trace.clone(),
            };
            Self::new(model, Some(Rc::new(trace)))
        };
        self.model.actions().into_iter().map(follow).collect()
    }

    fn actions(&self) -> Vec<String> {
        let mut actions = Vec::new();
        let mut trace = self.trace.as_deref();
        while let Some(step) = trace {
            actions.push(format!("{:?}", step.action));
            trace = step.previous.as_deref();
        }
        actions.reverse();
        actions
    }
}

impl<M: Model> PartialEq for Node<M> {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl<M: Model> Eq for Node<M> {}

impl<M: Model> Hash for Node<M> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u128(self.digest);
    }
}

/// A violated invariant, with the shortest schedule that leads to the violation.
#[derive(Debug)]
pub struct Violation {
    pub invariant: &'static str,
    pub schedule: Vec<String>,
}

/// Explores all reachable states; returns their number, or the first violation.
pub fn explore<M: Model>(name: &str, start: M) -> Result<usize, Violation> {
    let start_time = std::time::Instant::now();
    let mut states = 0;
    for node in bfs_reach(Node::new(start, None), Node::successors) {
        states += 1;
        if let Some(invariant) = node.model.violation() {
            return Err(Violation {
                invariant,
                schedule: node.actions(),
            });
        }
    }
    println!(
        "{name}: {states} states in {:.1} s",
        start_time.elapsed().as_secs_f64()
    );
    Ok(states)
}

/// Explores all reachable states and requires that all invariants hold in them.
pub fn assert_invariants_hold<M: Model>(name: &str, start: M) {
    match explore(name, start) {
        Ok(states) => assert!(
            states > 1_000,
            "{name}: only {states} states, expected more than 1000"
        ),
        Err(violation) => panic!("{name}: {violation:#?}"),
    }
}

/// Explores a model with a broken rule and requires that the named invariant is the first one violated.
pub fn assert_violates<M: Model>(name: &str, expected: &str, start: M) {
    match explore(name, start) {
        Ok(states) => panic!("{name}: no violation in {states} states, expected {expected:?}"),
        Err(violation) => {
            println!("{name}: {violation:?}");
            assert_eq!(violation.invariant, expected, "{:#?}", violation.schedule);
        }
    }
}

/// Follows a schedule chosen at random, for at most `steps` steps.
pub fn random_walk<M: Model>(
    mut model: M,
    steps: usize,
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let mut schedule = Vec::new();
    for _ in 0..steps {
        let actions = model.actions();
        if actions.is_empty() || u.is_empty() {
            break;
        }
        let action = u.choose(&actions)?;
        schedule.push(action.clone());
        model.step(action);
        if let Some(invariant) = model.violation() {
            panic!("{invariant}: {schedule:#?}");
        }
    }
    Ok(())
}
