//! The bounded queue of a model on the collector of a hall: runs a request now, holds it for a short
//! time, or refuses it.
//!
//! The caller of this module judges whether a group can take a request in time. A request is held only
//! if a place is predicted for it within its longest wait, by its position in the queue and the rate at
//! which places open. A wait ends when the request gets a place, is refused, or leaves.

use std::collections::{BTreeMap, BTreeSet};

use cottoncrank::Millis;

use crate::admission::class::{Class, Classes, longest_wait};
use crate::admission::decision::{
    Counts, Decision, Outcome, Reason, Refusal, Request, Settled, Ticket, Verdict,
};
use crate::admission::fairness::Ledger;

/// The most requests that wait for one model. Twenty busy groups open some ninety places within the
/// longest wait, so more could not be served in time.
pub const MAX_WAITERS: usize = 96;

/// How many requests may find no place in one step before the others are left to wait. One alone says
/// little about the others: it may be harder to place, for example because it has a long prompt.
const MAX_MISSES: usize = 2;

/// How long the limit of a class stays in force after a group last had room within it. If no group has
/// had any for longer, for example because first events of the model take long even on an idle group, the
/// limit is ignored, and a request runs if it is in time.
const LIMIT_TTL: Millis = Millis(250);

/// The order in which waiting requests get a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// By priority, then by how soon the first event is wanted, then by the work that the account has
    /// taken, then by what is left of the wait. Less urgent classes yield.
    #[default]
    Urgency,
    /// The first to arrive first.
    Arrival,
    /// The last to arrive first.
    Newest,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiter<P> {
    ticket: Ticket,
    request: Request,
    payload: P,
    arrived: Millis,
    until: Millis,
}

impl<P> Waiter<P> {
    /// Returns the time left until the wanted first event.
    fn left(&self, now: Millis) -> Millis {
        self.request.left - now.since(self.arrived)
    }
}

/// The times until the first event with which a request gets a place.
#[derive(Clone, Copy, Debug)]
struct Terms {
    /// The longest predicted time until the first event at a group that its class may fill further.
    limit: Millis,
    /// The time left until its wanted first event.
    left: Millis,
}

/// The position of a request among those that wait.
#[derive(Clone, Copy, Debug)]
struct Standing {
    /// How many are ahead of it.
    ahead: usize,
    /// Whether it may take a place from the credit of its class.
    credited: bool,
}

/// The rank of a request among those that wait; the least is first. It holds the class, the band of the
/// wanted time, the tokens that the account has taken, the end of the wait and the ticket.
type Rank = (Class, u32, u64, Millis, u64);

/// The queue of a model. `P` is what is handed in with a request.
#[derive(Clone, Debug)]
pub struct Queue<P> {
    order: Order,
    waiters: Vec<Waiter<P>>,
    classes: Classes,
    ledger: Ledger,
    counts: BTreeMap<u8, Counts>,
    /// When a group last had room within the limit of a class.
    last_within_limit: Millis,
    /// The time until the earliest first event when a request last found no place, in milliseconds.
    last_wait: u64,
    next_ticket: u64,
}

impl<P> Default for Queue<P> {
    fn default() -> Queue<P> {
        Queue::new(Order::default())
    }
}

