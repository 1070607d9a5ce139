//! Unit tests of the gateway's modules of pure logic, most of them as tables of cases.
use silvertack::base::errors::Refusal;
use silvertack::base::ids::{InstanceId, NodeName, ServiceName};
use silvertack::base::time::Tick;
use silvertack::config::configuration::{Configuration, ConfigurationError};
use silvertack::config::route_table::RouteTable;
use silvertack::gateway::attempts::{
    AttemptOutcome, AttemptPolicy, Idempotency, NextStep, RetryConditions,
};
use silvertack::gateway::demand::DemandMeter;
use silvertack::gateway::http1::{
    BodyDecoder, BodyFraming, ParseError, ParsedHead, parse_request_head, parse_response_head,
};
use silvertack::gateway::load_balancing::{Candidate, choose_endpoint};
use silvertack::gateway::outlier_detection::OutlierDetector;
use silvertack::gateway::retry_budget::RetryBudgets;
use silvertack::gateway::subsets::{CapacityRange, assigned_capacities};
use silvertack::leases::subset_assignments::SubsetAssignments;

/// Encodes lines as the head of a message.
fn head(lines: &str) -> Vec<u8> {
    format!("{}\r\n\r\n", lines.replace('\n', "\r\n")).into_bytes()
}

#[test]
fn an_ambiguous_request_head_is_refused() {
    const BAD: Refusal = Refusal::Malformed;
    let cases: [(&str, Option<Refusal>); 18] = [
        ("GET /a/b HTTP/1.1\nHost: h", None),
        ("GET /a HTTP/1.1\nHost: h\nContent-Length: 4\nContent-Length: 4", None),
        ("GET /a HTTP/1.1", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h\nHost: h", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: ", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h, g", Some(BAD)),
        ("GET http://h/a HTTP/1.1\nHost: h", Some(BAD)),
        ("OPTIONS * HTTP/1.1\nHost: h", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h\nContent-Length: 4\nContent-Length: 5", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h\nContent-Length: +4", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h\nContent-Length: 4\nTransfer-Encoding: chunked", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h\nTransfer-Encoding: gzip, chunked", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h\nDeadline-Ms: soon", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h\nDeadline-Ms: -1", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h\nX: a\u{1}b", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h\nExpect: tea", Some(BAD)),
        ("GET /a HTTP/1.1\nHost: h\nRequest-Id: 1\nRequest-Id: 2", Some(BAD)),
        (&format!("GET /a HTTP/1.1\nHost: h\nX: {}", "x".repeat(600)), Some(Refusal::HeadTooLarge)),
    ];
    for (lines, refused) in cases {
        let got = parse_request_head(&head(lines), 500).map(|parsed| parsed.is_some());
        assert_eq!(got, refused.map_or(Ok(true), Err), "{lines}");
    }
    let bare_lf = b"GET /a HTTP/1.1\nHost: h\r\n\r\n";
    assert_eq!(parse_request_head(bare_lf, 500), Err(BAD), "a bare LF");
    assert_eq!(
        parse_request_head(&bare_lf[..16], 500),
        Err(BAD),
        "a bare LF in an incomplete head"
    );
    assert_eq!(parse_request_head(b"GET /a HT", 500), Ok(None), "an incomplete head");
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let bytes = head(
        "PUT /a?b=c HTTP/1.1\nHost: H.Example:80\nRequest-Id: 7\nX-Own: 1\nConnection: X-Own, close\n\
         Keep-Alive: 5\nTE: trailers\nTransfer-Encoding: chunked\nDeadline-Ms: 40\n\
         Target-Instance: forged\nExpect: 100-continue\nAccept: */*",
    );
    let ParsedHead { head: request, length } =
        parse_request_head(&bytes, 5_000).expect("readable").expect("complete");
    assert_eq!(length, bytes.len());
    assert_eq!((request.host.as_str(), request.path()), ("h.example", "/a"));
    assert_eq!((request.target.as_str(), request.deadline_ms), ("/a?b=c", Some(40)));
    assert!(request.close && request.expects_continue && request.framing == BodyFraming::Chunked);
    let forwarded = "Host: H.Example:80\r\nRequest-Id: 7\r\nAccept: */*\r\n";
    assert_eq!(String::from_utf8_lossy(&request.forwarded_headers), forwarded);
}

#[test]
fn response_heads_decide_how_the_body_is_framed() {
    let cases = [
        ("GET", "200 OK\nContent-Length: 5", Ok(BodyFraming::Length(5))),
        ("GET", "200 OK\nTransfer-Encoding: chunked", Ok(BodyFraming::Chunked)),
        ("GET", "200 OK", Ok(BodyFraming::UntilClose)),
        ("HEAD", "200 OK\nContent-Length: 5", Ok(BodyFraming::Length(0))),
        ("GET", "204 No Content", Ok(BodyFraming::Length(0))),
        ("GET", "200 OK\nContent-Length: 5\nTransfer-Encoding: chunked", Err(ParseError)),
        ("GET", "200 OK\nContent-Length: x", Err(ParseError)),
    ];
    for (method, lines, framing) in cases {
        let got = parse_response_head(&head(&format!("HTTP/1.1 {lines}")), method);
        assert_eq!(
            got.map(|parsed| parsed.expect("complete").head.framing),
            framing,
            "{method} {lines}"
        );
    }
    assert_eq!(parse_response_head(b"\x00\x01 no answer\r\n\r\n", "GET"), Err(ParseError));
    let response =
        head("HTTP/1.1 503 No\nNot-Executed: 1\nKeep-Alive: timeout=7, max=3\nConnection: close");
    let response = parse_response_head(&response, "GET").expect("readable").expect("complete").head;
    assert!(
        response.not_executed
            && response.close
            && response.keep_alive_s == Some(7)
            && response.forwarded_headers.starts_with(b"Not")
    );
}

#[test]
fn a_body_is_decoded_the_same_however_its_bytes_are_split() {
    let chunked = b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: 1\r\n\r\nNEXT";
    type Case<'a> = (BodyFraming, &'a [u8], &'a [u8], &'a [u8]);
    let cases: [Case<'_>; 3] = [
        (BodyFraming::Length(5), b"abcdeNEXT", b"abcde", b"NEXT"),
        (BodyFraming::Chunked, chunked, b"abcde", b"NEXT"),
        (BodyFraming::Length(0), b"NEXT", b"", b"NEXT"),
    ];
    for (framing, bytes, data, rest) in cases {
        for step in 1..bytes.len() {
            let (mut body, mut out, mut pending) =
                (BodyDecoder::new(framing), Vec::new(), Vec::new());
            let mut left = bytes;
            while !body.is_complete() {
                let (piece, rest_of_input) = left.split_at(step.min(left.len()));
                left = rest_of_input;
                pending.extend_from_slice(piece);
                let consumed = body.decode(&pending, &mut out).expect("well formed");
                pending.drain(..consumed);
            }
            pending.extend_from_slice(left);
            assert_eq!((out.as_slice(), pending.as_slice()), (data, rest), "{framing:?} by {step}");
        }
    }
    for invalid in ["x\r\n", "3\r\nabcd", "3\nabc", "1\r\na\r\n0\r\nT: 1\n\n"] {
        let got =
            BodyDecoder::new(BodyFraming::Chunked).decode(invalid.as_bytes(), &mut Vec::new());
        assert_eq!(got, Err(ParseError), "{invalid:?}");
    }
    let mut until_close = BodyDecoder::new(BodyFraming::UntilClose);
    assert!(!until_close.is_complete() && until_close.finish_at_close(), "the close ends the body");
    assert!(
        !BodyDecoder::new(BodyFraming::Length(3)).finish_at_close(),
        "a body shorter than its length is incomplete"
    );
}

