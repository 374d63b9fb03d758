//! Actor that drives the membership state machine and sends its messages.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context as MessageContext, Message};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;

use super::gossip::{Push, RandomizedTokens};
use super::lease::{Claim, ClaimReply, Release};
use crate::clock::Monotonic;
use crate::connection::peer::{ClaimAnswer, PeerClient};
use crate::ids::HostId;
use crate::process::context::Context;
use crate::process::membership::seats::{Action, LeaseView, Membership};
use crate::process::servers::owner::Owner;
use crate::version::operational::OperationalState;

/// Interval between ticks of the state machine.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Token account parameters of the gossip; see `docs/GOSSIP.md`.
pub(crate) const GOSSIP_TOKENS: RandomizedTokens =
    RandomizedTokens { spend_divisor: 5, capacity: 10 };

/// Drives a host's membership and publishes its snapshot.
#[derive(Actor)]
pub(crate) struct MembershipActor {
    context: Arc<Context>,
    owner: Arc<Owner>,
    membership: Membership<RandomizedTokens>,
    newer_config_hosts: mpsc::UnboundedSender<HostId>,
    rng: SmallRng,
}

impl MembershipActor {
    /// Creates the actor; it reports hosts with a newer configuration on `newer_config_hosts`.
    pub(crate) fn new(
        context: Arc<Context>,
        owner: Arc<Owner>,
        newer_config_hosts: mpsc::UnboundedSender<HostId>,
    ) -> Self {
        let membership = Membership::new(
            context.clock.now(),
            context.me.clone(),
            context.incarnation,
            context.operational.load_full(),
            GOSSIP_TOKENS,
        );
        let rng = SmallRng::seed_from_u64(context.incarnation);
        Self { context, owner, membership, newer_config_hosts, rng }
    }

    /// Publishes the snapshot for the request path and logs changes of the held seats.
    fn publish(&mut self) {
        let view = self.membership.view(self.context.clock.now());
        let old = self.context.leases.load_full();
        self.log_seat_changes(&old, &view);
        self.context.leases.store(Arc::new(view));
    }

    fn log_seat_changes(&self, old: &LeaseView, new: &LeaseView) {
        let seats: HashSet<&HostId> = old.held.keys().chain(new.held.keys()).collect();
        for seat in seats {
            let since = |view: &LeaseView| view.held.get(seat).map(|held| held.since);
            match (since(old), since(new)) {
                (before, Some(now)) if before != Some(now) => {
                    tracing::info!(host = %self.context.me, %seat, "acquired the seat");
                    self.owner.forget(seat);
                    self.context.metrics.seat_change();
                }
                (Some(_), None) => {
                    tracing::info!(host = %self.context.me, %seat, "lost or released the seat");
                    self.context.metrics.seat_change();
                }
                _ => {}
            }
        }
    }

    fn spawn_sends(&self, actions: Vec<Action>, actor: &ActorRef<Self>) {
        for action in actions {
            let (context, actor) = (self.context.clone(), actor.clone());
            tokio::spawn(async move {
                match action {
                    Action::Claim(to, claim) => send_claim(&context, &actor, to, claim).await,
                    Action::Release(to, release) => {
                        send(&context, &to, |c, ctx| async move { c.release(ctx, release).await })
                            .await;
                    }
                    Action::Push(to, push) => {
                        send(&context, &to, |c, ctx| async move { c.push(ctx, push).await }).await;
                    }
                }
            });
        }
    }

    /// Compares the configuration version in a host's reply to a request sent at `requested_at`
    /// with the version in force. Reports a newer one, and takes any other as a confirmation.
    fn compare_config(&self, host: &HostId, version: u64, requested_at: Monotonic) {
        if version > self.context.operational.load().config.version {
            let _ = self.newer_config_hosts.send(host.clone());
        } else {
            self.context.on_confirmed(requested_at);
        }
    }
}

