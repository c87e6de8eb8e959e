//! State machine of a gateway: routes each request, makes its attempts and produces its response. It does no I/O and
//! reads no clock: requests, results of attempts and the time go in, [`Action`]s come out.
//!
//! Each request gets exactly one response, by its deadline, whatever its targets do. A request of a class with an effect
//! that may have run at a target is reported as failed: it is never sent again, and never reported as not run.

use cleatpulley_dispatcher::{ClientStream, IncomingRequest, RequestHead, Response};
use cleatpulley_policy::interface::Micros;
use cleatpulley_routes::balancer::{AttemptOutcome, Balancer};
use cleatpulley_routes::limits::RequestLimiter;
use cleatpulley_routes::model::{
    BalancingMethod, Limit, Pool as PoolModel, ProxyTimeouts, RetryPolicy, Routes,
};
use cleatpulley_routes::retry::{
    AttemptFailure, RetryBudget, RetryContext, RetryDecision, RetryDenial,
};
use cleatpulley_routes::router::{RouteDecision, RouteRequest, Router};
use cleatpulley_routes::template::Template;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Time before its deadline at which a request is given up, in microseconds, so that the response arrives in time.
const DEADLINE_MARGIN: Micros = 20_000;
/// Maximum number of retries that the retry budget of a pool saves, and the number that it begins with.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// The properties of a request class that a gateway uses.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// True where a request is not safe to repeat.
    pub has_effect: bool,
    /// Maximum time from receipt to the final response, in microseconds.
    pub deadline: Micros,
}

/// Returns the parts of a request that routes match on. `address` is the `address:port` of the route table that the
/// request came to.
#[must_use]
pub fn route_request<'a>(address: Option<&'a str>, head: &'a RequestHead) -> RouteRequest<'a> {
    RouteRequest {
        listen_address: address,
        host: &head.host,
        method: &head.method,
        request_target: &head.target,
        headers: &head.headers,
        caller_address: &head.remote_address,
    }
}

/// Identifies a request within a gateway. Numbers are not reused.
pub type RequestNumber = u64;

/// An action that the caller of the core carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a request to a target.
    Send {
        /// The request.
        number: RequestNumber,
        /// The target's address.
        target_address: Arc<str>,
        /// The URI that is sent to the target.
        uri: String,
    },
    /// Gives up the attempt of a request: its result is no longer needed.
    Abandon(RequestNumber),
    /// Responds to a request.
    Respond(ClientStream, Response),
}

/// What a target or its connection reported on an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// The attempt ended with a response of the target that is passed on: the request was served, or is invalid.
    Response(Response),
    /// The attempt ended without a response to pass on.
    Failed(AttemptFailure),
    /// The target advises how many requests may be open at it. The attempt goes on.
    AdvisedConcurrency(u32),
}

#[derive(Debug)]
struct Pool {
    balancer: Balancer,
    addresses: Vec<Arc<str>>,
    hash_key: Option<Template>,
    hash_by_address: bool,
    retry_budget: RetryBudget,
    /// Smoothed latency of the attempts that got a response, in microseconds. A retry with less than a quarter of it left
    /// is not made, as it would hardly be answered in time.
    smoothed_latency: f64,
}

/// Approximate memory of a pending request without its head and body, in bytes.
const PENDING_REQUEST_BYTES: usize = 1_024;

/// Returns the approximate memory that a request holds, in bytes. Its frame or body counts twice, since it is
/// copied to the connection of its target.
fn request_size(head: &RequestHead, request: &IncomingRequest) -> usize {
    let copied = head.frame.as_ref().map_or(0, Vec::len) + request.body.len();
    PENDING_REQUEST_BYTES + head.allocated_bytes() + request.body.len() + copied
}

impl Pool {
    fn new(pool: &PoolModel, retry_share: f64, seed: u64) -> Result<Self, String> {
        Ok(Self {
            balancer: Balancer::new(pool, seed),
            addresses: pool
                .targets
                .iter()
                .map(|target| Arc::from(target.address.as_str()))
                .collect(),
            hash_key: match &pool.method {
                BalancingMethod::Hash { key, .. } => Some(Template::parse(key)?),
                _ => None,
            },
            hash_by_address: pool.method == BalancingMethod::AddressHash,
            retry_budget: RetryBudget::new(retry_share, MAX_SAVED_RETRIES),
            smoothed_latency: 0.0,
        })
    }
}