#[test]
fn a_non_idempotent_request_is_never_retried_once_it_may_have_executed() {
    use AttemptOutcome::*;
    use Idempotency::*;
    use NextStep::*;
    // (idempotency, outcomes of the attempts in order, whether other attempts are in flight, whether
    // time and budget are left, the expected next step after the last attempt)
    type Case<'a> = (Idempotency, &'a [AttemptOutcome], bool, bool, bool, NextStep);
    let cases: [Case<'_>; 17] = [
        (NonIdempotent, &[NotSent], false, true, false, Retry),
        (NonIdempotent, &[NotExecuted], false, true, true, Retry),
        (NonIdempotent, &[MayHaveExecuted], false, true, true, Refuse(Refusal::BadGateway)),
        (NonIdempotent, &[Failed], false, true, true, ForwardResponse),
        (
            NonIdempotent,
            &[NotExecuted, MayHaveExecuted],
            false,
            true,
            true,
            Refuse(Refusal::BadGateway),
        ),
        (NonIdempotent, &[NotExecuted, NotExecuted], false, true, true, ForwardResponse),
        (NonIdempotent, &[NotExecuted], false, true, false, ForwardResponse),
        (NonIdempotent, &[NotSent; 4], false, true, true, Refuse(Refusal::Unavailable)),
        (Idempotent, &[MayHaveExecuted], false, true, true, Retry),
        (Idempotent, &[MayHaveExecuted], false, true, false, Refuse(Refusal::BadGateway)),
        (Idempotent, &[MayHaveExecuted], false, false, true, Refuse(Refusal::GatewayTimeout)),
        (Idempotent, &[Failed], false, true, true, Retry),
        (Idempotent, &[Failed, Failed], false, true, true, ForwardResponse),
        // "Not executed" is not forwarded after an attempt that may have executed the request.
        (
            Idempotent,
            &[MayHaveExecuted, NotExecuted],
            false,
            true,
            true,
            Refuse(Refusal::BadGateway),
        ),
        (Idempotent, &[NotExecuted], true, true, false, Refuse(Refusal::BadGateway)),
        (Idempotent, &[MayHaveExecuted, NotSent], false, true, false, Refuse(Refusal::BadGateway)),
        (Idempotent, &[NotSent], false, false, true, Refuse(Refusal::Unavailable)),
    ];
    for (idempotency, outcomes, others_in_flight, time_left, budget_left, expected) in cases {
        let mut policy = AttemptPolicy::new(idempotency, 2);
        let conditions = RetryConditions { others_in_flight, time_left, budget_left };
        let mut last = Retry;
        for outcome in outcomes {
            if *outcome != NotSent {
                policy.record_sent();
            }
            last = policy.next_step(*outcome, conditions);
        }
        assert_eq!(last, expected, "{idempotency:?} {outcomes:?} {conditions:?}");
    }
}

