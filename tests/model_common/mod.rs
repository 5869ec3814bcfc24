//! Exhaustive and random exploration of worlds of step functions.

#![allow(dead_code, unreachable_pub)]

use std::fmt::{Debug, Write};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use pathfinding::directed::bfs::bfs_reach;
use xxhash_rust::xxh3::Xxh3;

/// A closed system whose steps are enumerable.
pub trait World: Clone {
    type Action: Clone + Debug;

    /// Returns the steps that can be taken now.
    fn actions(&self) -> Vec<Self::Action>;

    /// Takes one step.
    fn step(&mut self, action: &Self::Action);

    /// Returns the name of an invariant that does not hold.
    fn violation(&self) -> Option<&'static str>;

    /// Hashes everything on which later steps depend.
    fn hash_state(&self, hasher: &mut Xxh3);
}

struct HashWriter<'a>(&'a mut Xxh3);

impl Write for HashWriter<'_> {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

/// Hashes a value by its debug output, which names every field.
pub fn hash_debug(hasher: &mut Xxh3, value: &dyn Debug) {
    write!(HashWriter(hasher), "{value:?}").expect("a hasher accepts everything");
}

/// Returns the digest of one value.
pub fn digest_debug(value: &dyn Debug) -> u128 {
    let mut hasher = Xxh3::new();
    hash_debug(&mut hasher, value);
    hasher.digest128()
}

struct Trace<A> {
    action: A,
    before: Option<Rc<Trace<A>>>,
}

/// A world that is compared by a 128-bit digest of its state.
#[derive(Clone)]
struct Node<W: World> {
    digest: u128,
    world: W,
    trace: Option<Rc<Trace<W::Action>>>,
}

impl<W: World> Node<W> {
    fn new(world: W, trace: Option<Rc<Trace<W::Action>>>) -> Self {
        let mut hasher = Xxh3::new();
        world.hash_state(&mut hasher);
        Self {
            digest: hasher.digest128(),
            world,
            trace,
        }
    }

    fn successors(&self) -> Vec<Self> {
        let follow = |action: W::Action| {
            let mut world = self.world.clone();
            world.step(&action);
            let trace = Trace {
                action,
                before: self.trace.clone(),
            };
            Self::new(world, Some(Rc::new(trace)))
        };
        self.world.actions().into_iter().map(follow).collect()
    }

    fn actions(&self) -> Vec<String> {
        let mut actions = Vec::new();
        let mut trace = self.trace.as_deref();
        while let Some(step) = trace {
            actions.push(format!("{:?}", step.action));
            trace = step.before.as_deref();
        }
        actions.reverse();
        actions
    }
}

impl<W: World> PartialEq for Node<W> {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl<W: World> Eq for Node<W> {}

impl<W: World> Hash for Node<W> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u128(self.digest);
    }
}

/// An invariant that was found not to hold, with the shortest schedule that leads there.
#[derive(Debug)]
pub struct Violation {
    pub invariant: &'static str,
    pub schedule: Vec<String>,
}

/// Explores all reachable states; returns their number, or the first violation.
pub fn explore<W: World>(name: &str, start: W) -> Result<usize, Violation> {
    let start_time = std::time::Instant::now();
    let mut states = 0;
    for node in bfs_reach(Node::new(start, None), Node::successors) {
        states += 1;
        if let Some(invariant) = node.world.violation() {
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

/// Explores and requires that all invariants hold.
pub fn prove<W: World>(name: &str, start: W) {
    match explore(name, start) {
        Ok(states) => assert!(states > 1_000, "{name}: only {states} states"),
        Err(violation) => panic!("{name}: {violation:#?}"),
    }
}

/// Explores a world with a broken rule and requires that the named invariant fails first.
pub fn catch<W: World>(name: &str, expected: &str, start: W) {
    match explore(name, start) {
        Ok(states) => panic!("{name}: not caught in {states} states"),
        Err(violation) => {
            println!("{name}: {violation:?}");
            assert_eq!(violation.invariant, expected, "{:#?}", violation.schedule);
        }
    }
}

/// Follows a schedule chosen at random, for at most `steps` steps.
pub fn wander<W: World>(
    mut world: W,
    steps: usize,
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let mut schedule = Vec::new();
    for _ in 0..steps {
        let actions = world.actions();
        if actions.is_empty() || u.is_empty() {
            break;
        }
        let action = u.choose(&actions)?;
        schedule.push(action.clone());
        world.step(action);
        if let Some(invariant) = world.violation() {
            panic!("{invariant}: {schedule:#?}");
        }
    }
    Ok(())
}
