//! What becomes of each request at a gateway: its route, its tries, its one answer. No I/O and no clock: requests, ends
//! of tries and time in, [`Order`]s out.
//!
//! Each request gets one answer, by its due time, whatever its targets do. A request of a class with an effect that may
//! have run at a target is answered as a failure and never sent again, and never told that nothing ran.

use cleatpulley_dispatcher::{ClientStream, IncomingRequest, RequestHead, Response};
use cleatpulley_policy::interface::Micros;
use cleatpulley_routes::balancer::{AttemptOutcome, Balancer};
use cleatpulley_routes::limits::RequestLimiter;
use cleatpulley_routes::model::{
    BalancingMethod, Limit, Pool as PoolModel, ProxyTimeouts, RetryPolicy, Routes,
};
use cleatpulley_routes::retry::{
    AttemptFailure, RetryBudget, RetryContext as Between, RetryDecision, RetryDenial,
};
use cleatpulley_routes::router::{RouteDecision, RouteRequest, Router};
use cleatpulley_routes::template::Template;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Before its due time a request is given up, so that its answer comes by then.
const SLACK: Micros = 20_000;
/// Further tries that a pool's budget saves at most, and begins with.
const SAVED: f64 = 10.0;

/// A class, as far as a gateway looks at it.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// It is not safe to repeat.
    pub has_effect: bool,
    /// A final answer is owed within this time.
    pub deadline: Micros,
}

/// A request as routes look at it, which came to this `address:port` of theirs.
#[must_use]
pub fn route_request<'a>(listen: Option<&'a str>, head: &'a RequestHead) -> RouteRequest<'a> {
    RouteRequest {
        listen_address: listen,
        host: &head.host,
        method: &head.method,
        request_target: &head.target,
        headers: &head.headers,
        caller_address: &head.remote_address,
    }
}

/// A request's number here; never used again.
pub type Number = u64;

/// What the adapters are to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Send a request to a target.
    Send {
        /// The request.
        number: Number,
        /// The target's address.
        to: Arc<str>,
        /// The path that goes on.
        uri: String,
    },
    /// Nobody waits for this try any more.
    Abandon(Number),
    /// Answer a request.
    Response(ClientStream, Response),
}

/// How a try ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The target's own answer, which goes on: served, or at fault.
    Answered(Response),
    /// It came to nothing.
    Nothing(AttemptFailure),
    /// The target said so, and how many requests it wishes to have open.
    Advised(u32),
}

#[derive(Debug)]
struct Pool {
    balancer: Balancer,
    addresses: Vec<Arc<str>>,
    key: Option<Template>,
    by_address: bool,
    budget: RetryBudget,
    /// Latency of what was answered, smoothed: a try that has less time left than a part of it comes to nothing.
    latency: f64,
}

/// Bytes that a request holds, about.
fn size(head: &RequestHead, arrival: &IncomingRequest) -> usize {
    let headers: usize = head
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + 48)
        .sum();
    let frame = head.frame.as_ref().map_or(0, Vec::len);
    512 + headers + frame + head.target.len() + head.host.len() + arrival.body.len()
}

impl Pool {
    fn new(pool: &PoolModel, share: f64, seed: u64) -> Result<Self, String> {
        Ok(Self {
            balancer: Balancer::new(pool, seed),
            addresses: pool
                .targets
                .iter()
                .map(|target| Arc::from(target.address.as_str()))
                .collect(),
            key: match &pool.method {
                BalancingMethod::Hash { key, .. } => Some(Template::parse(key)?),
                _ => None,
            },
            by_address: pool.method == BalancingMethod::AddressHash,
            budget: RetryBudget::new(share, SAVED),
            latency: 0.0,
        })
    }
}

#[derive(Debug)]
struct Open {
    arrival: IncomingRequest,
    effect: bool,
    came: Micros,
    due: Micros,
    pool: Arc<str>,
    /// What its location says of further tries and times; a reload changes neither for it.
    next: RetryPolicy,
    times: ProxyTimeouts,
    uri: String,
    limits: Vec<(Limit, String)>,
    /// Bytes that it holds.
    size: usize,
    tries: Vec<usize>,
    /// Tries at targets that a reload took away.
    gone: u32,
    ran: bool,
    /// The try that is out: its target, where that is still in the table, and since when.
    at: Option<(Option<usize>, Micros)>,
    timer: Micros,
}

