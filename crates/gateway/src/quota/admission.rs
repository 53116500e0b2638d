//! Admission of requests by the quotas of their tenants.

use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use tokio::sync::oneshot;
use tokio::time;

use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::quota::unanswered::Unanswered;
use crate::quota::{Answer, Ask, Denial, Grant, Limit, Permit, Source, Verdict};
use crate::refusal::{Reason, Refusal};
use crate::span::millis;
use crate::tenant::{Quota, Tenant};

/// Spends the tokens of a request; returns `None` if its tenant has no quota or the peer that
/// handed it over has spent them.
///
/// # Errors
///
/// Fails with the refusal of a request over the quota.
pub(crate) async fn admit(
    gateway: &Arc<Gateway>,
    exchange: &Exchange,
) -> Result<Option<Permit>, Refusal> {
    let tenant = exchange.tenant.as_ref();
    let tenant = tenant.filter(|_| exchange.call.handed_over_by.is_none());
    let Some((tenant, quota)) = tenant.and_then(|tenant| Some((tenant, tenant.quota?))) else {
        return Ok(None);
    };
    let cost = quota.cost(&exchange.call);
    match decide(gateway, tenant, quota, cost).await {
        Verdict::Admitted(permit) => {
            let is_local = matches!(permit.source, Source::Share(_));
            gateway.metrics.quota_admitted(&tenant.name, cost, is_local);
            Ok(Some(permit))
        }
        Verdict::Refused(denial) => {
            gateway.metrics.quota_refused(&tenant.name, denial.is_local);
            log_denial(gateway, exchange, tenant, cost, &denial);
            Err(Refusal::new(Reason::QuotaExceeded).with_retry_after(denial.retry_after))
        }
    }
}

/// Returns the tokens of a request if the refusal promises that it has not run.
pub(crate) fn refund(
    gateway: &Gateway,
    exchange: &Exchange,
    permit: Option<&Permit>,
    refusal: &Refusal,
) {
    if let Some((permit, tenant)) = permit.zip(exchange.tenant.as_ref())
        && refusal.promises_no_run()
    {
        let now = gateway.now();
        let mut allowance = gateway.quota.allowance.lock();
        allowance.refund(&tenant.name, permit, now);
    }
}

async fn decide(gateway: &Arc<Gateway>, tenant: &Arc<Tenant>, quota: Quota, cost: u64) -> Verdict {
    let now = gateway.now();
    let name = &tenant.name;
    let spent = gateway.quota.allowance.lock().spend(name, cost, now);
    if let Some((permit, ask)) = spent {
        send(gateway, tenant, quota, ask).await;
        return Verdict::Admitted(permit);
    }
    let (waiter, verdict) = oneshot::channel();
    let limit = Limit {
        tenant: name,
        quota: &quota,
    };
    let share = || gateway.quota.share(gateway, name, now);
    let draw = rand::random();
    let answer = {
        let mut allowance = gateway.quota.allowance.lock();
        allowance.request(limit, cost, || waiter, share, draw, now)
    };
    match answer {
        Answer::Decided(decided, ask) => {
            send(gateway, tenant, quota, ask).await;
            decided
        }
        Answer::Waits(ask) => {
            send(gateway, tenant, quota, ask).await;
            // The sender is kept until the ask has an answer or times out.
            verdict.await.unwrap_or(Verdict::Refused(Denial {
                retry_after: Duration::from_secs(1),
                is_local: true,
                held: 0,
                answer_age: None,
            }))
        }
    }
}

// Sends an ask. Of another instance, the answer is awaited in a task: it is for all requests
// that wait by then, whichever of them still have a caller.
async fn send(gateway: &Arc<Gateway>, tenant: &Arc<Tenant>, quota: Quota, ask: Option<Ask>) {
    let Some(ask) = ask else {
        return;
    };
    let unanswered = Unanswered::new(gateway, tenant, quota);
    let owner = gateway.quota.owner(&tenant.name);
    let is_remote = owner.is_some_and(|owner| owner != gateway.settings.instance);
    let resolving = resolve(Arc::clone(gateway), unanswered, ask);
    if is_remote {
        tokio::spawn(resolving);
    } else {
        resolving.await;
    }
}

async fn resolve(gateway: Arc<Gateway>, mut unanswered: Unanswered, ask: Ask) {
    let mut next = Some(ask);
    while let Some(ask) = next {
        let asked_at = gateway.now();
        let grant = obtain(&gateway, unanswered.limit(), &ask).await;
        if grant.is_some() {
            gateway.quota.record_owner();
        }
        next = unanswered.record(asked_at, grant.as_ref());
    }
}

// Obtains the answer of the owner; `None` if it does not grant or does not answer in time.
async fn obtain(gateway: &Gateway, limit: Limit<'_>, ask: &Ask) -> Option<Grant> {
    let own = &gateway.settings.instance;
    let owner = gateway.quota.owner(limit.tenant)?;
    if owner == *own {
        return gateway.quota.grant(gateway, own, limit, ask, gateway.now());
    }
    let link = gateway.links.get(&owner)?;
    let message = mesh::QuotaAsk {
        id: 0,
        tenant: limit.tenant.to_owned(),
        costs: ask.costs.clone(),
        prefetch: ask.prefetch,
        refused: ask.refused,
        on_share: ask.on_share,
    };
    let answer = time::timeout(ask.timeout, link.ask(message)).await;
    let grant = answer.ok().flatten();
    let is_granted = grant.as_ref().is_some_and(|grant| grant.granting);
    gateway.metrics.quota_ask(is_granted);
    let grant = grant.filter(|_| is_granted)?;
    Some(Grant {
        tokens: grant.tokens,
        lifetime: Duration::from_millis(grant.expires_ms),
        pause: Duration::from_millis(grant.pause_ms),
        retry_after: Duration::from_millis(grant.retry_after_ms),
        spread: Duration::from_millis(grant.spread_ms),
    })
}

fn log_denial(gateway: &Gateway, exchange: &Exchange, tenant: &Tenant, cost: u64, denial: &Denial) {
    log::info!(
        request = exchange.call.attempt.as_str(), tenant = tenant.name.as_str(), cost,
        held = denial.held, grant_age_ms = denial.answer_age.map(millis),
        owner = gateway.quota.owner(&tenant.name).as_deref(), local = denial.is_local,
        retry_after_ms = millis(denial.retry_after);
        "quota exceeded"
    );
}