#[derive(Debug)]
struct PendingRequest {
    request: IncomingRequest,
    has_effect: bool,
    accepted_at: Micros,
    deadline: Micros,
    pool: Arc<str>,
    /// Retry policy and timeouts of its location; a reload doesn't change them for a pending request.
    retry_policy: RetryPolicy,
    timeouts: ProxyTimeouts,
    uri: String,
    limits: Vec<(Limit, String)>,
    /// Memory that the request holds.
    size_bytes: usize,
    attempted_targets: Vec<usize>,
    /// Number of attempts at targets that a reload removed.
    removed_attempts: u32,
    may_have_run: bool,
    /// The attempt in flight: the index of its target, where a reload has not removed it, and the time of its start.
    in_flight: Option<(Option<usize>, Micros)>,
    timer_at: Micros,
}

/// Counters of requests and attempts. The names of the struct and its fields appear in a log line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests received.
    pub requests: u64,
    /// First attempts.
    pub first: u64,
    /// Retries.
    pub again: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub refused: u64,
    /// Requests that failed or passed their deadline.
    pub failed: u64,
    /// Requests that a route answered itself, and invalid ones.
    pub returned: u64,
    /// Failed attempts that were not retried, by reason.
    pub stopped: BTreeMap<RetryDenial, u64>,
}

/// The pending requests, pools and limits of a gateway.
#[derive(Debug)]
pub struct GatewayCore {
    router: Router,
    classes: Vec<Class>,
    listen_address: Option<String>,
    pools: HashMap<Arc<str>, Pool>,
    limits: RequestLimiter,
    pending: BTreeMap<RequestNumber, PendingRequest>,
    by_client: BTreeSet<(u64, u32, RequestNumber)>,
    timers: BTreeSet<(Micros, RequestNumber)>,
    next_number: RequestNumber,
    held_bytes: usize,
    max_held_bytes: usize,
    /// Time from which new requests are rejected.
    rejects_from: Option<Micros>,
    /// Counters of requests and attempts.
    pub counts: Counts,
}

/// Settings of a [`GatewayCore`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// The route table.
    pub routes: Routes,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The `address:port` of the route table that requests come to.
    pub listen_address: Option<String>,
    /// Retries allowed for each first attempt.
    pub retry_share: f64,
    /// Seed of random choices.
    pub seed: u64,
    /// Maximum memory held by pending requests, in bytes; requests beyond it are rejected.
    pub max_held_bytes: usize,
}

impl GatewayCore {
    /// Creates a core without any state of its targets.
    ///
    /// # Errors
    /// Where the route table is invalid.
    pub fn new(settings: &Settings) -> Result<Self, String> {
        let router = Router::new(&settings.routes)?;
        let mut pools = HashMap::new();
        for (index, (name, pool)) in settings.routes.pools.iter().enumerate() {
            let seed = settings.seed.wrapping_add(index as u64);
            pools.insert(
                Arc::from(name.as_str()),
                Pool::new(pool, settings.retry_share, seed)?,
            );
        }
        Ok(Self {
            router,
            classes: settings.classes.clone(),
            listen_address: settings.listen_address.clone(),
            pools,
            limits: RequestLimiter::default(),
            pending: BTreeMap::new(),
            by_client: BTreeSet::new(),
            timers: BTreeSet::new(),
            next_number: 1,
            held_bytes: 0,
            max_held_bytes: settings.max_held_bytes,
            rejects_from: None,
            counts: Counts::default(),
        })
    }

