//! Both machines together, in every order of messages, time-outs, deaths and work, for small cases; and the frames.

use std::collections::{BTreeSet, HashSet, VecDeque};

use crate::frame::{encode, Bad, Incoming, MOST};
use crate::giver::{self, Giver};
use crate::message::frame::What;
use crate::message::{Go, Hello, Refuse, State};
use crate::taker::{self, Taker};

/// Work that may be started in all: enough for some before, some between and some after.
const WORK: u8 = 3;

type Known = BTreeSet<u8>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ToTaker {
    Offer,
    Trial(bool),
    State(u64, Known),
    Go(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ToGiver {
    Hello,
    Adopted,
    Probed,
    Loaded(u64),
    Refuse,
    Mirror(u8),
}

/// A mistake that the exploration must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// What the successor starts is not mirrored.
    Unmirrored,
    /// The giver carries on without ending the successor.
    Unkilled,
    /// The successor takes the work when the giver ends, whatever it has.
    Hasty,
    /// The giver goes on starting work while the state is under way.
    Unfrozen,
}

#[derive(Clone)]
struct World {
    giver: Option<Giver>,
    taker: Option<Taker>,
    /// What each knows to have been started.
    giver_knows: Known,
    taker_knows: Known,
    down: VecDeque<ToTaker>,
    up: VecDeque<ToGiver>,
    started: u8,
    giver_heard_end: bool,
    taker_heard_end: bool,
}

impl World {
    fn key(&self) -> String {
        let giver = self.giver.as_ref().map(|giver| format!("{giver:?}"));
        let taker = self.taker.as_ref().map(|taker| format!("{taker:?}"));
        format!(
            "{giver:?}{taker:?}{:?}{:?}{:?}{:?}{}{}{}",
            self.giver_knows,
            self.taker_knows,
            self.down,
            self.up,
            self.started,
            self.giver_heard_end,
            self.taker_heard_end
        )
    }

    fn giver_does(&mut self, now: f64, event: giver::Event, mistake: Mistake) {
        let Some(giver) = &mut self.giver else { return };
        for action in giver.on(now, event) {
            match action {
                giver::Action::Offer => self.down.push_back(ToTaker::Offer),
                giver::Action::Try => self.down.push_back(ToTaker::Trial(true)),
                giver::Action::Freeze(epoch) => {
                    self.down
                        .push_back(ToTaker::State(epoch, self.giver_knows.clone()));
                }
                giver::Action::Go(epoch) => self.down.push_back(ToTaker::Go(epoch)),
                giver::Action::Kill if mistake != Mistake::Unkilled => self.taker = None,
                giver::Action::Exit => {
                    self.giver = None;
                    return;
                }
                _ => {}
            }
        }
    }

    fn taker_does(&mut self, event: taker::Event, mistake: Mistake) {
        let Some(taker) = &mut self.taker else { return };
        let hasty = mistake == Mistake::Hasty && event == taker::Event::Ended;
        let actions = if hasty {
            vec![taker::Action::Own]
        } else {
            taker.on(0.0, event)
        };
        if hasty {
            // As one that has been through all the steps.
            let mut owner = Taker::new(0.0);
            owner.on(0.0, taker::Event::Offered);
            owner.on(0.0, taker::Event::Trial(Ok(())));
            owner.on(0.0, taker::Event::State(9, Ok(())));
            owner.on(0.0, taker::Event::Go(9));
            *taker = owner;
        }
        for action in actions {
            match action {
                taker::Action::Adopted => self.up.push_back(ToGiver::Adopted),
                taker::Action::Probed => self.up.push_back(ToGiver::Probed),
                taker::Action::Loaded(epoch) => self.up.push_back(ToGiver::Loaded(epoch)),
                taker::Action::Refuse(_) => {
                    self.up.push_back(ToGiver::Refuse);
                    self.taker = None;
                    return;
                }
                taker::Action::Own | taker::Action::Alone => {}
            }
        }
    }

    /// All that can happen next, each with its name.
    fn next(&self, mistake: Mistake) -> Vec<(&'static str, World)> {
        let mut all = Vec::new();
        let mut add = |name, change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            all.push((name, world));
        };
        let owner = |giver: &Giver| {
            giver.owns() || mistake == Mistake::Unfrozen && giver.step() == giver::Step::Committing
        };
        if self.started < WORK && self.giver.as_ref().is_some_and(owner) {
            add("the giver starts work", &|world| {
                world.giver_knows.insert(world.started);
                world.started += 1;
            });
        }
        if self.started < WORK && self.taker.as_ref().is_some_and(Taker::owns) {
            add("the taker starts work", &|world| {
                if mistake != Mistake::Unmirrored {
                    world.up.push_back(ToGiver::Mirror(world.started));
                }
                world.taker_knows.insert(world.started);
                world.started += 1;
            });
        }
        if self.taker.is_some() && !self.down.is_empty() {
            add("the taker hears", &|world| match world.down.pop_front() {
                Some(ToTaker::Offer) => world.taker_does(taker::Event::Offered, mistake),
                Some(ToTaker::Trial(_)) => world.taker_does(taker::Event::Trial(Ok(())), mistake),
                Some(ToTaker::State(epoch, known)) => {
                    world.taker_knows = known;
                    world.taker_does(taker::Event::State(epoch, Ok(())), mistake);
                }
                Some(ToTaker::Go(epoch)) => world.taker_does(taker::Event::Go(epoch), mistake),
                None => {}
            });
            if let Some(ToTaker::Trial(_)) = self.down.front() {
                add("the trial fails", &|world| {
                    world.down.pop_front();
                    world.taker_does(taker::Event::Trial(Err("no".into())), mistake);
                });
            }
        }
        if self.giver.is_some() && !self.up.is_empty() {
            add("the giver hears", &|world| match world.up.pop_front() {
                Some(ToGiver::Hello) => {
                    let hello = giver::Event::Hello {
                        version: crate::VERSION,
                        shape: 1,
                        known: true,
                    };
                    world.giver_does(0.0, hello, mistake);
                }
                Some(ToGiver::Adopted) => world.giver_does(0.0, giver::Event::Adopted, mistake),
                Some(ToGiver::Probed) => world.giver_does(0.0, giver::Event::Probed, mistake),
                Some(ToGiver::Loaded(epoch)) => {
                    world.giver_does(0.0, giver::Event::Loaded(epoch), mistake)
                }
                Some(ToGiver::Refuse) => {
                    world.giver_does(0.0, giver::Event::Refused("no".into()), mistake)
                }
                Some(ToGiver::Mirror(work)) => {
                    world.giver_knows.insert(work);
                }
                None => {}
            });
            if let Some(ToGiver::Hello) = self.up.front() {
                add("another release says hello", &|world| {
                    world.up.pop_front();
                    let hello = giver::Event::Hello {
                        version: 99,
                        shape: 1,
                        known: true,
                    };
                    world.giver_does(0.0, hello, mistake);
                });
            }
        }
        if self
            .giver
            .as_ref()
            .is_some_and(|giver| giver.wake().is_some())
        {
            add("the giver waits in vain", &|world| {
                world.giver_does(1e9, giver::Event::Tick, mistake)
            });
            add("the giver is told to leave", &|world| {
                world.giver_does(0.0, giver::Event::Leave, mistake)
            });
        }
        if self.giver.is_some() {
            add("the giver is killed", &|world| world.giver = None);
        }
        if self.taker.is_some() {
            add("the taker is killed", &|world| world.taker = None);
        }
        if self.taker.is_none()
            && self.giver.is_some()
            && self.up.is_empty()
            && !self.giver_heard_end
        {
            add("the giver hears the end", &|world| {
                world.giver_heard_end = true;
                world.giver_does(0.0, giver::Event::Ended, mistake);
            });
        }
        if self.giver.is_none()
            && self.taker.is_some()
            && self.down.is_empty()
            && !self.taker_heard_end
        {
            add("the taker hears the end", &|world| {
                world.taker_heard_end = true;
                world.taker_does(taker::Event::Ended, mistake);
            });
        }
        all
    }

    /// What must hold at every instant.
    fn check(&self) -> Result<(), &'static str> {
        let giver = self.giver.as_ref().is_some_and(Giver::owns);
        let taker = self.taker.as_ref().is_some_and(Taker::owns);
        if giver && taker {
            return Err("two may start work");
        }
        let all: Known = (0..self.started).collect();
        if giver && self.giver_knows != all || taker && self.taker_knows != all {
            return Err("one that may start work does not know all that was started");
        }
        Ok(())
    }
}

