//! Views of the store that differ between instances, in virtual time: whichever way a document takes, none brings back what
//! its receiver knows to be gone, one version has one content, and quiet instances believe what the store holds.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use support::{ms, seeds};
use tamarackdeck::{
    Beliefs, Doc, DocStore, GracePeriods, HeldBack, ListExtent, ListUse, REREGISTRATION_GRACE,
    StoreCall, StoreChanges, StoreList, StoreMirror, Tick, WatchUse, doc_era,
};

const TOPIC: &str = "servers";
const NAMES: [&str; 2] = ["a", "b"];
/// Time that a step takes, in milliseconds.
const STEP: u64 = 100;
/// Time for which a drained server is still used by instances in touch (`drainMs` of the users' deployments).
const DRAINED: Duration = Duration::from_secs(3);

/// A store whose values rise with each write, so that each one tells when it was written.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    objects: IndexMap<&'static str, u64>,
    /// Changes in order: revision, name, and the new value.
    log: Vec<(u64, &'static str, Option<u64>)>,
    /// Revision up to which the history is gone.
    compacted: u64,
}

impl Store {
    fn change(&mut self, name: &'static str, value: Option<u64>) {
        if value.is_none() && !self.objects.contains_key(name) {
            return;
        }
        self.revision += 1;
        match value {
            Some(value) => self.objects.insert(name, value),
            None => self.objects.shift_remove(name),
        };
        self.log.push((self.revision, name, value));
    }

    fn entries(&self) -> IndexMap<String, Bytes> {
        let text = |value: &u64| Bytes::from(value.to_string());
        self.objects.iter().map(|(name, value)| ((*name).to_owned(), text(value))).collect()
    }
}

#[derive(Clone)]
struct Instance {
    domain: usize,
    /// Whether the store answers it, and whether its last call failed.
    is_cut: bool,
    is_failing: bool,
    is_watcher: bool,
    mirror: StoreMirror<Bytes>,
    docs: DocStore,
    beliefs: Beliefs,
    grace: GracePeriods,
    /// Values that it has dropped in this era.
    dropped: IndexSet<u64>,
}

impl Instance {
    fn new(domain: usize, is_watcher: bool) -> Self {
        let (mirror, docs, beliefs, grace, dropped) = Default::default();
        let (is_cut, is_failing) = (false, false);
        Self { domain, is_cut, is_failing, is_watcher, mirror, docs, beliefs, grace, dropped }
    }

    fn believed(&self) -> IndexMap<String, u64> {
        let value = |text: &Bytes| std::str::from_utf8(text).unwrap().parse().unwrap();
        let mut believed: IndexMap<_, _> =
            self.beliefs.iter().map(|(name, text)| (name.to_owned(), value(text))).collect();
        believed.sort_unstable_keys();
        believed
    }

    /// Applies a document and what is kept no longer; fails if a value that was dropped is believed again.
    fn apply(&mut self, doc: Option<Arc<Doc>>, now: Tick) -> Result<(), String> {
        let before: IndexSet<u64> = self.believed().into_values().collect();
        if let Some(doc) = doc
            && self.docs.update(TOPIC, doc.clone()).is_some()
        {
            let era = doc_era(doc.version);
            let is_restored = self.beliefs.version().is_some_and(|known| doc_era(known) < era);
            self.grace.record_era(era, now);
            self.grace.believe(&mut self.beliefs, doc, HeldBack::RestoredAndLapsed, now);
            if is_restored {
                self.dropped.clear();
                return Ok(());
            }
        }
        self.beliefs.expire(now);
        let after: IndexSet<u64> = self.believed().into_values().collect();
        let returned: Vec<&u64> = after.iter().filter(|v| self.dropped.contains(*v)).collect();
        if !returned.is_empty() && now >= self.grace.restored_until() {
            return Err(format!("{returned:?} is believed again"));
        }
        self.dropped.extend(before.difference(&after));
        Ok(())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Write(usize),
    Remove(usize),
    Cut(usize),
    Heal(usize),
    /// A copy of the store is taken; the store is the copy again.
    Copy,
    Restore,
    Compact,
    /// One call to the store, if the instance watches; what changed is pushed to its domain.
    Call(usize),
    /// The instance watches from now on, and the others of its domain do not.
    TakeOver(usize),
    /// The second instance fetches what the first one holds.
    PassOn(usize, usize),
    /// Two seconds pass.
    Wait,
    Restart(usize),
    /// From now on calls for the second page of a list fail, there is no call for it, or it is read again.
    Interrupt,
    Truncate,
    Mend,
}

#[derive(Clone)]
struct World {
    now: Tick,
    store: Store,
    copy: Store,
    next_value: u64,
    instances: Vec<Instance>,
    /// Which part of the objects a list has.
    reach: ListExtent,
    /// What each version that was published has.
    published: IndexMap<u64, IndexMap<String, Bytes>>,
}

impl World {
    fn new(domains: &[usize]) -> Self {
        let mut seen = IndexSet::new();
        let instances = domains.iter().map(|d| Instance::new(*d, seen.insert(*d))).collect();
        let mut store = Store { era: 1, revision: 10, compacted: 10, ..Default::default() };
        store.change(NAMES[0], Some(1));
        store.change(NAMES[1], Some(2));
        let published = IndexMap::new();
        let copy = store.clone();
        let reach = ListExtent::Whole;
        Self { now: ms(10_000), store, copy, next_value: 3, instances, reach, published }
    }