/// What passed, for an operator.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests.
    pub requests: u64,
    /// First tries.
    pub first: u64,
    /// Further tries.
    pub again: u64,
    /// Served.
    pub served: u64,
    /// Turned away.
    pub refused: u64,
    /// Failed, or past their due time.
    pub failed: u64,
    /// Answered by a route, or at fault.
    pub returned: u64,
    /// Why no further try was made.
    pub stopped: BTreeMap<RetryDenial, u64>,
}

/// The core of a gateway.
#[derive(Debug)]
pub struct Core {
    table: Router,
    classes: Vec<Class>,
    listen: Option<String>,
    pools: HashMap<Arc<str>, Pool>,
    limits: RequestLimiter,
    open: BTreeMap<Number, Open>,
    origins: BTreeSet<(u64, u32, Number)>,
    timers: BTreeSet<(Micros, Number)>,
    next: Number,
    held: usize,
    most_held: usize,
    /// No new request runs from then on.
    closed_at: Option<Micros>,
    /// What passed.
    pub counts: Counts,
}

/// What a gateway decides by.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The routes.
    pub routes: Routes,
    /// The classes.
    pub classes: Vec<Class>,
    /// The `address:port` of the table that requests come to.
    pub listen_address: Option<String>,
    /// Further tries for each first try.
    pub retry_share: f64,
    /// For random choices.
    pub seed: u64,
    /// Bytes of open requests that are held at most; what comes beyond is turned away.
    pub max_held_bytes: usize,
}

impl Core {
    /// A gateway that knows nothing of its targets yet.
    ///
    /// # Errors
    /// Where the routes can't be prepared.
    pub fn new(settings: &Settings) -> Result<Self, String> {
        let table = Router::new(&settings.routes)?;
        let mut pools = HashMap::new();
        for (number, (name, pool)) in settings.routes.pools.iter().enumerate() {
            let seed = settings.seed.wrapping_add(number as u64);
            pools.insert(
                Arc::from(name.as_str()),
                Pool::new(pool, settings.retry_share, seed)?,
            );
        }
        Ok(Self {
            table,
            classes: settings.classes.clone(),
            listen: settings.listen_address.clone(),
            pools,
            limits: RequestLimiter::default(),
            open: BTreeMap::new(),
            origins: BTreeSet::new(),
            timers: BTreeSet::new(),
            next: 1,
            held: 0,
            most_held: settings.max_held_bytes,
            closed_at: None,
            counts: Counts::default(),
        })
    }

    /// Takes up a new table. What is known of targets that stay is kept, with their open requests; tries that are out go on,
    /// and their requests keep what their old location said of further tries and times.
    ///
    /// # Errors
    /// Where the table can't be prepared, or the classes differ; everything stays as it was then.
    pub fn reload(&mut self, settings: &Settings) -> Result<(), String> {
        if settings.classes != self.classes {
            return Err("the classes differ, which takes a new start".to_owned());
        }
        let table = Router::new(&settings.routes)?;
        let mut pools = HashMap::new();
        for (number, (name, pool)) in settings.routes.pools.iter().enumerate() {
            let seed = settings.seed.wrapping_add(number as u64);
            pools.insert(
                Arc::<str>::from(name.as_str()),
                Pool::new(pool, settings.retry_share, seed)?,
            );
        }
        // By pool: the new numbers of its targets, by the old ones.
        let mut places: HashMap<Arc<str>, HashMap<usize, usize>> = HashMap::new();
        for (name, pool) in &mut pools {
            let Some(mut old) = self.pools.remove(name) else {
                continue;
            };
            let from = old.balancer.reload(&settings.routes.pools[&**name]);
            let place = from
                .iter()
                .enumerate()
                .filter_map(|(new, old)| Some(((*old)?, new)))
                .collect();
            places.insert(name.clone(), place);
            (pool.balancer, pool.budget, pool.latency) = (old.balancer, old.budget, old.latency);
        }
        for open in self.open.values_mut() {
            let place = places.get(&open.pool);
            let new = |old: usize| place.and_then(|place| place.get(&old).copied());
            open.at = open.at.map(|(target, since)| (target.and_then(new), since));
            // One that is gone can't be tried again; how many there were still counts.
            open.gone += open.tries.len() as u32;
            open.tries = std::mem::take(&mut open.tries)
                .into_iter()
                .filter_map(new)
                .collect();
            open.gone -= open.tries.len() as u32;
        }
        (self.table, self.pools) = (table, pools);
        self.listen.clone_from(&settings.listen_address);
        Ok(())
    }