    /// Replaces the route table. The state of targets that are in both tables is kept, with their open requests. Attempts
    /// in flight go on, and their requests keep the retry policy and timeouts of their old location.
    ///
    /// # Errors
    /// Where the table is invalid or the classes differ; nothing is changed then.
    pub fn reload(&mut self, settings: &Settings) -> Result<(), String> {
        if settings.classes != self.classes {
            return Err("the classes differ: a change of them needs a restart".to_owned());
        }
        let router = Router::new(&settings.routes)?;
        let mut pools = HashMap::new();
        for (index, (name, pool)) in settings.routes.pools.iter().enumerate() {
            let seed = settings.seed.wrapping_add(index as u64);
            pools.insert(
                Arc::<str>::from(name.as_str()),
                Pool::new(pool, settings.retry_share, seed)?,
            );
        }
        // For each pool, maps the old index of a target to its new one.
        let mut index_maps: HashMap<Arc<str>, HashMap<usize, usize>> = HashMap::new();
        for (name, pool) in &mut pools {
            let Some(mut old_pool) = self.pools.remove(name) else {
                continue;
            };
            let previous_indexes = old_pool.balancer.reload(&settings.routes.pools[&**name]);
            let index_map = previous_indexes
                .iter()
                .enumerate()
                .filter_map(|(new_index, old_index)| Some(((*old_index)?, new_index)))
                .collect();
            index_maps.insert(name.clone(), index_map);
            (pool.balancer, pool.retry_budget, pool.smoothed_latency) = (
                old_pool.balancer,
                old_pool.retry_budget,
                old_pool.smoothed_latency,
            );
        }
        for pending in self.pending.values_mut() {
            let index_map = index_maps.get(&pending.pool);
            let to_new_index = |old_index: usize| {
                index_map.and_then(|index_map| index_map.get(&old_index).copied())
            };
            pending.in_flight = pending
                .in_flight
                .map(|(target, started_at)| (target.and_then(to_new_index), started_at));
            // A removed target can't be picked again, but attempts at it still count.
            pending.removed_attempts += pending.attempted_targets.len() as u32;
            pending.attempted_targets = std::mem::take(&mut pending.attempted_targets)
                .into_iter()
                .filter_map(to_new_index)
                .collect();
            pending.removed_attempts -= pending.attempted_targets.len() as u32;
        }
        (self.router, self.pools) = (router, pools);
        self.listen_address.clone_from(&settings.listen_address);
        Ok(())
    }

    /// Returns the number of requests without a response.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns a pending request.
    #[must_use]
    pub fn request(&self, number: RequestNumber) -> Option<&IncomingRequest> {
        self.pending.get(&number).map(|pending| &pending.request)
    }

    /// Rejects requests that arrive at or after this time.
    pub fn reject_requests_from(&mut self, at: Micros) {
        self.rejects_from = Some(at);
    }

    /// Returns the time at which the next timer expires.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Handles a new request: starts its first attempt, or responds at once.
    pub fn on_request(
        &mut self,
        now: Micros,
        mut request: IncomingRequest,
        actions: &mut Vec<Action>,
    ) {
        self.counts.requests += 1;
        let client = request.client;
        let head = request.head.take().unwrap_or_default();
        let size_bytes = request_size(&head, &request);
        // Guards against callers that fill the memory with accepted requests that wait.
        let routed = match self.held_bytes + size_bytes > self.max_held_bytes {
            true => Err(Response::Rejected {
                retry_after: 0,
                no_failover: false,
            }),
            false => self.route(now, &head, &mut request),
        };
        let response = match routed {
            Ok(pending) => {
                self.held_bytes += size_bytes;
                request.head = Some(head);
                let number = self.next_number;
                self.next_number += 1;
                self.by_client
                    .insert((client.connection, client.stream, number));
                self.pending.insert(
                    number,
                    PendingRequest {
                        request,
                        size_bytes,
                        ..pending
                    },
                );
                if let Some(pool) = self
                    .pending
                    .get(&number)
                    .and_then(|pending| self.pools.get_mut(&pending.pool))
                {
                    pool.retry_budget.record_first_attempt();
                }
                return self.start_attempt(now, number, actions);
            }
            Err(response) => response,
        };
        self.count_response(&response);
        actions.push(Action::Respond(client, response));
    }