/// Goes through everything that can happen; how many worlds there are, or how one went wrong.
fn explore(mistake: Mistake) -> Result<usize, String> {
    let first = World {
        giver: Some(Giver::new(0.0, 1, 1)),
        taker: Some(Taker::new(0.0)),
        giver_knows: Known::new(),
        taker_knows: Known::new(),
        down: VecDeque::new(),
        up: VecDeque::from([ToGiver::Hello]),
        started: 0,
        giver_heard_end: false,
        taker_heard_end: false,
    };
    let mut seen = HashSet::from([first.key()]);
    let mut open = vec![(first, Vec::new())];
    while let Some((world, path)) = open.pop() {
        world.check().map_err(|what| format!("{what}: {path:?}"))?;
        let next = world.next(mistake);
        // Nothing more can happen but death: whoever is left must be serving.
        let stuck = next
            .iter()
            .all(|(name, _)| name.ends_with("killed") || name.ends_with("starts work"));
        let serving = world.giver.as_ref().is_some_and(Giver::owns)
            || world.taker.as_ref().is_some_and(Taker::owns);
        if stuck && !serving && (world.giver.is_some() || world.taker.is_some()) {
            return Err(format!("nobody serves, and nothing can happen: {path:?}"));
        }
        for (name, world) in next {
            if seen.insert(world.key()) {
                let mut path = path.clone();
                path.push(name);
                open.push((world, path));
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn in_no_order_of_events_do_two_start_work_or_one_that_does_not_know_all_that_was_started() {
    let worlds = explore(Mistake::None).unwrap();
    assert!(worlds > 300, "only {worlds} were seen");
}

#[test]
fn the_exploration_finds_each_mistake_that_is_made_on_purpose() {
    for mistake in [
        Mistake::Unmirrored,
        Mistake::Unkilled,
        Mistake::Hasty,
        Mistake::Unfrozen,
    ] {
        let found = explore(mistake);
        assert!(
            found.is_err(),
            "{mistake:?} was not found in {found:?} worlds"
        );
    }
}

#[test]
fn a_stranger_and_another_release_are_turned_away_and_the_giver_carries_on() {
    for (version, shape, known) in [
        (crate::VERSION, 1, false),
        (99, 1, true),
        (crate::VERSION, 2, true),
    ] {
        let mut giver = Giver::new(0.0, 1, 1);
        let actions = giver.on(
            0.0,
            giver::Event::Hello {
                version,
                shape,
                known,
            },
        );
        assert!(
            matches!(
                actions[..],
                [giver::Action::Kill, giver::Action::Tell(Err(_))]
            ),
            "{actions:?}"
        );
        assert!(giver.owns());
    }
}

#[test]
fn frames_come_whole_in_any_pieces_and_what_is_no_frame_is_known_as_such() {
    let all = [
        What::Hello(Hello {
            version: 1,
            shape: 2,
            nonce: vec![7; 16],
        }),
        What::State(State {
            epoch: 3,
            part: vec![1; 5000],
            last: true,
        }),
        What::Refuse(Refuse { why: "no".into() }),
        What::Go(Go { epoch: 3 }),
    ];
    let bytes: Vec<u8> = all.iter().flat_map(|what| encode(what.clone())).collect();
    for piece in [1, 3, 4096, bytes.len()] {
        let (mut incoming, mut got) = (Incoming::default(), Vec::new());
        for piece in bytes.chunks(piece) {
            incoming.add(piece);
            while let Some(what) = incoming.take().unwrap() {
                got.push(what);
            }
        }
        assert_eq!(got, all);
    }
    let mut long = Incoming::default();
    long.add(&(MOST as u32 + 1).to_be_bytes());
    assert_eq!(long.take(), Err(Bad::TooLong));
    let mut rubbish = Incoming::default();
    rubbish.add(&[0, 0, 0, 3, 0xff, 0xff, 0xff]);
    assert_eq!(rubbish.take(), Err(Bad::Unreadable));
    // A kind of a later release is passed over: field 500, two bytes.
    let mut later = Incoming::default();
    later.add(&[0, 0, 0, 5, 0xa2, 0x1f, 2, 1, 2]);
    later.add(&encode(What::Go(Go { epoch: 1 })));
    assert_eq!(later.take(), Ok(Some(What::Go(Go { epoch: 1 }))));
}
