//! Tests for the links between instances, as their number grows.

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

/// Members that the instance `own` of `count` knows, if all others except those in
/// `silent` have just reported.
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

fn topologies(count: u16, data_centres: u16, silent: &[u16]) -> BTreeMap<u16, Topology> {
    let live = (0..count).filter(|number| !silent.contains(number));
    live.map(|own| {
        let members = members(own, count, data_centres, silent);
        (
            own,
            members.topology(address(own), &BTreeSet::new(), false, NOW),
        )
    })
    .collect()
}

#[test]
fn a_few_instances_form_a_full_mesh() {
    for (own, topology) in topologies(12, 3, &[]) {
        assert!(!topology.is_hierarchical);
        assert!(
            (0..12).all(|peer| topology.includes(address(peer))),
            "{own}"
        );
    }
}

#[test]
fn only_delegates_have_links_to_other_data_centres() {
    let topologies = topologies(79, 3, &[]);
    for (own, topology) in &topologies {
        let links = (0..79).filter(|peer| peer != own && topology.includes(address(*peer)));
        let remote_links = links.filter(|peer| peer % 3 != own % 3).count();
        assert!(
            remote_links <= if topology.is_delegate { 4 } else { 0 },
            "{own}: {remote_links}"
        );
    }
    let delegates: Vec<_> = topologies
        .iter()
        .filter(|(_, topology)| topology.is_delegate)
        .collect();
    assert_eq!(delegates.len(), 3);
}

#[test]
fn an_unknown_address_is_tried() {
    let topology = &topologies(40, 4, &[])[&7];
    assert!(topology.includes(address(900)));
    assert!(!topology.includes(address(8)));
}

#[test]
fn all_instances_of_a_silent_data_centre_are_tried() {
    let silent: Vec<_> = (0..60).filter(|number| number % 3 == 1).collect();
    let members = members(0, 60, 3, &silent);
    let tried: BTreeSet<_> = (0..60)
        .flat_map(|second| {
            let topology = members_topology(&members, NOW, second);
            topology.remotes["dc-1"].clone()
        })
        .collect();
    assert_eq!(tried.len(), silent.len());
}

// Topology for the same members at a later time.
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
        owners: &BTreeSet::new(),
        is_settling: false,
        now: now + Duration::from_secs(second),
    })
}

// A message of any live instance reaches all others: directly within its data centre,
// and through the delegates in the other data centres.
quickcheck! {
    fn every_live_instance_receives_a_message(count: u8, data_centres: u8, silent: Vec<u8>) -> bool {
    let data_centres = u16::from(data_centres % 5) + 1;
    let count = 21 + u16::from(count % 60);
    let silent: Vec<_> = silent
        .iter()
        .map(|number| u16::from(*number) % count)
        .collect();
    let topologies = topologies(count, data_centres, &silent);
    topologies.keys().all(|origin| {
        let mut reached: BTreeSet<u16> = local_instances(&topologies, *origin, data_centres);
        let delegate = reached.iter().find(|member| topologies[member].is_delegate);
        let remotes = delegate.map(|delegate| topologies[delegate].remotes.values());
        let remotes: Vec<_> = remotes.into_iter().flatten().cloned().collect();
        for remote in remotes {
            let first = topologies
                .keys()
                .find(|number| remote.first() == Some(&format!("entry-{number}")));
            if let Some(first) = first {
                reached.extend(local_instances(&topologies, *first, data_centres));
            }
        }
        reached.len() == topologies.len()
    })
}
}

fn local_instances(
    topologies: &BTreeMap<u16, Topology>,
    own: u16,
    data_centres: u16,
) -> BTreeSet<u16> {
    let linked = topologies.keys().filter(|peer| {
        **peer % data_centres == own % data_centres && topologies[&own].includes(address(**peer))
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
fn callers_are_sent_to_their_own_data_centre_if_it_is_large_enough() {
    let serving = members(0, 60, 3, &[]).caller_addresses(NOW);
    assert_eq!(serving.len(), 19);
    let silent: Vec<_> = (1..60).filter(|number| number % 3 == 0).collect();
    let serving = members(0, 60, 3, &silent).caller_addresses(NOW);
    assert_eq!(serving.len(), 40);
}

// Guards against instances that cannot ask the owner of a quota slot in another data centre,
// and against more links where no tenant has a quota.
#[test]
fn links_to_owners_of_quota_slots_are_kept_and_no_others() {
    let members = members(3, 60, 3, &[]);
    let owner = BTreeSet::from(["entry-1".to_owned()]);
    for (owners, is_included) in [(BTreeSet::new(), false), (owner, true)] {
        let topology = members.topology(address(3), &owners, false, NOW);
        assert_eq!(topology.includes(address(1)), is_included);
        assert!(!topology.includes(address(4)));
    }
}

// Guards against owners that leave or do not report.
#[test]
fn owners_of_quota_slots_are_live_and_do_not_leave() {
    let count = 12;
    for number in 0..count {
        let members = members(count, count, 3, &[number]);
        let owners = members.quota_owners(None, NOW);
        assert!(owners.iter().all(Option::is_some));
        assert!(!owners.contains(&Some(format!("entry-{number}"))));
        let leaving = mesh::Report {
            leaving: true,
            ..report(hello((number + 1) % count, 3), 0)
        };
        members.update(&leaving, NOW);
        let owners = members.quota_owners(None, NOW);
        assert!(!owners.contains(&Some(leaving.hello.instance)));
    }
}