#[test]
fn retries_stay_within_the_ratio_of_requests() {
    let [service, other] = ["locator", "desk"].map(|name| ServiceName(name.to_owned()));
    let mut budgets = RetryBudgets::new(0.2);
    let spend_all = |budgets: &mut RetryBudgets, service: &ServiceName| {
        (0..1_000).filter(|_| budgets.try_spend(service)).count()
    };
    assert_eq!(spend_all(&mut budgets, &service), 0, "no retries without requests");
    (0..10).for_each(|_| budgets.record_request(&service));
    assert!(!budgets.allows_retry(&other), "requests of one service earn nothing for another");
    assert_eq!(spend_all(&mut budgets, &service), 2);
    assert!(!budgets.allows_retry(&service));
    (0..5).for_each(|_| budgets.record_request(&service));
    assert_eq!(spend_all(&mut budgets, &service), 1);
    // However long there were no retries, what was saved stays within the slack of a node.
    (0..5_000).for_each(|_| budgets.record_request(&service));
    assert_eq!(spend_all(&mut budgets, &service), 2);
    // In every period, retries exceed the ratio by at most what was saved before.
    let retries: usize = (0..5_000)
        .map(|_| {
            budgets.record_request(&service);
            usize::from(budgets.try_spend(&service))
        })
        .sum();
    assert_eq!(retries, 1_000);
}

#[test]
fn a_retry_that_is_given_back_can_be_spent_once_more_and_adds_nothing_beyond() {
    let service = ServiceName("locator".to_owned());
    let mut budgets = RetryBudgets::new(0.2);
    budgets.give_back(&service);
    assert!(!budgets.allows_retry(&service), "nothing was spent before");
    (0..5).for_each(|_| budgets.record_request(&service));
    for _ in 0..3 {
        assert!(budgets.try_spend(&service));
        assert!(!budgets.allows_retry(&service));
        budgets.give_back(&service);
    }
    assert!(budgets.try_spend(&service) && !budgets.try_spend(&service));
    (0..100).for_each(|_| budgets.record_request(&service));
    (0..3).for_each(|_| budgets.give_back(&service));
    let saved = (0..10).filter(|_| budgets.try_spend(&service)).count();
    assert_eq!(saved, 2, "no more is saved than a node may save");
}

