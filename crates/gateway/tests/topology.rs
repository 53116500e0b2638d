//! Which instances keep links with which, as their number grows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use almondbank_gateway::members::Members;
use almondbank_gateway::topology::{self, Topology, View};
use almondbank_wire::mesh;
use quickcheck::quickcheck;

const NOW: Duration = Duration::from_secs(100);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + number))
}

fn data_centre(number: u16, data_centres: u16) -> String {
    format!("dc-{}", number % data_centres)
}

fn hello(number: u16, data_centres: u16) -> mesh::Hello {
    mesh::Hello {
        instance: format!("entry-{number}"),
        incarnation: "one".to_owned(),
        peers: address(number).to_string(),
        callers: address(number).to_string(),
        data_centre: data_centre(number, data_centres),
    }
}

fn report(hello: mesh::Hello, age_ms: u64) -> mesh::Report {
    mesh::Report {
        hello,
        age_ms,
        ready: true,
        leaving: false,
        environment: 1,
        registry: 1,
        keeper: 0,
        lease_version: 0,
        follows: false,
    }
}

/// What the instance `own` of `count` knows if all others but those in `silent`
/// were just heard.
fn members(own: u16, count: u16, data_centres: u16, silent: &[u16]) -> Members {
    let members = Members::new(&data_centre(own, data_centres));
    for number in (0..count).filter(|number| *number != own) {
        let hello = hello(number, data_centres);
        members.insert(&hello);
        if !silent.contains(&number) {
            members.update(&report(hello, 0), NOW);
        }
    }
    members
}

fn shapes(count: u16, data_centres: u16, silent: &[u16]) -> BTreeMap<u16, Topology> {
    let live = (0..count).filter(|number| !silent.contains(number));
    live.map(|own| {
        let members = members(own, count, data_centres, silent);
        (own, members.topology(address(own), NOW))
    })
    .collect()
}

#[test]
fn a_few_instances_are_all_linked() {
    for (own, shape) in shapes(12, 3, &[]) {
        assert!(!shape.is_hierarchical);
        assert!((0..12).all(|peer| shape.includes(address(peer))), "{own}");
    }
}

#[test]
fn links_of_an_instance_stay_within_its_data_centre_and_a_few_more() {
    let shapes = shapes(79, 3, &[]);
    for (own, shape) in &shapes {
        let links = (0..79).filter(|peer| peer != own && shape.includes(address(*peer)));
        let far = links.filter(|peer| peer % 3 != own % 3).count();
        assert!(far <= if shape.is_relay { 4 } else { 0 }, "{own}: {far}");
    }
    let speakers: Vec<_> = shapes.iter().filter(|(_, s)| s.is_relay).collect();
    assert_eq!(speakers.len(), 3);
}

#[test]
fn an_address_of_which_nothing_is_known_is_tried() {
    let shape = &shapes(40, 4, &[])[&7];
    assert!(shape.includes(address(900)));
    assert!(!shape.includes(address(8)));
}

#[test]
fn a_data_centre_that_is_silent_as_a_whole_is_tried_all_over() {
    let silent: Vec<_> = (0..60).filter(|number| number % 3 == 1).collect();
    let members = members(0, 60, 3, &silent);
    let tried: BTreeSet<_> = (0..60)
        .flat_map(|second| {
            let shape = members_topology(&members, NOW, second);
            shape.remotes["dc-1"].clone()
        })
        .collect();
    assert_eq!(tried.len(), silent.len());
}

// Decides with the same members at a later time.
fn members_topology(members: &Members, now: Duration, second: u64) -> Topology {
    let known = members.all();
    let live = known
        .iter()
        .filter(|(_, member)| member.last_report.is_some())
        .map(|(instance, _)| instance.clone())
        .collect();
    topology::compute(&View {
        own: address(0),
        data_centre: "dc-0",
        members: &known,
        live: &live,
        leader: None,
        now: now + Duration::from_secs(second),
    })
}

// News that any live instance sends over its links reaches all others: within a
// data centre directly, to the others by the speaker and its bridges.
quickcheck! {
    fn every_live_instance_is_reached(count: u8, data_centres: u8, silent: Vec<u8>) -> bool {
    let data_centres = u16::from(data_centres % 5) + 1;
    let count = 21 + u16::from(count % 60);
    let silent: Vec<_> = silent
        .iter()
        .map(|number| u16::from(*number) % count)
        .collect();
    let shapes = shapes(count, data_centres, &silent);
    shapes.keys().all(|origin| {
        let mut reached: BTreeSet<u16> = near(&shapes, *origin, data_centres);
        let speaker = reached.iter().find(|member| shapes[member].is_relay);
        let bridges = speaker.map(|speaker| shapes[speaker].remotes.values());
        let bridges: Vec<_> = bridges.into_iter().flatten().cloned().collect();
        for bridge in bridges {
            let first = shapes
                .keys()
                .find(|number| bridge.first() == Some(&format!("entry-{number}")));
            if let Some(first) = first {
                reached.extend(near(&shapes, *first, data_centres));
            }
        }
        reached.len() == shapes.len()
    })
}
}

fn near(shapes: &BTreeMap<u16, Topology>, own: u16, data_centres: u16) -> BTreeSet<u16> {
    let linked = shapes.keys().filter(|peer| {
        **peer % data_centres == own % data_centres && shapes[&own].includes(address(**peer))
    });
    linked.copied().collect()
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let members = members(0, 3, 3, &[]);
    let mut old = report(hello(1, 3), 500);
    old.ready = false;
    members.update(&old, NOW);
    assert!(members.all()["entry-1"].is_ready);
}

#[test]
fn callers_are_sent_within_their_data_centre_where_there_are_many() {
    let serving = members(0, 60, 3, &[]).caller_addresses(NOW);
    assert_eq!(serving.len(), 19);
    let silent: Vec<_> = (1..60).filter(|number| number % 3 == 0).collect();
    let serving = members(0, 60, 3, &silent).caller_addresses(NOW);
    assert_eq!(serving.len(), 40);
}