    fn play(&mut self, step: Step) -> Result<(), String> {
        self.now = self.now + Duration::from_millis(STEP);
        match step {
            Step::Write(name) => {
                self.store.change(NAMES[name], Some(self.next_value));
                self.next_value += 1;
            }
            Step::Remove(name) => {
                self.store.change(NAMES[name], None);
            }
            Step::Cut(i) => self.instances[i].is_cut = true,
            Step::Heal(i) => self.instances[i].is_cut = false,
            Step::Copy => self.copy = self.store.clone(),
            Step::Restore => {
                let era = self.store.era + 1;
                self.store = Store { era, ..self.copy.clone() };
            }
            Step::Compact => self.store.compacted = self.store.revision,
            Step::Call(i) => self.call(i)?,
            Step::TakeOver(i) => {
                let domain = self.instances[i].domain;
                for (n, other) in self.instances.iter_mut().enumerate() {
                    if other.domain == domain {
                        other.is_watcher = n == i;
                        if n != i && other.mirror.cursor().is_watching() {
                            other.mirror.stop();
                        }
                    }
                }
            }
            Step::PassOn(from, to) => {
                let left = self.instances[from].grace.left(self.now);
                self.instances[to].grace.record_peer(left, self.now);
                let doc = self.instances[from].docs.get(TOPIC);
                self.apply(to, doc)?;
            }
            Step::Wait => self.now = self.now + REREGISTRATION_GRACE,
            Step::Restart(i) => {
                let Instance { domain, is_watcher, is_cut, .. } = self.instances[i];
                self.instances[i] = Instance { is_cut, ..Instance::new(domain, is_watcher) };
            }
            Step::Interrupt => self.reach = ListExtent::Interrupted,
            Step::Truncate => self.reach = ListExtent::Truncated,
            Step::Mend => self.reach = ListExtent::Whole,
        }
        (0..self.instances.len()).try_for_each(|i| self.apply(i, None))
    }

    fn apply(&mut self, i: usize, doc: Option<Arc<Doc>>) -> Result<(), String> {
        self.instances[i].apply(doc, self.now).map_err(|why| format!("instance {i}: {why}"))
    }