    /// Finds the route of a request and acquires its limits. Returns the response where the request is not forwarded.
    fn route(
        &mut self,
        now: Micros,
        head: &RequestHead,
        request: &mut IncomingRequest,
    ) -> Result<PendingRequest, Response> {
        let reject = |retry_after| Response::Rejected {
            retry_after,
            no_failover: false,
        };
        // Guards against clocks that differ: no request was received in the future.
        let received_at = request.received_at.min(now);
        let route_request = route_request(self.listen_address.as_deref(), head);
        let direct_response = |status: u16, body: String| Response::Direct {
            status,
            body: body.into_bytes(),
        };
        let decision = self
            .router
            .route(&route_request)
            .map_err(|error| direct_response(404, error))?;
        let (server, location, pool, uri, class) = match decision {
            RouteDecision::Forward {
                server,
                location,
                pool,
                uri,
                class,
            } => (server, location, pool, uri, class),
            RouteDecision::Respond {
                status: code, text, ..
            } => return Err(direct_response(code, text)),
        };
        // A frame names its class; a class that the route sets has to be the same.
        let route_class = class
            .as_ref()
            .and_then(|name| self.classes.iter().position(|class| class.name == *name));
        if head.frame.is_some() && route_class.is_some_and(|class| class != request.class) {
            return Err(direct_response(
                404,
                format!("this route is for {}", class.unwrap_or_default()),
            ));
        }
        let class = match (head.frame.is_some(), route_class) {
            (true, _) => request.class,
            (false, Some(class)) => class,
            (false, None) => {
                return Err(direct_response(404, "this route has no class".to_owned()))
            }
        };
        request.class = class;
        let Class {
            has_effect,
            deadline,
            ..
        } = self.classes[class];
        let deadline = received_at + deadline;
        if self.rejects_from.is_some_and(|at| now >= at) || now + DEADLINE_MARGIN >= deadline {
            return Err(reject(0));
        }
        let Some(location_config) = self.router.location(server, location) else {
            return Err(Response::Failed);
        };
        let limits: Vec<_> = location_config
            .limits
            .iter()
            .map(|(key, limit)| (limit.clone(), self.router.expand(key, &route_request)))
            .collect();
        let limit_keys: Vec<_> = limits
            .iter()
            .map(|(limit, key)| (limit, key.clone()))
            .collect();
        if let Err(exceeded) = self.limits.try_acquire(now, &limit_keys) {
            return Err(match exceeded.status {
                429 | 503 => reject(exceeded.retry_after),
                status => direct_response(status, "a limit is reached".to_owned()),
            });
        }
        Ok(PendingRequest {
            request: IncomingRequest {
                head: None,
                body: Vec::new(),
                key: None,
                ..request.clone()
            },
            has_effect,
            accepted_at: now,
            deadline,
            pool,
            retry_policy: location_config.retry_policy.clone(),
            timeouts: location_config.timeouts,
            uri,
            limits,
            size_bytes: 0,
            attempted_targets: Vec::new(),
            removed_attempts: 0,
            may_have_run: false,
            in_flight: None,
            timer_at: 0,
        })
    }

