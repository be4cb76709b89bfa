//! The open-loop schedule is determined by its seed.

use std::time::Duration;

use molespan_bench::run::load::prompts::Prompts;
use molespan_bench::run::load::schedule::{
    OnlineKind, application_arrivals, job_arrivals, online_arrivals,
};
use molespan_bench::run::profile::Profile;
use molespan_engine_api::token_ends;

const ZONES: usize = 3;
const LENGTH: Duration = Duration::from_secs(30);

#[test]
fn equal_seeds_give_equal_arrivals() {
    let load = Profile::archive().online;
    let first = online_arrivals(&load, ZONES, LENGTH, 7);
    assert_eq!(first, online_arrivals(&load, ZONES, LENGTH, 7));
    assert_ne!(first, online_arrivals(&load, ZONES, LENGTH, 8));
}

#[test]
fn arrivals_are_in_order_and_within_the_length() {
    for profile in [Profile::archive(), Profile::lab()] {
        let online = online_arrivals(&profile.online, ZONES, LENGTH, 1);
        assert!(online.is_sorted_by_key(|arrival| arrival.at));
        assert!(online.iter().all(|arrival| arrival.at < LENGTH));
        assert!(online.iter().all(|arrival| arrival.zone < ZONES));
        let application = application_arrivals(&profile.application, ZONES, LENGTH, 1);
        assert!(application.is_sorted_by_key(|arrival| arrival.at));
        assert!(application.iter().all(|arrival| arrival.at < LENGTH));
    }
}

#[test]
fn bursts_stand_out_of_the_steady_stream() {
    let load = Profile::archive().online;
    let arrivals = online_arrivals(&load, ZONES, LENGTH, 1);
    let busiest = arrivals.iter().map(|first| {
        let end = first.at + load.burst_duration;
        let within = |other: &&_| -> bool {
            let other: &molespan_bench::run::load::schedule::OnlineArrival = other;
            other.at >= first.at && other.at < end
        };
        arrivals.iter().filter(within).count()
    });
    assert!(busiest.max() >= Some(load.burst_requests as usize / 2));
}

#[test]
fn jobs_come_in_waves_that_keep_the_engines_busy() {
    let profile = Profile::archive();
    let items = profile.items_per_job();
    let jobs = job_arrivals(&profile.batch, items, ZONES, LENGTH, 1);
    let waves = [0, 10, 20].map(Duration::from_secs);
    let at = |wave| jobs.iter().filter(|job| job.at == wave).count();
    let per_wave = profile.batch.jobs_per_wave as usize;
    assert_eq!(waves.map(at), [per_wave; 3]);
    assert_eq!(jobs.len(), 3 * per_wave);
    let fleet_rate = profile.engine_items_per_second() * f64::from(profile.fleet.engines);
    let wave_items = f64::from(items * profile.batch.jobs_per_wave);
    assert!(wave_items >= fleet_rate * profile.batch.wave_interval.as_secs_f64());
}

#[test]
fn prompts_differ_and_albums_share_their_prefix() {
    let prompts = Prompts::new("test");
    let first = prompts.album(3, 100, 1, 20);
    let second = prompts.album(3, 100, 2, 20);
    let common = first.bytes().zip(second.bytes());
    let common = common.take_while(|(one, other)| one == other).count();
    assert!(token_ends(&first[..common]).len() >= 100);
    assert_ne!(first, second);
    assert_ne!(prompts.single("a", 1, 20), prompts.single("a", 2, 20));
    let tokens = token_ends(&prompts.single("a", 1, 20)).len();
    assert!((20..=24).contains(&tokens), "{tokens} tokens");
}

#[test]
fn both_kinds_of_online_requests_occur() {
    let load = Profile::lab().online;
    let arrivals = online_arrivals(&load, ZONES, LENGTH, 1);
    let albums = arrivals.iter();
    let albums = albums.filter(|arrival| matches!(arrival.kind, OnlineKind::Album(_)));
    let share = albums.count() as f64 / arrivals.len() as f64;
    assert!((share - load.album_share).abs() < 0.1, "{share}");
}