impl<P> Queue<P> {
    /// Returns an empty queue.
    pub fn new(order: Order) -> Queue<P> {
        Queue {
            order,
            waiters: Vec::new(),
            classes: Classes::default(),
            ledger: Ledger::default(),
            counts: BTreeMap::new(),
            last_within_limit: Millis(0),
            last_wait: 0,
            next_ticket: 0,
        }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns how many requests wait, for each priority of which any arrived lately.
    pub fn count_waiting(&self) -> BTreeMap<u8, usize> {
        let mut waiting: BTreeMap<u8, usize> =
            self.classes.iter().map(|(priority, _)| (priority, 0)).collect();
        for waiter in &self.waiters {
            *waiting.entry(waiter.request.class.0).or_default() += 1;
        }
        waiting
    }

    /// Returns the counts by priority since the last call.
    pub fn take_counts(&mut self) -> BTreeMap<u8, Counts> {
        std::mem::take(&mut self.counts)
    }

    /// Decides about a request that arrives. It waits only if `may_wait`. `judge` says whether a request
    /// has a place with its first event predicted within the given time.
    pub fn arrive<A>(
        &mut self,
        request: Request,
        mut payload: P,
        may_wait: bool,
        now: Millis,
        mut judge: impl FnMut(&mut P, Millis) -> Verdict<A>,
    ) -> Decision<A> {
        self.classes.record_arrival(request.class, request.left, now);
        self.counts.entry(request.class.0).or_default().asked += 1;
        self.ledger.begin(&request.flow, now);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let until = now + longest_wait(request.left);
        let standing = self.find_standing(&request, until, ticket, now);
        let mut excess = Millis(0);
        if standing.ahead == 0 || standing.credited {
            let terms = self.terms(&request, request.left, standing.credited, now);
            match self.judge(&mut payload, terms, now, &mut judge) {
                Verdict::Take(answer) => {
                    self.grant(&request, standing.credited, now);
                    return Decision::Answer(answer);
                }
                Verdict::Other(answer) => return Decision::Answer(answer),
                Verdict::Full(wait) => excess = Millis(wait) - terms.limit,
            }
        }
        let waiter = Waiter { ticket, request, payload, arrived: now, until };
        self.hold(waiter, standing.ahead, excess, may_wait, now)
    }

    /// Holds a request if a place is predicted in time, or refuses it. `excess` is by how much the earliest
    /// possible first event exceeds its limit.
    fn hold<A>(
        &mut self,
        waiter: Waiter<P>,
        ahead: usize,
        excess: Millis,
        may_wait: bool,
        now: Millis,
    ) -> Decision<A> {
        let (class, ticket, until) = (waiter.request.class, waiter.ticket, waiter.until);
        // If nothing else is sent to a group, its predicted first event comes nearer as fast as time passes.
        let predicted = excess.max(predict_place(ahead, self.classes.rate_left(class, now)));
        let reason = if now + predicted > until {
            Reason::NoPlace
        } else if !may_wait || self.waiters.len() >= MAX_WAITERS {
            Reason::NoRoom
        } else {
            self.counts.entry(class.0).or_default().waited += 1;
            self.waiters.push(waiter);
            return Decision::Wait(ticket, until);
        };
        self.counts.entry(class.0).or_default().refused += 1;
        Decision::Refuse(self.refusal(reason, class, ahead, until - now, now))
    }

    /// Finds the position of a request among those that wait.
    fn find_standing(&self, request: &Request, until: Millis, ticket: Ticket, now: Millis) -> Standing {
        let rank = self.rank(request, until, ticket, now);
        let before: Vec<&Waiter<P>> =
            self.waiters.iter().filter(|other| self.rank_waiter(other, now) < rank).collect();
        // Only the first request of a class may use its credit.
        let is_first = before.iter().all(|other| other.request.class != request.class);
        Standing { ahead: before.len(), credited: is_first && self.has_credit(request.class) }
    }

    /// Gives places to waiting requests as far as `judge` finds any, and refuses those that will get none
    /// in time.
    pub fn advance<A>(
        &mut self,
        now: Millis,
        mut judge: impl FnMut(&mut P, Millis) -> Verdict<A>,
    ) -> Vec<Settled<P, A>> {
        let mut settled = Vec::new();
        self.refuse_expired(now, &mut settled);
        self.serve_credited(now, &mut judge, &mut settled);
        self.serve_first(now, &mut judge, &mut settled);
        self.refuse_overtaken(now, &mut settled);
        settled
    }

    /// Removes a waiting request, whose caller has left or is answered otherwise. Returns whether it was
    /// waiting.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        let before = self.waiters.len();
        self.waiters.retain(|waiter| waiter.ticket != ticket);
        self.waiters.len() < before
    }

    /// Refuses all that wait, because this queue closes.
    pub fn close<A>(&mut self, now: Millis) -> Vec<Settled<P, A>> {
        let mut settled = Vec::new();
        while !self.waiters.is_empty() {
            self.refuse(0, Reason::NoRoom, 0, now, &mut settled);
        }
        settled
    }