    /// Requests that owe an answer.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        self.open.len()
    }

    /// The request that a try is for.
    #[must_use]
    pub fn request(&self, number: Number) -> Option<&IncomingRequest> {
        self.open.get(&number).map(|open| &open.arrival)
    }

    /// No request that comes from then on is sent on.
    pub fn close(&mut self, at: Micros) {
        self.closed_at = Some(at);
    }

    /// When something is due.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// A request has come.
    pub fn arrive(&mut self, now: Micros, mut arrival: IncomingRequest, orders: &mut Vec<Order>) {
        self.counts.requests += 1;
        let origin = arrival.client;
        let head = arrival.head.take().unwrap_or_default();
        let size = size(&head, &arrival);
        // Guards against callers that fill the memory with requests that are let through and wait.
        let routed = match self.held + size > self.most_held {
            true => Err(Response::Rejected {
                retry_after: 0,
                no_failover: false,
            }),
            false => self.route(now, &head, &mut arrival),
        };
        let answer = match routed {
            Ok(open) => {
                self.held += size;
                arrival.head = Some(head);
                let number = self.next;
                self.next += 1;
                self.origins
                    .insert((origin.connection, origin.stream, number));
                self.open.insert(
                    number,
                    Open {
                        arrival,
                        size,
                        ..open
                    },
                );
                if let Some(pool) = self
                    .open
                    .get(&number)
                    .and_then(|open| self.pools.get_mut(&open.pool))
                {
                    pool.budget.record_first_attempt();
                }
                return self.try_next(now, number, orders);
            }
            Err(answer) => answer,
        };
        self.count(&answer);
        orders.push(Order::Response(origin, answer));
    }

    /// Finds a request's route, and lets it through its limits.
    fn route(
        &mut self,
        now: Micros,
        head: &RequestHead,
        arrival: &mut IncomingRequest,
    ) -> Result<Open, Response> {
        let refuse = |later| Response::Rejected {
            retry_after: later,
            no_failover: false,
        };
        // Guards against clocks that differ: nothing came later than now.
        let came = arrival.received_at.min(now);
        let asked = route_request(self.listen.as_deref(), head);
        let returned = |status: u16, body: String| Response::Direct {
            status,
            body: body.into_bytes(),
        };
        let decision = self
            .table
            .route(&asked)
            .map_err(|what| returned(404, what))?;
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
            } => return Err(returned(code, text)),
        };
        // A frame brings its class along; what a route says of it has to be the same.
        let by_route = class
            .as_ref()
            .and_then(|name| self.classes.iter().position(|class| class.name == *name));
        if head.frame.is_some() && by_route.is_some_and(|class| class != arrival.class) {
            return Err(returned(
                404,
                format!("this route is for {}", class.unwrap_or_default()),
            ));
        }
        let class = match (head.frame.is_some(), by_route) {
            (true, _) => arrival.class,
            (false, Some(class)) => class,
            (false, None) => return Err(returned(404, "this route has no class".to_owned())),
        };
        arrival.class = class;
        let Class {
            has_effect: effect,
            deadline,
            ..
        } = self.classes[class];
        let due = came + deadline;
        if self.closed_at.is_some_and(|at| now >= at) || now + SLACK >= due {
            return Err(refuse(0));
        }
        let Some(site) = self.table.location(server, location) else {
            return Err(Response::Failed);
        };
        let limits: Vec<_> = site
            .limits
            .iter()
            .map(|(key, limit)| (limit.clone(), self.table.expand(key, &asked)))
            .collect();
        let entering: Vec<_> = limits
            .iter()
            .map(|(limit, key)| (limit, key.clone()))
            .collect();
        if let Err(over) = self.limits.try_acquire(now, &entering) {
            return Err(match over.status {
                429 | 503 => refuse(over.retry_after),
                status => returned(status, "a limit is reached".to_owned()),
            });
        }
        Ok(Open {
            arrival: IncomingRequest {
                head: None,
                body: Vec::new(),
                key: None,
                ..arrival.clone()
            },
            effect,
            came: now,
            due,
            pool,
            next: site.retry_policy.clone(),
            times: site.timeouts,
            uri,
            limits,
            size: 0,
            tries: Vec::new(),
            gone: 0,
            ran: false,
            at: None,
            timer: 0,
        })
    }

    /// Makes the next try of a request, or answers it where nobody can take it.
    fn try_next(&mut self, now: Micros, number: Number, orders: &mut Vec<Order>) {
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&open.pool) else {
            return self.finish(number, Response::Failed, orders);
        };
        let key = match (&pool.key, &open.arrival.head) {
            (Some(key), Some(head)) => {
                let asked = route_request(self.listen.as_deref(), head);
                self.table.expand(key, &asked)
            }
            (None, Some(head)) if pool.by_address => {
                // As in nginx, the first three numbers of an address count.
                head.remote_address
                    .rsplit_once('.')
                    .map_or(head.remote_address.clone(), |(net, _)| net.to_owned())
            }
            _ => String::new(),
        };
        match pool.balancer.pick(now, key.as_bytes(), &open.tries) {
            Ok(target) => {
                open.tries.push(target);
                open.at = Some((Some(target), now));
                let to = pool.addresses[target].clone();
                let first = open.times.connect_ms.min(open.times.read_ms) * 1_000;
                let timer = (now + first).min(open.due - SLACK);
                let uri = open.uri.clone();
                if open.tries.len() as u32 + open.gone == 1 {
                    self.counts.first += 1;
                } else {
                    self.counts.again += 1;
                }
                self.set_timer(number, timer);
                orders.push(Order::Send { number, to, uri });
            }
            Err(nobody) => {
                let later = nobody
                    .available_at
                    .map_or(0, |until| until.saturating_sub(now));
                let answer = if open.ran {
                    Response::Failed
                } else {
                    Response::Rejected {
                        retry_after: later,
                        no_failover: false,
                    }
                };
                self.finish(number, answer, orders);
            }
        }
    }

    fn set_timer(&mut self, number: Number, at: Micros) {
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        self.timers.remove(&(open.timer, number));
        open.timer = at;
        self.timers.insert((at, number));
    }

    /// A try has ended.
    pub fn ended(&mut self, now: Micros, number: Number, reply: Reply, orders: &mut Vec<Order>) {
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        let Some((target, since)) = open.at else {
            return;
        };
        let mut pool = self.pools.get_mut(&open.pool);
        let mut tell = |told: &mut dyn FnMut(&mut Pool, usize)| {
            // Of a target or pool that a reload took away nothing is kept.
            if let (Some(pool), Some(target)) = (pool.as_deref_mut(), target) {
                told(pool, target);
            }
        };
        let what = match reply {
            Reply::Advised(most) => {
                return tell(&mut |pool, target| {
                    pool.balancer.set_advised_concurrency(target, most);
                })
            }
            Reply::Answered(answer) => {
                open.at = None;
                let took = now.saturating_sub(since) as f64;
                tell(&mut |pool, target| {
                    pool.balancer
                        .record_outcome(now, target, AttemptOutcome::Responded);
                    pool.latency = if pool.latency == 0.0 {
                        took
                    } else {
                        0.9 * pool.latency + 0.1 * took
                    };
                });
                // Nothing that may have run before is told to be at fault, or not to have run.
                let safe = matches!(answer, Response::Served(_)) || !open.ran;
                return self.finish(number, if safe { answer } else { Response::Failed }, orders);
            }
            Reply::Nothing(what) => what,
        };
        open.at = None;
        let end = match what {
            AttemptFailure::Rejected { .. } | AttemptFailure::Failed => AttemptOutcome::Responded,
            AttemptFailure::NotSent | AttemptFailure::ConnectionLost | AttemptFailure::TimedOut => {
                AttemptOutcome::Failed
            }
        };
        tell(&mut |pool, target| {
            pool.balancer.record_outcome(now, target, end);
            if let AttemptFailure::Rejected {
                retry_after: later, ..
            } = what
            {
                if later > 0 {
                    pool.balancer.back_off_until(target, now + later);
                }
            }
        });
        let between = Between {
            has_effect: open.effect,
            may_have_run: open.ran,
            received_at: open.came,
            deadline: open.due - SLACK,
            attempts: open.tries.len() as u32 + open.gone,
        };
        open.ran |= what.may_have_run();
        let (verdict, stopped) = match pool {
            Some(pool) => {
                let shortest = (pool.latency / 4.0) as Micros;
                pool.budget
                    .decide(now, &between, what, &open.next, shortest)
            }
            // Its pool is gone, and nobody else is asked.
            None if open.ran => (RetryDecision::Fail, None),
            None => (RetryDecision::Reject(0), None),
        };
        if let Some(why) = stopped {
            *self.counts.stopped.entry(why).or_default() += 1;
        }
        let last = matches!(
            what,
            AttemptFailure::Rejected {
                no_failover: true,
                ..
            }
        );
        match verdict {
            RetryDecision::Retry => self.try_next(now, number, orders),
            RetryDecision::Reject(later) => self.finish(
                number,
                Response::Rejected {
                    retry_after: later,
                    no_failover: last,
                },
                orders,
            ),
            RetryDecision::Fail if now + SLACK >= between.deadline => {
                self.finish(number, Response::Expired, orders);
            }
            RetryDecision::Fail => self.finish(number, Response::Failed, orders),
        }
    }

    /// Requests whose time for something is over, with whether nothing more can be waited for. Each is to be given to
    /// [`late`](Self::late).
    pub fn overdue(&mut self, now: Micros) -> Vec<Number> {
        let upto: Vec<_> = self
            .timers
            .range(..=(now, Number::MAX))
            .map(|(_, number)| *number)
            .collect();
        upto
    }

    /// A try was not answered in its time. Whether all of it was written tells whether it may have run; one that was, and
    /// whose connection had only a shorter time, is waited for still.
    pub fn late(&mut self, now: Micros, number: Number, written: bool, orders: &mut Vec<Order>) {
        let Some(open) = self.open.get(&number) else {
            return;
        };
        let Some((_, since)) = open.at else { return };
        let last = open.due - SLACK;
        let read = open.times.read_ms * 1_000;
        let until = (since + read).min(last);
        if written && now < until {
            return self.set_timer(number, until);
        }
        orders.push(Order::Abandon(number));
        let what = if written {
            AttemptFailure::TimedOut
        } else {
            AttemptFailure::NotSent
        };
        self.ended(now, number, Reply::Nothing(what), orders);
    }

    /// A caller's connection is gone: nobody waits for what was open on it.
    pub fn lose_origin(&mut self, now: Micros, connection: u64, orders: &mut Vec<Order>) {
        let range = (connection, 0, 0)..=(connection, u32::MAX, Number::MAX);
        let lost: Vec<_> = self
            .origins
            .range(range)
            .map(|(.., number)| *number)
            .collect();
        for number in lost {
            if let Some(open) = self.open.get(&number) {
                if let Some((target, _)) = open.at {
                    if let (Some(target), Some(pool)) = (target, self.pools.get_mut(&open.pool)) {
                        pool.balancer
                            .record_outcome(now, target, AttemptOutcome::Abandoned);
                    }
                    orders.push(Order::Abandon(number));
                }
            }
            self.remove(number);
        }
    }

    fn remove(&mut self, number: Number) -> Option<Open> {
        let open = self.open.remove(&number)?;
        self.held -= open.size;
        let ClientStream { connection, stream } = open.arrival.client;
        self.origins.remove(&(connection, stream, number));
        self.timers.remove(&(open.timer, number));
        let left: Vec<_> = open
            .limits
            .iter()
            .map(|(limit, key)| (limit, key.clone()))
            .collect();
        self.limits.release(&left);
        Some(open)
    }

    fn count(&mut self, answer: &Response) {
        match answer {
            Response::Served(_) => self.counts.served += 1,
            Response::Rejected { .. } => self.counts.refused += 1,
            Response::Failed | Response::Expired => self.counts.failed += 1,
            Response::Invalid(_) | Response::Direct { .. } => self.counts.returned += 1,
        }
    }

    fn finish(&mut self, number: Number, answer: Response, orders: &mut Vec<Order>) {
        if let Some(open) = self.remove(number) {
            self.count(&answer);
            orders.push(Order::Response(open.arrival.client, answer));
        }
    }

    /// Open requests at all targets, as the pools count them; each has one try out at most.
    #[must_use]
    pub fn out(&self) -> usize {
        let of = |pool: &Pool| {
            (0..pool.addresses.len())
                .map(|at| pool.balancer.open_requests(at) as usize)
                .sum::<usize>()
        };
        self.pools.values().map(of).sum()
    }
}