    /// Makes one call of an instance to the store, as the watcher of a kind does.
    fn call(&mut self, i: usize) -> Result<(), String> {
        let Self { store, copy, now, reach, .. } = self;
        let extent = *reach;
        let instance = &mut self.instances[i];
        if !instance.is_watcher {
            return Ok(());
        }
        if instance.is_cut {
            instance.is_failing = true;
            return Ok(());
        }
        let (era, revision) = (Some(store.era), store.revision);
        let mirror = &mut instance.mirror;
        if mirror.is_truncated() {
            mirror.list_again();
        }
        match mirror.next_call() {
            StoreCall::Watch { from } if from > revision || from < store.compacted => {
                mirror.list_again();
                return Ok(());
            }
            StoreCall::Watch { from } => {
                let text = |value: u64| Bytes::from(value.to_string());
                let changes = store
                    .log
                    .iter()
                    .filter(|(at, ..)| *at > from)
                    .map(|(_, name, value)| ((*name).to_owned(), value.map(text)));
                let changes: Vec<_> = changes.collect();
                let has_changed = !changes.is_empty();
                let use_of = mirror.record_watch(StoreChanges { era, revision, changes });
                if use_of == WatchUse::ListAgain {
                    return Ok(());
                }
                if std::mem::take(&mut instance.is_failing) {
                    instance.grace.record_return(*now);
                }
                if !has_changed {
                    return Ok(());
                }
            }
            StoreCall::List { stale } => {
                if let Some(doc) = instance.docs.get(TOPIC) {
                    mirror.record_peer_version(doc.version);
                }
                // an old list is of an earlier point of the same era
                let is_old = stale && copy.era == store.era;
                let listed: &Store = if is_old { copy } else { store };
                let (revision, mut entries) = (listed.revision, listed.entries());
                if extent != ListExtent::Whole {
                    entries.shift_remove(NAMES[1]);
                }
                if extent == ListExtent::Truncated {
                    let held = instance.docs.get(TOPIC).unwrap_or_default();
                    let held = held.entries.keys();
                    let missing = StoreMirror::missing_names(&entries, held, []);
                    let all = store.entries();
                    let found = missing.into_iter().filter_map(|name| all.get_key_value(&name));
                    entries.extend(found.map(|(name, entry)| (name.clone(), entry.clone())));
                }
                let list = StoreList { extent, era, revision, last_revision: revision, entries };
                match mirror.record_list(list) {
                    ListUse::Outdated => return Ok(()),
                    ListUse::Interrupted => return self.publish_interrupted(i),
                    ListUse::Replace | ListUse::Restored => {}
                }
                if std::mem::take(&mut instance.is_failing) {
                    instance.grace.record_return(*now);
                }
            }
        }
        self.publish(i)
    }

    fn publish(&mut self, i: usize) -> Result<(), String> {
        let Some((point, entries)) = self.instances[i].mirror.published() else { return Ok(()) };
        let mut entries = entries.clone();
        entries.sort_unstable_keys();
        let version = self.instances[i].mirror.doc_version();
        if version == point.doc_version() {
            let first = self.published.entry(version).or_insert_with(|| entries.clone());
            if *first != entries {
                return Err(format!("version {version} has {first:?} and {entries:?}"));
            }
        }
        self.push(i, Doc { version, entries })
    }

    /// Publishes what an interrupted list has to those who know nothing.
    fn publish_interrupted(&mut self, i: usize) -> Result<(), String> {
        self.instances[i].is_failing = true;
        let Some((version, entries)) = self.instances[i].mirror.interruption() else {
            return Ok(());
        };
        let doc = Doc { version, entries: entries.clone() };
        self.push(i, doc)
    }

    /// Pushes a document to the instances of a domain.
    fn push(&mut self, i: usize, doc: Doc) -> Result<(), String> {
        let doc = Arc::new(doc);
        let (domain, left) = (self.instances[i].domain, self.instances[i].grace.left(self.now));
        for n in 0..self.instances.len() {
            if self.instances[n].domain == domain {
                self.instances[n].grace.record_peer(left, self.now);
                self.apply(n, Some(doc.clone()))?;
            }
        }
        Ok(())
    }