    fn refuse_expired<A>(&mut self, now: Millis, settled: &mut Vec<Settled<P, A>>) {
        while let Some(index) = self.waiters.iter().position(|waiter| waiter.until <= now) {
            self.refuse(index, Reason::Expired, 0, now, settled);
        }
    }

    /// Serves the first request of each class that has places to its credit.
    fn serve_credited<A>(
        &mut self,
        now: Millis,
        judge: &mut impl FnMut(&mut P, Millis) -> Verdict<A>,
        settled: &mut Vec<Settled<P, A>>,
    ) {
        let classes: BTreeSet<Class> = self.waiters.iter().map(|waiter| waiter.request.class).collect();
        for class in classes {
            if !self.has_credit(class) {
                continue;
            }
            let first = self.find_first(now, |waiter| waiter.request.class == class);
            let Some(index) = first else { continue };
            self.serve(index, true, now, judge, settled);
        }
    }

    /// Serves requests in their order until one finds no place.
    fn serve_first<A>(
        &mut self,
        now: Millis,
        judge: &mut impl FnMut(&mut P, Millis) -> Verdict<A>,
        settled: &mut Vec<Settled<P, A>>,
    ) {
        let mut missed: Vec<(Ticket, Class)> = Vec::new();
        while missed.len() < MAX_MISSES {
            // A request that found no place is overtaken only by requests of its own class.
            let is_eligible = |waiter: &Waiter<P>| {
                missed
                    .iter()
                    .all(|(ticket, class)| *ticket != waiter.ticket && *class == waiter.request.class)
            };
            let Some(index) = self.find_first(now, is_eligible) else { return };
            let candidate = (self.waiters[index].ticket, self.waiters[index].request.class);
            if !self.serve(index, false, now, judge, settled) {
                missed.push(candidate);
            }
        }
    }

    /// Serves a request if it has a place. Returns whether it is answered.
    fn serve<A>(
        &mut self,
        index: usize,
        credited: bool,
        now: Millis,
        judge: &mut impl FnMut(&mut P, Millis) -> Verdict<A>,
        settled: &mut Vec<Settled<P, A>>,
    ) -> bool {
        let waiter = &self.waiters[index];
        let terms = self.terms(&waiter.request, waiter.left(now), credited, now);
        // The waiter is taken out while it is judged, because judging borrows the whole queue mutably.
        let mut waiter = self.waiters.swap_remove(index);
        let verdict = self.judge(&mut waiter.payload, terms, now, judge);
        self.waiters.push(waiter);
        let index = self.waiters.len() - 1;
        let answer = match verdict {
            Verdict::Full(_) => return false,
            Verdict::Take(answer) => {
                let request = self.waiters[index].request.clone();
                self.grant(&request, credited, now);
                answer
            }
            Verdict::Other(answer) => answer,
        };
        self.settle(index, Outcome::Answer(answer), now, settled);
        true
    }

    /// Returns the terms on which a request with `left` until its wanted first event gets a place.
    fn terms(&self, request: &Request, left: Millis, credited: bool, now: Millis) -> Terms {
        let limit = match self.order {
            Order::Urgency if !credited => self.classes.find_limit(request.class, request.left, now),
            _ => left,
        };
        Terms { limit: limit.min(left), left }
    }

    /// Judges a request within the limit of its class and, if that is no longer in force, within the time
    /// left until its wanted first event.
    fn judge<A>(
        &mut self,
        payload: &mut P,
        terms: Terms,
        now: Millis,
        judge: &mut impl FnMut(&mut P, Millis) -> Verdict<A>,
    ) -> Verdict<A> {
        let mut verdict = judge(payload, terms.limit);
        let is_in_force = now < self.last_within_limit + LIMIT_TTL;
        match verdict {
            Verdict::Take(_) => self.last_within_limit = now,
            Verdict::Full(_) if terms.limit < terms.left && !is_in_force => {
                verdict = judge(payload, terms.left)
            }
            Verdict::Full(_) | Verdict::Other(_) => {}
        }
        if let Verdict::Full(wait) = verdict {
            self.last_wait = wait;
        }
        verdict
    }