async fn send_claim(
    context: &Arc<Context>,
    actor: &ActorRef<MembershipActor>,
    to: HostId,
    claim: Claim,
) {
    let Some(address) = context.address(&to) else {
        return;
    };
    let sent_at = context.clock.now();
    let seat = claim.seat.clone();
    let call = |client: PeerClient, ctx| async move { client.claim(ctx, claim).await };
    match context.peers.call(&address, CALL_TIMEOUT, call).await {
        Ok(answer) => {
            context.peers.observe_clock(&to, answer.clock_us);
            let _ = actor.tell(Answered { from: to, seat, sent_at, answer }).await;
        }
        Err(_) => context.on_call_overdue(&to, sent_at),
    }
}

async fn send<F>(
    context: &Context,
    to: &HostId,
    call: impl FnOnce(PeerClient, tarpc::context::Context) -> F,
) where
    F: Future<Output = Result<(), tarpc::client::RpcError>>,
{
    if let Some(address) = context.address(to) {
        let _ = context.peers.call(&address, CALL_TIMEOUT, call).await;
    }
}

/// Advances the state machine to the current time.
pub(crate) struct Tick;

/// A witness's reply to a claim.
pub(crate) struct Answered {
    from: HostId,
    seat: HostId,
    sent_at: Monotonic,
    answer: ClaimAnswer,
}

/// Announces that a new configuration or list of leaving servers is in force.
pub(crate) struct Adopted(pub(crate) Arc<OperationalState>);

/// Starts leaving the fleet.
pub(crate) struct Leave;

impl Message<Tick> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, ctx: &mut MessageContext<Self, ()>) {
        let now = self.context.clock.now();
        let gap = self.context.pause.lock().expect("no holder of the lock panics").tick(now);
        if let Some(gap) = gap {
            tracing::warn!(
                host = %self.context.me, gap_ms = gap.as_millis(),
                "this process was paused; sending waits until a peer confirms the configuration"
            );
            self.context.metrics.pause();
        }
        let owner = self.owner.clone();
        let load = self.context.running.load(Ordering::Relaxed);
        let actions = self.membership.tick(now, load, |seat| owner.in_flight(seat), &mut self.rng);
        self.publish();
        self.spawn_sends(actions, ctx.actor_ref());
    }
}

impl Message<Answered> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, msg: Answered, _: &mut MessageContext<Self, ()>) {
        let now = self.context.clock.now();
        let Answered { from, seat, sent_at, answer } = msg;
        self.context.on_peer_message(&from);
        self.membership.on_claim_reply(now, &from, &seat, sent_at, &answer.reply);
        self.compare_config(&from, answer.config_version, sent_at);
        self.publish();
    }
}

impl Message<Claim> for MembershipActor {
    type Reply = Option<ClaimReply>;

    async fn handle(
        &mut self,
        claim: Claim,
        _: &mut MessageContext<Self, Self::Reply>,
    ) -> Self::Reply {
        Some(self.membership.on_claim(self.context.clock.now(), &claim))
    }
}

impl Message<Release> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, release: Release, _: &mut MessageContext<Self, ()>) {
        self.membership.on_release(self.context.clock.now(), &release);
    }
}

impl Message<Push> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, push: Push, ctx: &mut MessageContext<Self, ()>) {
        let now = self.context.clock.now();
        self.context.on_peer_message(&push.from);
        let (received, actions) = self.membership.on_push(now, &push, &mut self.rng);
        if received.newer_config {
            let _ = self.newer_config_hosts.send(push.from.clone());
        }
        if received.conflicting_config {
            tracing::error!(
                peer = %push.from, version = push.config_version,
                "the peer has different content under the same version; publish a higher version"
            );
        }
        self.spawn_sends(actions, ctx.actor_ref());
    }
}

impl Message<Adopted> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, Adopted(operational): Adopted, _: &mut MessageContext<Self, ()>) {
        self.membership.adopt(self.context.clock.now(), operational);
        self.publish();
    }
}

impl Message<Leave> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut MessageContext<Self, ()>) {
        self.membership.leave();
        self.publish();
    }
}