    /// Lets all instances reach the store and each other; fails if any does not believe what the store holds.
    fn settle(&mut self) -> Result<(), String> {
        let instances = self.instances.len();
        self.reach = ListExtent::Whole;
        for _ in 0..4 {
            self.instances.iter_mut().for_each(|instance| instance.is_cut = false);
            (0..instances).try_for_each(|i| self.call(i))?;
            self.now = self.now + Duration::from_millis(STEP);
        }
        let docs = self.instances.iter().filter_map(|i| i.docs.get(TOPIC));
        let newest = docs.max_by_key(|doc| doc.version);
        (0..instances).try_for_each(|i| self.apply(i, newest.clone()))?;
        self.play(Step::Wait)?;
        let mut expected: IndexMap<String, u64> =
            self.store.objects.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect();
        expected.sort_unstable_keys();
        for (i, instance) in self.instances.iter().enumerate() {
            let believed = instance.believed();
            if believed != expected {
                return Err(format!("instance {i} believes {believed:?}, not {expected:?}"));
            }
        }
        Ok(())
    }
}

/// Starts the instances, plays the steps and lets all settle; tells what went wrong, with the steps.
fn play_all(domains: &[usize], steps: &[Step]) -> Result<(), String> {
    let mut world = World::new(domains);
    world.settle().map_err(|why| format!("at the start: {why}"))?;
    let played = steps.iter().try_for_each(|step| world.play(*step));
    played.and_then(|()| world.settle()).map_err(|why| format!("{steps:?}: {why}"))
}

/// All steps over two domains and three instances, the first two of them in the same domain.
const STEPS: &[Step] = &[
    Step::Write(0),
    Step::Remove(0),
    Step::Cut(0),
    Step::Cut(2),
    Step::Heal(0),
    Step::Heal(2),
    Step::Copy,
    Step::Restore,
    Step::Compact,
    Step::Call(0),
    Step::Call(1),
    Step::Call(2),
    Step::TakeOver(0),
    Step::TakeOver(1),
    Step::PassOn(0, 2),
    Step::PassOn(2, 0),
    Step::PassOn(2, 1),
    Step::Wait,
    Step::Restart(1),
    Step::Interrupt,
    Step::Truncate,
];

/// Guards against a view that knows less and wins by the number of its version, whatever the order of a few steps.
#[test]
fn every_order_of_four_steps_leaves_what_the_store_holds() {
    for a in STEPS {
        for b in STEPS {
            for c in STEPS {
                for d in STEPS {
                    play_all(&[0, 0, 1], &[*a, *b, *c, *d]).unwrap();
                }
            }
        }
    }
}

struct OrderCase {
    name: &'static str,
    steps: &'static [Step],
}

/// Orders in which a view that knew less won before, as instances published what their grace periods kept.
const ORDERS: &[OrderCase] = &[
    OrderCase {
        name: "an instance alone in its domain misses a removal",
        steps: &[
            Step::Cut(2),
            Step::Call(2),
            Step::Remove(0),
            Step::Call(0),
            Step::Write(1),
            Step::Heal(2),
            Step::Call(2),
            Step::PassOn(2, 0),
        ],
    },
    OrderCase {
        name: "two watchers of one domain, one of which was cut off",
        steps: &[
            Step::Cut(0),
            Step::Call(0),
            Step::TakeOver(1),
            Step::Call(1),
            Step::Remove(0),
            Step::Call(1),
            Step::Heal(0),
            Step::TakeOver(0),
            Step::Call(0),
            Step::PassOn(0, 2),
        ],
    },
    OrderCase {
        name: "an instance hears of an era late, and of a write long after the restore",
        steps: &[
            Step::Copy,
            Step::Cut(2),
            Step::Call(2),
            Step::Restore,
            Step::Call(0),
            Step::Wait,
            Step::Wait,
            Step::Write(0),
            Step::Call(0),
            Step::Heal(2),
            Step::Call(2),
            Step::PassOn(2, 0),
            Step::PassOn(0, 1),
        ],
    },
    OrderCase {
        name: "an instance takes over while a change is pending on the one before it",
        steps: &[
            Step::Copy,
            Step::Restore,
            Step::Call(0),
            Step::Write(0),
            Step::Call(0),
            Step::TakeOver(1),
            Step::Call(1),
            Step::Remove(1),
            Step::TakeOver(0),
            Step::Call(0),
        ],
    },
];

/// Guards against an instance that makes others believe an entry again that they know to be gone (DRAIN, EVAC).
#[test]
fn no_order_in_which_a_view_that_knew_less_won_brings_an_entry_back() {
    for case in ORDERS {
        play_all(&[0, 0, 1], case.steps).unwrap_or_else(|why| panic!("{}: {why}", case.name));
    }
}

struct RandomCase {
    name: &'static str,
    domains: usize,
    members: usize,
    steps: usize,
    seeds: u64,
}

const RANDOM: &[RandomCase] = &[
    RandomCase { name: "three instances", domains: 2, members: 2, steps: 60, seeds: 1_500 },
    RandomCase { name: "nine instances", domains: 3, members: 3, steps: 150, seeds: 300 },
    RandomCase { name: "640 instances", domains: 8, members: 80, steps: 400, seeds: 1 },
];

fn random_step(rng: &mut StdRng, instances: usize, has_restores: bool) -> Step {
    let i = rng.random_range(0..instances);
    let n = rng.random_range(0..instances);
    let name = rng.random_range(0..NAMES.len());
    match rng.random_range(0..100) {
        0..10 => Step::Write(name),
        10..18 => Step::Remove(name),
        18..24 => Step::Cut(i),
        24..31 => Step::Heal(i),
        31..34 => Step::Copy,
        34..37 if has_restores => Step::Restore,
        37..39 => Step::Compact,
        39..72 => Step::Call(i),
        72..80 => Step::TakeOver(i),
        80..93 => Step::PassOn(i, n),
        93..96 => Step::Restart(i),
        _ => Step::Wait,
    }
}

#[test]
fn random_orders_of_many_steps_leave_what_the_store_holds() {
    for case in RANDOM {
        let domains: Vec<usize> =
            (0..case.domains * case.members).map(|n| n / case.members).collect();
        for seed in seeds(case.seeds) {
            let mut rng = StdRng::seed_from_u64(seed);
            let has_restores = rng.random_bool(0.5);
            let steps: Vec<Step> = (0..case.steps)
                .map(|_| random_step(&mut rng, domains.len(), has_restores))
                .collect();
            play_all(&domains, &steps)
                .unwrap_or_else(|why| panic!("{}, seed {seed}: {why}", case.name));
        }
    }
}

/// Guards against a removal that instances in touch act on too late because one instance was cut off.
///
/// One instance of each domain is cut off and comes back at any moment around a removal; the instances that were never cut,
/// and have a watcher that was not, drop the entry within the time for which a drained server may still be used.
#[test]
fn a_cut_of_one_instance_delays_no_removal_beyond_its_bound() {
    for seed in seeds(400) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::new(&[0, 0, 1, 1, 2]);
        world.settle().unwrap();
        let cut = *[0, 2, 4].choose(&mut rng).unwrap();
        let steps = rng.random_range(10..60);
        let (back_at, removed_at) = (rng.random_range(5..steps), rng.random_range(0..steps));
        world.play(Step::Cut(cut)).unwrap();
        let mut removed = None;
        for n in 0..steps + 40 {
            if n == removed_at {
                removed = Some(world.now);
                world.play(Step::Remove(0)).unwrap();
            }
            if n == back_at {
                world.play(Step::Heal(cut)).unwrap();
            }
            let watcher = cut / 2 * 2;
            if cut != 4 && n == 3 {
                world.play(Step::TakeOver(watcher + 1)).unwrap();
            }
            if cut != 4 && n == back_at + 3 {
                world.play(Step::TakeOver(cut)).unwrap();
            }
            for i in 0..5 {
                // heartbeats every 0.4 s to a random one
                let other = rng.random_range(0..5);
                if n % 4 == i % 4 {
                    world.play_in_place(Step::PassOn(i, other)).unwrap();
                }
                world.play_in_place(Step::Call(i)).unwrap();
            }
            world.play(Step::Compact).unwrap();
            let Some(at) = removed else { continue };
            if world.now.since(at) <= DRAINED {
                continue;
            }
            for (i, instance) in world.instances.iter().enumerate() {
                let is_in_touch = i != cut;
                let is_used = instance.believed().values().any(|value| *value == 1);
                assert!(!is_in_touch || !is_used, "seed {seed}: instance {i} uses it still");
            }
        }
    }
}

