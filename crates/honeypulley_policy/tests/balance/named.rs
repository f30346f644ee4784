//! Limits that upstreams name: what one box keeps to, learns and tells.

use super::{RULE, advertise, ask, balancer, listed};
use honeypulley_policy::balance::{Balancer, Listed, News, Past, Reach};
use honeypulley_policy::chooser::{Ask, Chooser};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Outcome, Pick, RefusalKind};
use honeypulley_policy::spec::{MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn name(b: &Balancer, p: &Pick) -> String {
    b.place(p.upstream).expect("known").name.to_owned()
}

/// Sends one request, whose answer names a limit or none; returns its upstream.
fn answered(b: &mut Balancer, tried: &[&str], limit: Option<f64>, ms: u64) -> Option<String> {
    let ask = ask(b, false);
    let p = b.pick(&ask, &[], at(ms)).ok()?;
    let name = name(b, &p);
    b.answered(p.attempt, true, at(ms + 1));
    if tried.is_empty() || tried.contains(&name.as_str()) {
        advertise(b, &p, limit, at(ms + 1));
    }
    b.finish(p.attempt, Outcome::Whole, at(ms + 1));
    Some(name)
}

/// Has another box tell that `u0` names a limit.
fn told(b: &mut Balancer, rate: Option<f32>, ms: u64) {
    let news = News::Limit { upstream: NameId::of("u0"), rate };
    b.heard(NameId(9), news, at(ms));
}

/// Sends requests one after the other, each 20 ms, and counts those that `u0` got.
fn count_u0(b: &mut Balancer, from: u64, to: u64, limit: Option<f64>) -> usize {
    let sent = (from..to).step_by(20).filter_map(|ms| answered(b, &["u0"], limit, ms));
    sent.filter(|n| n == "u0").count()
}

#[test]
fn a_box_keeps_to_a_limit_that_it_was_told_and_uses_it() {
    let mut b = balancer(3);
    told(&mut b, Some(2.0), 0);
    let got = count_u0(&mut b, 0, 20_000, Some(2.0));
    assert!((30..=45).contains(&got), "{got} in 20 s at two a second");
}

/// Whatever the other boxes of the hall send counts, also what was lost on its way.
#[test]
fn what_the_hall_sends_counts_by_its_sums() {
    let mut b = balancer(3);
    b.set_reach(Reach { boxes: 3, in_touch: true });
    told(&mut b, Some(1.0), 0);
    let mut got = 0;
    for s in 0..20_u16 {
        let ms = u64::from(s) * 1_000;
        // Of every two datagrams of the other box one is lost.
        if s % 2 == 1 {
            let news = News::Admitted { subject: NameId::of("u0"), sum: s };
            b.heard(NameId(9), news, at(ms));
        }
        got += count_u0(&mut b, ms, ms + 1_000, Some(1.0));
    }
    assert!(got <= 6, "{got} beside twenty of another box, where 20 s allow twenty and a burst");
}

#[test]
fn each_send_is_told_to_the_hall_and_a_limit_to_all() {
    let mut b = balancer(1);
    answered(&mut b, &[], Some(5.0), 0);
    let limit = News::Limit { upstream: NameId::of("u0"), rate: Some(5.0) };
    let news = b.take_news();
    assert!(news.contains(&limit) && !limit.is_for_hall(), "{news:?}");
    answered(&mut b, &[], Some(5.0), 300);
    let news = b.take_news();
    assert!(!news.contains(&limit), "it stays as it is");
    let is_sent = |n: &News| matches!(n, News::Admitted { .. }) && n.is_for_hall();
    assert_eq!(news.iter().filter(|n| is_sent(n)).count(), 1, "{news:?}");
    answered(&mut b, &[], Some(5.0), 2_500);
    assert!(b.take_news().contains(&limit), "told again after some time");
}

/// Second sends, hedges and trials all take a token or are not sent.
#[test]
fn a_second_send_counts_too() {
    let mut b = balancer(2);
    let ask = ask(&b, true);
    for u in ["u0", "u1"] {
        let news = News::Limit { upstream: NameId::of(u), rate: Some(0.1) };
        b.heard(NameId(9), news, at(0));
    }
    let mut sent = 0;
    for ms in (0..4_000).step_by(10) {
        let Ok(first) = b.pick(&ask, &[], at(ms)) else { continue };
        sent += 1;
        if let Ok(second) = b.pick(&ask, &[first.upstream], at(ms)) {
            sent += 1;
            b.finish(second.attempt, Outcome::Whole, at(ms));
        }
        b.finish(first.attempt, Outcome::Whole, at(ms));
    }
    assert!(sent <= 2 * (2 + 1), "{sent} in four seconds, a burst of 2.6 and 0.4 more for each");
}

#[test]
fn a_limit_that_is_not_named_any_more_is_lifted_at_once_and_told() {
    let mut b = balancer(2);
    told(&mut b, Some(1.0), 0);
    count_u0(&mut b, 0, 5_000, Some(1.0));
    b.take_news();
    let since = (5_000..8_000).step_by(20);
    let lifted = since.filter_map(|ms| answered(&mut b, &["u0"], None, ms).map(|n| (n, ms)));
    let first = lifted.into_iter().find(|(n, _)| n == "u0").expect("it is asked").1;
    let gone = News::Limit { upstream: NameId::of("u0"), rate: None };
    assert!(b.take_news().contains(&gone));
    assert!(count_u0(&mut b, first + 20, first + 2_020, None) > 25, "half of the work again");
}

#[test]
fn an_answer_under_way_before_the_limit_lifts_nothing() {
    let mut b = balancer(1);
    let ask = ask(&b, false);
    let early = b.pick(&ask, &[], at(0)).expect("there is one");
    told(&mut b, Some(1.0), 10);
    assert!(!advertise(&mut b, &early, None, at(20)), "it was sent before");
    let limit = b.limit_of(early.upstream, at(20)).expect("it stands");
    assert!((limit.rate - 1.0).abs() < 1e-9);
}

#[rstest]
#[case::falls(8.0, 1.0)]
#[case::rises(1.0, 8.0)]
fn a_limit_that_changes_holds_from_then_on(#[case] before: f64, #[case] after: f64) {
    let mut b = balancer(2);
    told(&mut b, Some(before as f32), 0);
    count_u0(&mut b, 0, 6_000, Some(before));
    count_u0(&mut b, 6_000, 8_000, Some(after));
    let got = count_u0(&mut b, 8_000, 18_000, Some(after)) as f64;
    assert!(got <= after.mul_add(15.0, 5.0), "{got} in ten seconds");
    assert!(got >= after * 5.0, "{got} in ten seconds, half of the limit at least");
}

#[test]
fn a_new_life_has_named_nothing() {
    let mut b = balancer(2);
    told(&mut b, Some(0.1), 0);
    count_u0(&mut b, 0, 3_000, Some(0.1));
    let reborn = Listed { born: Some(77), ..listed("u0", "h", MemberState::Live) };
    b.set_upstream(reborn, at(3_000));
    assert!(count_u0(&mut b, 3_000, 5_000, None) > 25, "half of the work");
}

#[test]
fn a_limit_of_which_nothing_is_heard_lapses() {
    let mut b = balancer(1);
    told(&mut b, Some(1.0), 0);
    let ask = ask(&b, false);
    let p = b.pick(&ask, &[], at(100)).expect("there is room");
    assert!(b.limit_of(p.upstream, at(29_000)).is_some());
    assert!(b.limit_of(p.upstream, at(31_000)).is_none());
}

#[test]
fn a_box_that_starts_is_told_the_limits() {
    let mut b = balancer(2);
    told(&mut b, Some(2.5), 0);
    let limit = News::Limit { upstream: NameId::of("u0"), rate: Some(2.5) };
    assert!(b.beliefs(at(1_000)).contains(&limit));
    told(&mut b, None, 2_000);
    assert!(!b.beliefs(at(3_000)).contains(&limit));
}

#[test]
fn holding_back_puts_an_upstream_in_no_doubt() {
    let mut b = balancer(2);
    told(&mut b, Some(0.5), 0);
    count_u0(&mut b, 0, 10_000, Some(0.5));
    let status = b.status(at(10_000));
    assert!(status.iter().all(|s| s.sick < 0.1), "{status:?}");
    let limit = status.iter().find(|s| s.upstream == "u0").and_then(|s| s.limit);
    assert!(limit.is_some_and(|l| (l.rate - 0.5).abs() < 1e-9 && l.part == 1.0), "{status:?}");
}

/// A fleet of two data halls, each before an upstream of its own.
fn two_halls(hall: &str) -> Balancer {
    let mut b = Balancer::new(hall, RULE, 3).with_past(Past::Empty);
    b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
    b.set_upstream(listed("u0", "h", MemberState::Live), Time::ZERO);
    b.set_upstream(listed("u1", "g", MemberState::Live), Time::ZERO);
    b.set_reach(Reach { boxes: 4, in_touch: true });
    b.set_halls(&BTreeMap::from([(NameId::of("h"), 3), (NameId::of("g"), 1)]), false);
    b
}

#[test]
fn the_boxes_of_another_hall_leave_an_upstream_that_names_a_limit() {
    let mut b = two_halls("g");
    told(&mut b, Some(8.0), 0);
    assert_eq!(count_u0(&mut b, 0, 5_000, Some(8.0)), 0);
    let mut b = two_halls("h");
    told(&mut b, Some(8.0), 0);
    assert!(count_u0(&mut b, 0, 5_000, Some(8.0)) > 20);
}

#[test]
fn where_all_name_limits_each_hall_has_a_part_by_its_boxes() {
    for (hall, part) in [("h", 0.75), ("g", 0.25)] {
        let mut b = two_halls(hall);
        for u in ["u0", "u1"] {
            let news = News::Limit { upstream: NameId::of(u), rate: Some(8.0) };
            b.heard(NameId(9), news, at(0));
        }
        let got = count_u0(&mut b, 0, 20_000, Some(8.0)) as f64;
        let most = part * 8.0_f64.mul_add(20.0, 10.5);
        assert!(got <= most && got >= most * 0.8, "{got} of {most} in 20 s in {hall}");
    }
}

/// A service of one limited upstream; orders and reads press for ten times as much.
#[test]
fn orders_go_first_and_the_rest_is_told_when_to_come_back() {
    let mut b = balancer(1);
    told(&mut b, Some(4.0), 0);
    let (order, read) = (ask(&b, false), ask(&b, true));
    let mut served = [0; 2];
    for ms in (0..20_000).step_by(50) {
        for (i, ask) in [read, order].into_iter().enumerate() {
            match b.pick(&ask, &[], at(ms)) {
                Ok(p) => {
                    served[i] += 1;
                    advertise(&mut b, &p, Some(4.0), at(ms + 1));
                    b.finish(p.attempt, Outcome::Whole, at(ms + 1));
                }
                Err(r) => {
                    assert_eq!(r.kind, RefusalKind::Limited);
                    let wait = r.retry_after;
                    assert!(wait >= Duration::from_millis(100) && wait <= Duration::from_secs(3));
                }
            }
        }
    }
    let [reads, orders] = served;
    assert!(orders > 2 * reads, "{orders} orders and {reads} reads");
    assert!((70..=90).contains(&(orders + reads)), "{orders} and {reads} at four a second");
}

#[test]
fn a_box_that_hears_nobody_keeps_a_share() {
    let mut b = balancer(2);
    let hall = BTreeMap::from([(NameId::of("h"), 10)]);
    b.set_reach(Reach { boxes: 10, in_touch: false });
    told(&mut b, Some(10.0), 0);
    b.set_halls(&hall, true);
    let got = count_u0(&mut b, 0, 20_000, Some(10.0));
    assert!((8..=30).contains(&got), "{got} in 20 s, where its share is twenty");
}

#[test]
fn a_box_that_wakes_spends_no_more_than_a_burst_before_it_hears() {
    let mut b = balancer(2);
    told(&mut b, Some(1.0), 0);
    count_u0(&mut b, 0, 5_000, Some(1.0));
    let woken = 25_000;
    let got = count_u0(&mut b, woken, woken + 500, Some(1.0));
    assert!(got <= 4, "{got} at once, where a burst is 3.5");
}

#[test]
fn an_urgent_request_goes_before_others_of_its_kind() {
    let mut b = balancer(1);
    told(&mut b, Some(4.0), 0);
    let usual = ask(&b, false);
    let low = Ask { priority: 2, ..usual };
    let mut served = [0; 2];
    for ms in (0..20_000).step_by(50) {
        for (i, ask) in [low, usual].into_iter().enumerate() {
            if let Ok(p) = b.pick(&ask, &[], at(ms)) {
                served[i] += 1;
                advertise(&mut b, &p, Some(4.0), at(ms + 1));
                b.finish(p.attempt, Outcome::Whole, at(ms + 1));
            }
        }
    }
    assert!(served[1] > 2 * served[0], "{served:?}");
}

/// Guards against a burst of all boxes at an upstream whose list entry lapses for a moment.
#[test]
fn a_limit_outlasts_its_list_entry() {
    let mut b = balancer(2);
    told(&mut b, Some(1.0), 0);
    count_u0(&mut b, 0, 3_000, Some(1.0));
    b.remove_upstream("u0");
    b.set_upstream(listed("u0", "h", MemberState::Live), at(3_100));
    let ask = ask(&b, false);
    let picks: Vec<Pick> = (0..20).filter_map(|_| b.pick(&ask, &[], at(3_110)).ok()).collect();
    let got = picks.iter().filter(|p| name(&b, p) == "u0").count();
    assert!(got <= 3, "{got} at once before any answer, at one a second");
}