#[test]
fn the_cheaper_of_two_from_the_preferred_group_is_chosen() {
    let same_zone = Candidate {
        same_zone: true,
        ejected: false,
        in_flight: 0,
        capacity: 2,
        latency_ms: 10.0,
        has_idle_connection: true,
        assigned_capacity: 0.0,
    };
    let other_zone = Candidate { same_zone: false, ..same_zone };
    let ejected = Candidate { ejected: true, ..same_zone };
    let busy = Candidate { in_flight: 2, ..same_zone };
    let full = Candidate { in_flight: 4, ..same_zone };
    let slow = Candidate { latency_ms: 50.0, ..same_zone };
    let cases: [(&str, &[Candidate], Option<usize>); 7] = [
        ("no candidates", &[], None),
        ("the same zone before another zone", &[other_zone, same_zone], Some(1)),
        ("another zone before an ejected one", &[ejected, other_zone], Some(1)),
        ("an ejected one if there is no other", &[ejected], Some(0)),
        ("another zone before a queue", &[busy, other_zone], Some(1)),
        ("none if the queue is full", &[full], None),
        ("the one with the lower latency", &[slow, same_zone], Some(1)),
    ];
    for (what, candidates, expected) in cases {
        // Counts up in place of random numbers, so that the two draws differ.
        let counter = std::cell::Cell::new(0);
        let random_below = |n: usize| {
            counter.set(counter.get() + 1);
            counter.get() % n
        };
        assert_eq!(choose_endpoint(candidates, random_below), expected, "{what}");
    }
}

#[test]
fn an_endpoint_that_fails_is_ejected_longer_each_time() {
    let (mut detector, now) = (OutlierDetector::default(), Tick(100_000));
    detector.record_failed_response(now);
    assert!(!detector.is_ejected(now), "one error response may be the request's own fault");
    detector.record_failed_response(now);
    assert!(detector.is_ejected(now.plus(1_900)) && !detector.is_ejected(now.plus(2_100)));
    detector.record_fault(now.plus(2_100));
    assert!(detector.is_ejected(now.plus(6_000)) && !detector.is_ejected(now.plus(6_200)));
    detector.record_success(10);
    detector.record_fault(now.plus(7_000));
    assert!(
        !detector.is_ejected(now.plus(9_100)),
        "a success resets the count of consecutive ejections"
    );
}

fn route_table(routes: serde_json::Value) -> Result<RouteTable, ConfigurationError> {
    let services = serde_json::json!([{ "name": "a", "max_connections": 4 }, { "name": "b", "max_connections": 4 }]);
    let body = serde_json::json!({ "revision": 1, "route_rules": routes, "services": services });
    Configuration::read(body.to_string().as_bytes()).map(|c| RouteTable::of(&c))
}
fn route(host: &str, prefix: &str, fields: serde_json::Value) -> serde_json::Value {
    let mut route = serde_json::json!({ "name": format!("{host}{prefix}"), "hostname": host,
        "path_prefix": prefix, "route_type": "idempotent", "timeout_ms": 10 });
    route.as_object_mut().expect("object").extend(fields.as_object().expect("object").clone());
    route
}

#[test]
fn a_route_is_found_by_host_and_longest_path_prefix() {
    let to = |service: &str| serde_json::json!({ "target_service": service });
    let route_table = route_table(serde_json::json!([
        route("h", "/a/", to("a")),
        route("h", "/a/b/", to("b")),
        route("g", "/", to("b")),
    ]))
    .expect("valid");
    let cases = [
        ("h", "/a/x", Some("/a/")),
        ("h", "/a/", Some("/a/")),
        ("h", "/a/b/c/d", Some("/a/b/")),
        ("h", "/a/b", Some("/a/")),
        ("h", "/a", None),
        ("h", "/", None),
        ("g", "/a/b/", Some("/")),
        ("f", "/a/", None),
    ];
    for (host, path, prefix) in cases {
        let found = route_table.entry_for_path(host, path).map(|entry| entry.path_prefix.as_str());
        assert_eq!(found, prefix, "{host} {path}");
    }
}