struct PagesCase {
    name: &'static str,
    /// Revisions of the first and the last page of a list.
    pages: (u64, u64),
    /// Revisions that watches have reached since.
    watched: &'static [u64],
    /// Revision of the document that may be published.
    published: Option<u64>,
}

const PAGES: &[PagesCase] = &[
    PagesCase {
        name: "all pages of one point",
        pages: (70, 70),
        watched: &[],
        published: Some(70),
    },
    PagesCase { name: "changes between the pages", pages: (70, 73), watched: &[], published: None },
    PagesCase {
        name: "a watch that has not reached the last page",
        pages: (70, 73),
        watched: &[72],
        published: None,
    },
    PagesCase {
        name: "a watch that has reached the last page",
        pages: (70, 73),
        watched: &[72, 73],
        published: Some(73),
    },
    PagesCase {
        name: "a watch that is beyond the last page",
        pages: (70, 73),
        watched: &[80],
        published: Some(80),
    },
];

/// Guards against a document that has entries of several points of the store, and so differs from that of another instance.
#[test]
fn a_list_of_several_points_is_published_once_it_is_of_one() {
    for case in PAGES {
        let mut mirror = StoreMirror::<Bytes>::default();
        let (revision, last_revision) = case.pages;
        let entries = IndexMap::new();
        mirror.record_list(StoreList {
            extent: ListExtent::Whole,
            era: Some(1),
            revision,
            last_revision,
            entries,
        });
        for revision in case.watched {
            let changes = Vec::new();
            mirror.record_watch(StoreChanges { era: Some(1), revision: *revision, changes });
        }
        let published = mirror.published().map(|(point, _)| point.revision);
        assert_eq!(published, case.published, "{}", case.name);
        mirror.stop();
        assert!(mirror.published().is_none(), "{}: another instance watches", case.name);
    }
}