    /// Refuses requests that will get no place in time. The prediction is rough over few places, so a
    /// request is refused only if its predicted time is more than twice the rest of its wait.
    fn refuse_overtaken<A>(&mut self, now: Millis, settled: &mut Vec<Settled<P, A>>) {
        let mut ranked: Vec<(Rank, Ticket)> =
            self.waiters.iter().map(|waiter| (self.rank_waiter(waiter, now), waiter.ticket)).collect();
        ranked.sort_unstable();
        let mut ahead = 0;
        for (_, ticket) in ranked {
            let Some(index) = self.waiters.iter().position(|waiter| waiter.ticket == ticket) else {
                continue;
            };
            let waiter = &self.waiters[index];
            let predicted = predict_place(ahead, self.classes.rate_left(waiter.request.class, now));
            if ahead > 0 && predicted.0 > 2 * (waiter.until - now).0 {
                self.refuse(index, Reason::Overtaken, ahead, now, settled);
            } else {
                ahead += 1;
            }
        }
    }

    fn refuse<A>(
        &mut self,
        index: usize,
        reason: Reason,
        ahead: usize,
        now: Millis,
        settled: &mut Vec<Settled<P, A>>,
    ) {
        let waiter = &self.waiters[index];
        let class = waiter.request.class;
        let refusal = self.refusal(reason, class, ahead, waiter.until - now, now);
        self.counts.entry(class.0).or_default().refused += 1;
        self.settle(index, Outcome::Refuse(refusal), now, settled);
    }

    fn settle<A>(
        &mut self,
        index: usize,
        outcome: Outcome<A>,
        now: Millis,
        settled: &mut Vec<Settled<P, A>>,
    ) {
        let waiter = self.waiters.swap_remove(index);
        settled.push(Settled {
            payload: waiter.payload,
            class: waiter.request.class,
            waited: now.since(waiter.arrived),
            outcome,
        });
    }

    fn grant(&mut self, request: &Request, credited: bool, now: Millis) {
        self.classes.record_grant(request.class, now);
        if credited {
            self.classes.spend_credit(request.class);
        }
        self.ledger.add(&request.flow, request.tokens, now);
    }

    fn refusal(&self, reason: Reason, class: Class, ahead: usize, left: Millis, now: Millis) -> Refusal {
        Refusal {
            reason,
            length: self.waiters.len(),
            ahead,
            rate: self.classes.rate_left(class, now) * 1000.0,
            left,
            wait: self.last_wait,
        }
    }

    fn has_credit(&self, class: Class) -> bool {
        self.order == Order::Urgency && self.classes.has_credit(class)
    }

    fn find_first(&self, now: Millis, is_eligible: impl Fn(&Waiter<P>) -> bool) -> Option<usize> {
        let candidates = self.waiters.iter().enumerate().filter(|(_, waiter)| is_eligible(waiter));
        candidates.min_by_key(|(_, waiter)| self.rank_waiter(waiter, now)).map(|(index, _)| index)
    }

    fn rank_waiter(&self, waiter: &Waiter<P>, now: Millis) -> Rank {
        self.rank(&waiter.request, waiter.until, waiter.ticket, now)
    }

    fn rank(&self, request: &Request, until: Millis, ticket: Ticket, now: Millis) -> Rank {
        let Ticket(number) = ticket;
        match self.order {
            Order::Urgency => {
                // Among requests whose wanted times lie between the same powers of two, those of the
                // account that has taken the least go first.
                let band = request.left.0.max(1).ilog2();
                let taken = self.ledger.tokens(&request.flow, now) as u64;
                (request.class, band, taken, until, number)
            }
            Order::Arrival => ((0, 0), 0, 0, Millis(0), number),
            Order::Newest => ((0, 0), 0, 0, Millis(0), u64::MAX - number),
        }
    }
}

/// Returns the time until a request with `ahead` others before it gets a place, at `rate` places per
/// millisecond.
fn predict_place(ahead: usize, rate: f64) -> Millis {
    // A rate of zero gives infinity, which becomes the largest number.
    Millis(((ahead as f64 + 1.0) / rate) as u64)
}