#[test]
fn weights_divide_requests_and_are_validated() {
    let split = |weights: [u32; 2]| {
        let targets = ["a", "b"].iter().zip(weights);
        let targets: Vec<_> =
            targets.map(|(s, w)| serde_json::json!({ "target_service": s, "weight": w })).collect();
        route("h", "/", serde_json::json!({ "weighted_targets": targets }))
    };
    let found = route_table(serde_json::json!([split([90, 10])])).expect("valid");
    let route_entry = found.entry_for_path("h", "/x").expect("a route");
    let to_b =
        (0..1_000).filter(|n| found.service(route_entry, *n).is_some_and(|s| s.0 == "b")).count();
    assert_eq!(to_b, 100);
    let unknown =
        serde_json::json!({ "weighted_targets": [{ "target_service": "x", "weight": 1 }] });
    let both = serde_json::json!({ "target_service": "a", "weighted_targets": [{ "target_service": "a", "weight": 1 }] });
    let invalid = [
        ("weighted_targets_sum_to_0", split([0, 0])),
        ("unknown_service", route("h", "/", unknown)),
        ("target_service_or_weighted_targets", route("h", "/", both)),
        ("target_service_or_weighted_targets", route("h", "/", serde_json::json!({}))),
    ];
    for (expected, route) in invalid {
        let error = route_table(serde_json::json!([route])).expect_err(expected).to_string();
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn subsets_follow_demand_and_cover_all_endpoints_once() {
    let start = Tick(100_000);
    let mut subset_assignments = SubsetAssignments::new(start);
    let items = ServiceName::from("items");
    let node = |n: usize| NodeName(format!("n{n}"));
    let busy = [300, 100, 0, 200];
    for (n, busy) in busy.iter().enumerate() {
        subset_assignments.report_load(&node(n), "here", items.clone(), *busy);
    }
    subset_assignments.report_load(&node(9), "elsewhere", items.clone(), 50);
    subset_assignments.rebalance(|_| true, start.plus(1_000));
    assert!(
        subset_assignments.take_updates(&node(0), false).is_empty(),
        "not before all nodes have had time to report"
    );
    let divide = |subset_assignments: &mut SubsetAssignments, ms: u64| {
        subset_assignments.rebalance(|n| *n != node(8), start.plus(ms));
        let mut previous_end = 0;
        let mut widths = Vec::new();
        for n in 0..busy.len() {
            let subset_ranges = subset_assignments.take_updates(&node(n), true);
            assert_eq!(
                (subset_ranges.len(), subset_ranges[0].start),
                (1, previous_end),
                "each range starts where the previous one ends"
            );
            previous_end = subset_ranges[0].end;
            widths.push((subset_ranges[0].end - subset_ranges[0].start) / 1_000);
        }
        assert!(previous_end >= 999_990);
        widths
    };
    // A node without demand gets the share of 0.3 of the mean demand of 150.
    assert_eq!(divide(&mut subset_assignments, 3_000), [465, 155, 69, 310]);
    let elsewhere = &subset_assignments.take_updates(&node(9), true)[0];
    assert_eq!(
        (elsewhere.start, elsewhere.end),
        (0, 1_000_000),
        "another zone is divided separately"
    );
    // A small change of the demand does not change the subsets; a large one does.
    subset_assignments.report_load(&node(0), "here", items.clone(), 310);
    subset_assignments.rebalance(|_| true, start.plus(4_100));
    assert!((0..4).all(|n| subset_assignments.take_updates(&node(n), false).is_empty()));
    subset_assignments.report_load(&node(0), "here", items.clone(), 900);
    subset_assignments.rebalance(|_| true, start.plus(5_200));
    assert!((0..4).all(|n| subset_assignments.take_updates(&node(n), false).len() == 1));
    // A node that is gone gets no subset.
    subset_assignments.rebalance(|n| *n != node(0), start.plus(6_300));
    assert_eq!(subset_assignments.take_updates(&node(1), true)[0].start, 0);
    assert!(subset_assignments.take_updates(&node(0), true).is_empty());
}

#[test]
fn assigned_capacities_are_what_overlaps_a_subset() {
    let ids: Vec<InstanceId> = (0..6).map(|n| InstanceId(format!("i{n}"))).collect();
    let endpoints = || ids.iter().map(|id| (id, 2));
    let assigned = |start, end| assigned_capacities(endpoints(), CapacityRange { start, end });
    let all = assigned(0, 1_000_000);
    assert!(ids.iter().all(|id| all.get(id) == Some(&2.0)));
    // Three subsets that cover everything assign each endpoint exactly once.
    let boundaries = [0, 250_000, 600_000, 1_000_000];
    let parts: Vec<_> = boundaries.windows(2).map(|range| assigned(range[0], range[1])).collect();
    for id in &ids {
        let sum: f64 = parts.iter().filter_map(|part| part.get(id)).sum();
        assert!((sum - 2.0).abs() < 0.11, "{id}: {sum}");
    }
    assert!(
        assigned(500_000, 500_001).is_empty(),
        "a tiny part of an endpoint is assigned to no node"
    );
}

#[test]
fn demand_is_reported_only_after_a_large_change() {
    let mut demand = DemandMeter::default();
    demand.record(450);
    assert_eq!(demand.next_report(450), Some(100), "one request in flight all the time");
    demand.record(470);
    assert_eq!(demand.next_report(450), None, "about the same");
    let reported = (0..20).filter_map(|_| {
        demand.record(1_800);
        demand.next_report(450)
    });
    let reported: Vec<u32> = reported.collect();
    assert!(reported.len() < 8 && reported.last().is_some_and(|last| *last > 300), "{reported:?}");
}