/// Guards against live servers that are dropped for a moment, since a document of another domain reaches an instance before
/// it hears itself that the store is back.
#[test]
fn entries_that_lapse_in_an_outage_are_kept_where_others_tell_of_them_first() {
    let mut world = World::new(&[0, 0, 1]);
    world.settle().unwrap();
    for step in [Step::Cut(0), Step::Cut(2), Step::Call(0), Step::Call(2), Step::Remove(0)] {
        world.play(step).unwrap();
    }
    // the first domain hears first that the store is back, and the other one learns from it
    for step in [Step::Heal(0), Step::Call(0), Step::PassOn(0, 2), Step::Heal(2)] {
        world.play(step).unwrap();
        for (i, instance) in world.instances.iter().enumerate() {
            let is_kept = instance.believed().contains_key(NAMES[0]);
            assert!(is_kept, "instance {i} drops it after {step:?}");
        }
    }
    world.settle().unwrap();
}

impl World {
    /// Plays a step that takes no time.
    fn play_in_place(&mut self, step: Step) -> Result<(), String> {
        let now = self.now;
        let result = self.play(step);
        self.now = now;
        result
    }
}

struct PartCase {
    name: &'static str,
    steps: &'static [Step],
    /// Names that the first instance believes then.
    believed: &'static [&'static str],
}

const PARTS: &[PartCase] = &[
    PartCase {
        name: "interrupted at a start",
        steps: &[Step::Restart(0), Step::Interrupt, Step::Call(0)],
        believed: &["a"],
    },
    PartCase {
        name: "interrupted at a start, and then not",
        steps: &[Step::Restart(0), Step::Interrupt, Step::Call(0), Step::Mend, Step::Call(0)],
        believed: &["a", "b"],
    },
    PartCase {
        name: "truncated at a start",
        steps: &[Step::Restart(0), Step::Truncate, Step::Call(0), Step::Call(0)],
        believed: &["a"],
    },
    PartCase {
        name: "truncated at a start, beside a peer that holds all",
        steps: &[
            Step::Restart(0),
            Step::Truncate,
            Step::Call(0),
            Step::PassOn(1, 0),
            Step::Call(0),
            Step::Call(0),
        ],
        believed: &["a", "b"],
    },
    PartCase {
        name: "interrupted once the history is gone",
        steps: &[Step::Interrupt, Step::Write(0), Step::Compact, Step::Call(0), Step::Call(0)],
        believed: &["a", "b"],
    },
    PartCase {
        name: "truncated once the history is gone",
        steps: &[Step::Truncate, Step::Write(0), Step::Compact, Step::Call(0), Step::Call(0)],
        believed: &["a", "b"],
    },
    PartCase {
        name: "truncated, and the unread entry is gone",
        steps: &[Step::Truncate, Step::Remove(1), Step::Compact, Step::Call(0), Step::Call(0)],
        believed: &["a"],
    },
    PartCase {
        name: "truncated, and the entry that is read is gone",
        steps: &[Step::Truncate, Step::Remove(0), Step::Compact, Step::Call(0), Step::Call(0)],
        believed: &["b"],
    },
];

/// Guards against one page that cannot be read and costs what all the others have, or what is held, or keeps what is gone.
#[test]
fn a_page_that_cannot_be_read_costs_no_other() {
    for case in PARTS {
        let mut world = World::new(&[0, 0, 1]);
        world.settle().unwrap();
        for step in case.steps {
            world.play(*step).unwrap();
        }
        world.play(Step::Wait).unwrap();
        let believed = world.instances[0].believed();
        assert!(believed.keys().eq(case.believed), "{}: {believed:?}", case.name);
        world.settle().unwrap();
    }
}
