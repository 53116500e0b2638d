//! Tickets of instances with names of any text.

use std::time::Duration;

use almondbank_wire::ticket::Ticket;

// A caller sends a ticket in a header, with a slash and its own key behind it.
#[test]
fn tickets_of_any_instance_are_read_from_a_header() {
    for name in [
        "dc/a", "10.1/a", "ძ-1", "a b", "a\nb", "a%2fb", "a\u{7f}", "a.7", "\"a\"",
    ] {
        let ticket = Ticket {
            incarnation: format!("{name}-00f1"),
            issued: Duration::from_millis(7),
        };
        let text = ticket.to_string();
        assert!(text.bytes().all(|byte| byte.is_ascii_graphic()), "{text}");
        let key = format!("{text}/key");
        let (first, _) = key.split_once('/').unwrap();
        assert_eq!(Ticket::try_from(first).ok(), Some(ticket), "{text}");
    }
}

#[test]
fn tickets_of_ordinary_names_do_not_change() {
    let ticket = Ticket {
        incarnation: "front-a_1.b~c-00f1".to_owned(),
        issued: Duration::from_millis(7),
    };
    assert_eq!(ticket.to_string(), "front-a_1.b~c-00f1.7");
}
