//! Which instance chooses the initial members of the control log.

use super::*;

/// What an instance has on its disk when it starts.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disk {
    None,
    /// Empty, at a first start or with a record of that.
    New,
    /// Empty, without a record of the first start.
    Empty,
    Log,
}

fn control(number: usize, disk: Disk) -> Peer {
    Peer {
        process: name(number),
        role: Role::Control,
        instance: format!("control-{number}").into(),
        data_centre: "a".into(),
        has_disk: disk != Disk::None,
        may_bootstrap: disk == Disk::New,
        has_empty_disk: matches!(disk, Disk::New | Disk::Empty),
    }
}

fn name(number: usize) -> id::Process {
    format!("10.0.0.{number}:7780").as_str().into()
}

/// Returns the seeds that choose, each of three knowing the others in `connected`.
fn choosers(disks: [Disk; 3], connected: &[usize]) -> Vec<usize> {
    let seeds: Vec<_> = (0..3).map(name).collect();
    let chooses = |number: &usize| {
        let others = connected.iter().filter(|other| *other != number);
        let peers: Vec<_> = others.map(|other| control(*other, disks[*other])).collect();
        is_chooser(&control(*number, disks[*number]), true, &seeds, &peers)
    };
    (0..3).filter(chooses).collect()
}

/// Guards against two sets of initial members, and against none: whatever the seeds hold, at most one
/// chooses, and one does if all are connected and any of them may.
#[test]
fn at_most_one_seed_chooses() {
    let all = [Disk::None, Disk::New, Disk::Empty, Disk::Log];
    let subsets: [&[usize]; 8] = [&[], &[0], &[1], &[2], &[0, 1], &[0, 2], &[1, 2], &[0, 1, 2]];
    for first in all {
        for (second, third) in all.into_iter().flat_map(|d| all.map(|other| (d, other))) {
            let disks = [first, second, third];
            for connected in subsets {
                let choosers = choosers(disks, connected);
                assert!(choosers.len() <= 1, "{disks:?} {connected:?} {choosers:?}");
            }
            let is_any_new = disks.contains(&Disk::New) || disks == [Disk::None; 3];
            let must_choose = is_any_new && !disks.contains(&Disk::Log);
            let choosers = choosers(disks, &[0, 1, 2]);
            assert_eq!(choosers.len() == 1, must_choose, "{disks:?} {choosers:?}");
        }
    }
}

/// Guards against a first start that waits for seeds which are not needed.
#[test]
fn the_lowest_seed_waits_for_no_other_one() {
    assert_eq!(choosers([Disk::New; 3], &[]), [0]);
}

/// Guards against a duty that is lost with the seed that had it, and against one that is taken over
/// from a seed which may still have it.
#[test]
fn the_duty_is_taken_over_from_a_seed_that_never_chooses() {
    let disks = [Disk::Empty, Disk::New, Disk::New];
    assert_eq!(choosers(disks, &[0, 1, 2]), [1]);
    assert!(choosers(disks, &[1, 2]).is_empty(), "0 isn't known");
    let disks = [Disk::Empty, Disk::Empty, Disk::New];
    assert_eq!(choosers(disks, &[0, 1, 2]), [2]);
    assert!(choosers(disks, &[0, 2]).is_empty(), "1 isn't known");
}

/// Guards against a second log beside one whose members aren't seeds.
#[test]
fn no_seed_chooses_beside_an_instance_with_a_log() {
    let seeds: Vec<_> = (0..3).map(name).collect();
    let peers = [control(7, Disk::Log)];
    assert!(!is_chooser(&control(0, Disk::New), true, &seeds, &peers));
}