    /// Starts the next attempt of a request, or responds where no target can take it.
    fn start_attempt(&mut self, now: Micros, number: RequestNumber, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&pending.pool) else {
            return self.respond(number, Response::Failed, actions);
        };
        let key = match (&pool.hash_key, &pending.request.head) {
            (Some(key), Some(head)) => {
                let route_request = route_request(self.listen_address.as_deref(), head);
                self.router.expand(key, &route_request)
            }
            (None, Some(head)) if pool.hash_by_address => {
                // As in nginx, the first three octets of an IPv4 address are the key.
                head.remote_address
                    .rsplit_once('.')
                    .map_or(head.remote_address.clone(), |(net, _)| net.to_owned())
            }
            _ => String::new(),
        };
        match pool
            .balancer
            .pick(now, key.as_bytes(), &pending.attempted_targets)
        {
            Ok(target) => {
                pending.attempted_targets.push(target);
                pending.in_flight = Some((Some(target), now));
                let target_address = pool.addresses[target].clone();
                let first_timeout =
                    pending.timeouts.connect_ms.min(pending.timeouts.read_ms) * 1_000;
                let timer_at = (now + first_timeout).min(pending.deadline - DEADLINE_MARGIN);
                let uri = pending.uri.clone();
                if pending.attempted_targets.len() as u32 + pending.removed_attempts == 1 {
                    self.counts.first += 1;
                } else {
                    self.counts.again += 1;
                }
                self.set_timer(number, timer_at);
                actions.push(Action::Send {
                    number,
                    target_address,
                    uri,
                });
            }
            Err(no_target) => {
                let retry_after = no_target
                    .available_at
                    .map_or(0, |available_at| available_at.saturating_sub(now));
                let response = if pending.may_have_run {
                    Response::Failed
                } else {
                    Response::Rejected {
                        retry_after,
                        no_failover: false,
                    }
                };
                self.respond(number, response, actions);
            }
        }
    }

    fn set_timer(&mut self, number: RequestNumber, at: Micros) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        self.timers.remove(&(pending.timer_at, number));
        pending.timer_at = at;
        self.timers.insert((at, number));
    }

    /// Handles the end of an attempt or the advice of its target.
    pub fn on_attempt_event(
        &mut self,
        now: Micros,
        number: RequestNumber,
        event: AttemptEvent,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        let Some((target, started_at)) = pending.in_flight else {
            return;
        };
        let mut pool = self.pools.get_mut(&pending.pool);
        let mut update_pool = |update: &mut dyn FnMut(&mut Pool, usize)| {
            // Nothing is recorded for a target or pool that a reload removed.
            if let (Some(pool), Some(target)) = (pool.as_deref_mut(), target) {
                update(pool, target);
            }
        };
        let failure = match event {
            AttemptEvent::AdvisedConcurrency(max_concurrency) => {
                return update_pool(&mut |pool, target| {
                    pool.balancer
                        .set_advised_concurrency(target, max_concurrency);
                })
            }
            AttemptEvent::Response(response) => {
                pending.in_flight = None;
                let latency = now.saturating_sub(started_at) as f64;
                update_pool(&mut |pool, target| {
                    pool.balancer
                        .record_outcome(now, target, AttemptOutcome::Responded);
                    pool.smoothed_latency = if pool.smoothed_latency == 0.0 {
                        latency
                    } else {
                        0.9 * pool.smoothed_latency + 0.1 * latency
                    };
                });
                // After an attempt that may have run, a request must not be reported as invalid or not run.
                let can_forward = matches!(response, Response::Served(_)) || !pending.may_have_run;
                return self.respond(
                    number,
                    if can_forward {
                        response
                    } else {
                        Response::Failed
                    },
                    actions,
                );
            }
            AttemptEvent::Failed(failure) => failure,
        };
        pending.in_flight = None;
        let outcome = match failure {
            AttemptFailure::Rejected { .. } | AttemptFailure::Failed => AttemptOutcome::Responded,
            AttemptFailure::NotSent | AttemptFailure::ConnectionLost | AttemptFailure::TimedOut => {
                AttemptOutcome::Failed
            }
        };
        update_pool(&mut |pool, target| {
            pool.balancer.record_outcome(now, target, outcome);
            if let AttemptFailure::Rejected { retry_after, .. } = failure {
                if retry_after > 0 {
                    pool.balancer.back_off_until(target, now + retry_after);
                }
            }
        });
        let context = RetryContext {
            has_effect: pending.has_effect,
            may_have_run: pending.may_have_run,
            received_at: pending.accepted_at,
            deadline: pending.deadline - DEADLINE_MARGIN,
            attempts: pending.attempted_targets.len() as u32 + pending.removed_attempts,
        };
        pending.may_have_run |= failure.may_have_run();
        let (decision, denial) = match pool {
            Some(pool) => {
                let shortest = (pool.smoothed_latency / 4.0) as Micros;
                pool.retry_budget
                    .decide(now, &context, failure, &pending.retry_policy, shortest)
            }
            // A reload removed the pool, so there is no other target.
            None if pending.may_have_run => (RetryDecision::Fail, None),
            None => (RetryDecision::Reject(0), None),
        };
        if let Some(denial) = denial {
            *self.counts.stopped.entry(denial).or_default() += 1;
        }
        let is_final = matches!(
            failure,
            AttemptFailure::Rejected {
                no_failover: true,
                ..
            }
        );
        match decision {
            RetryDecision::Retry => self.start_attempt(now, number, actions),
            RetryDecision::Reject(retry_after) => self.respond(
                number,
                Response::Rejected {
                    retry_after,
                    no_failover: is_final,
                },
                actions,
            ),
            RetryDecision::Fail if now + DEADLINE_MARGIN >= context.deadline => {
                self.respond(number, Response::Expired, actions);
            }
            RetryDecision::Fail => self.respond(number, Response::Failed, actions),
        }
    }

    /// Returns the requests whose timers have expired. Each has to be passed to [`on_timer`](Self::on_timer).
    pub fn expired_timers(&mut self, now: Micros) -> Vec<RequestNumber> {
        let expired: Vec<_> = self
            .timers
            .range(..=(now, RequestNumber::MAX))
            .map(|(_, number)| *number)
            .collect();
        expired
    }

    /// Handles the timeout of an attempt. An attempt that was written may have run. It is waited for until the read
    /// timeout where only the shorter connect timeout has expired.
    pub fn on_timer(
        &mut self,
        now: Micros,
        number: RequestNumber,
        is_written: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&number) else {
            return;
        };
        let Some((_, started_at)) = pending.in_flight else {
            return;
        };
        let latest = pending.deadline - DEADLINE_MARGIN;
        let read_timeout = pending.timeouts.read_ms * 1_000;
        let until = (started_at + read_timeout).min(latest);
        if is_written && now < until {
            return self.set_timer(number, until);
        }
        actions.push(Action::Abandon(number));
        let failure = if is_written {
            AttemptFailure::TimedOut
        } else {
            AttemptFailure::NotSent
        };
        self.on_attempt_event(now, number, AttemptEvent::Failed(failure), actions);
    }

    /// Drops the requests of a client connection that was closed, and gives up their attempts.
    pub fn on_client_disconnected(
        &mut self,
        now: Micros,
        connection: u64,
        actions: &mut Vec<Action>,
    ) {
        let range = (connection, 0, 0)..=(connection, u32::MAX, RequestNumber::MAX);
        let numbers: Vec<_> = self
            .by_client
            .range(range)
            .map(|(.., number)| *number)
            .collect();
        for number in numbers {
            if let Some(pending) = self.pending.get(&number) {
                if let Some((target, _)) = pending.in_flight {
                    if let (Some(target), Some(pool)) = (target, self.pools.get_mut(&pending.pool))
                    {
                        pool.balancer
                            .record_outcome(now, target, AttemptOutcome::Abandoned);
                    }
                    actions.push(Action::Abandon(number));
                }
            }
            self.remove(number);
        }
    }

    fn remove(&mut self, number: RequestNumber) -> Option<PendingRequest> {
        let pending = self.pending.remove(&number)?;
        self.held_bytes -= pending.size_bytes;
        let ClientStream { connection, stream } = pending.request.client;
        self.by_client.remove(&(connection, stream, number));
        self.timers.remove(&(pending.timer_at, number));
        let limit_keys: Vec<_> = pending
            .limits
            .iter()
            .map(|(limit, key)| (limit, key.clone()))
            .collect();
        self.limits.release(&limit_keys);
        Some(pending)
    }

    fn count_response(&mut self, response: &Response) {
        match response {
            Response::Served(_) => self.counts.served += 1,
            Response::Rejected { .. } => self.counts.refused += 1,
            Response::Failed | Response::Expired => self.counts.failed += 1,
            Response::Invalid(_) | Response::Direct { .. } => self.counts.returned += 1,
        }
    }

    fn respond(&mut self, number: RequestNumber, response: Response, actions: &mut Vec<Action>) {
        if let Some(pending) = self.remove(number) {
            self.count_response(&response);
            actions.push(Action::Respond(pending.request.client, response));
        }
    }

    /// Returns the number of open requests at all targets, as the pools count them. Each request has at most one attempt in
    /// flight.
    #[must_use]
    pub fn open_attempts(&self) -> usize {
        let pool_attempts = |pool: &Pool| {
            (0..pool.addresses.len())
                .map(|target| pool.balancer.open_requests(target) as usize)
                .sum::<usize>()
        };
        self.pools.values().map(pool_attempts).sum()
    }
}
