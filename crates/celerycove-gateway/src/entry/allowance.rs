//! The entry's shares of the organisations' rates.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use celerycove_fleet::Config;
use celerycove_limit::share::{Allotment, Part, Report};
use celerycove_types::{Map, Timestamp, id};
use tokio::sync::Notify;

use super::Entry;
use crate::{
    clock,
    link::lock,
    message::{Ask, Reply},
};

/// How often shares are renewed: several times while they last.
const RENEW: Duration = Duration::from_millis(600);
/// The shortest pause between renewals that requests ask for.
const URGENT: Duration = Duration::from_millis(40);
/// How long a request waits for a larger share before it is refused: a few renewals.
const WAIT: Duration = Duration::from_millis(130);
/// How long the allotter may take to answer.
const PATIENCE: Duration = Duration::from_millis(400);

/// Why a request may not pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Short {
    /// The organisation is over its rate; a token comes after this time.
    OverRate(Duration),
    /// No share is held: no allotter could be asked for long.
    NoShare,
}

/// The shares held.
#[derive(Default)]
pub(super) struct Allowances {
    allotments: Mutex<Map<id::Organisation, Allotment>>,
    wanted: Notify,
    renewed: Notify,
}

impl Allowances {
    /// Follows the configuration.
    pub(super) fn entitle(&self, config: &Config) {
        let now = clock::now();
        let mut allotments = lock(&self.allotments);
        let limited = config.organisations.iter().filter(|o| o.rate > 0.0);
        for organisation in limited.clone() {
            allotments
                .entry(organisation.name.clone())
                .or_insert_with(|| Allotment::new(now))
                .entitle(now, organisation.rate, organisation.burst);
        }
        allotments.retain(|name, _| limited.clone().any(|o| o.name == *name));
        self.wanted.notify_one();
    }

    /// Spends one token, waiting shortly for a larger share.
    pub(super) async fn pass(&self, organisation: &id::Organisation) -> Result<(), Short> {
        let began = clock::now();
        let mut first = true;
        loop {
            let renewed = self.renewed.notified();
            let now = clock::now();
            let (next, held) = {
                let mut allotments = lock(&self.allotments);
                let Some(allotment) = allotments.get_mut(organisation) else {
                    return Ok(());
                };
                if first {
                    allotment.want(now);
                }
                if allotment.spend(now) {
                    return Ok(());
                }
                (allotment.next_token(), allotment.is_held(now))
            };
            first = false;
            let left = WAIT.saturating_sub(now.saturating_sub(began));
            if left.is_zero() {
                return Err(if held {
                    Short::OverRate(next)
                } else {
                    Short::NoShare
                });
            }
            self.wanted.notify_one();
            let wait = left.min(next.max(Duration::from_millis(1)));
            // Whichever comes first, the bucket is looked at again.
            let _ = tokio::time::timeout(wait, renewed).await;
        }
    }

    fn reports(&self, now: Timestamp) -> BTreeMap<id::Organisation, Report> {
        let mut allotments = lock(&self.allotments);
        let reports = allotments.iter_mut();
        reports
            .map(|(name, allotment)| (name.clone(), allotment.report(now)))
            .collect()
    }

    fn take(&self, asked: Timestamp, parts: &BTreeMap<id::Organisation, Part>) {
        let now = clock::now();
        let mut allotments = lock(&self.allotments);
        for (name, part) in parts {
            if let Some(allotment) = allotments.get_mut(name) {
                allotment.take(now, asked, *part);
            }
        }
        drop(allotments);
        self.renewed.notify_waiters();
    }
}

impl Entry {
    /// Renews the shares, again and again.
    pub(super) async fn renew(&self) {
        let mut granted = true;
        loop {
            let wanted = self.allowances.wanted.notified();
            // Either way it is time to renew.
            let _ = tokio::time::timeout(RENEW, wanted).await;
            let now = clock::now();
            let reports = self.allowances.reports(now);
            if !reports.is_empty() {
                let leader = self.picture.leader();
                let renewed = match leader {
                    Some(leader) => {
                        let ask = Ask::Shares(reports);
                        self.links.ask(&leader, ask, PATIENCE).await.ok()
                    }
                    None => None,
                };
                let success = matches!(renewed, Some(Reply::Shares(_)));
                if success != granted {
                    log::info!(target: "limit", success; "renewal of shares");
                    granted = success;
                }
                if let Some(Reply::Shares(parts)) = renewed {
                    self.allowances.take(now, &parts);
                }
            }
            tokio::time::sleep(URGENT).await;
        }
    }
}
