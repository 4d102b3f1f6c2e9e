//! Executes operators' commands.

use std::collections::BTreeSet;

use cottoncrank::budget::Purpose;
use cottoncrank::command::{self, Change, Command, Show, Subject, Target, parse_line};
use cottoncrank::config::{self, Entry, KEY, Kind};
use cottoncrank::domain::{Document, Event, Phase, join_names};
use cottoncrank::evidence::gather_runner;
use cottoncrank::member::list_live;
use cottoncrank::row::{Body, Group, Key};
use cottoncrank::view::Condition;
use cottoncrank::wire::{Reply, Table};
use cottoncrank::{Millis, id};
use thiserror::Error;

use crate::configure::{self, ConfigureError, apply_changes, read_document};
use crate::domains::read_domain;
use crate::state::State;

/// Timeout of a query to a node of another hall.
const HALL_QUERY_TIMEOUT: Millis = Millis(1000);

/// How long a change waits until every live node reports that it is in force.
const IN_FORCE_TIMEOUT: Millis = Millis(4000);

/// Why a command failed.
#[derive(Debug, Error)]
pub enum OperateError {
    /// The line cannot be parsed.
    #[error("{0}")]
    Command(#[from] command::CommandError),
    /// The configuration change failed.
    #[error("{0}")]
    Configure(#[from] ConfigureError),
    /// A batch contains a command that does not change the configuration.
    #[error("`{0}` is no change; only changes can be made as one")]
    Batch(String),
    /// No group or runner has this name.
    #[error("there is no {0}")]
    Missing(String),
    /// The table has no such column.
    #[error("there is no column `{name}`; there are {known}")]
    Column {
        /// The requested column.
        name: String,
        /// The columns of the table.
        known: String,
    },
    /// The store is unreachable, and this node holds no copy of the document.
    #[error("the store cannot be asked: {0}")]
    Store(cottoncrank_net::store::StoreError),
}

/// Executes one command, or several lines as one atomic change.
pub async fn execute(state: &State, line: &str) -> Reply {
    match run_command(state, line).await {
        Ok(table) => Reply { ok: true, table },
        Err(error) => Reply { ok: false, table: Table::line(error) },
    }
}

async fn run_command(state: &State, line: &str) -> Result<Table, OperateError> {
    if line.trim().contains('\n') {
        return make_changes(state, &parse_batch(line)?).await;
    }
    match parse_line(line)? {
        None => Ok(Table::default()),
        Some(Command::Change(change)) => make_changes(state, &[change]).await,
        Some(Command::Plan(change)) => plan_change(state, &change).await,
        Some(Command::Show(show)) => apply_show_options(list_subject(state, show.subject).await, &show),
        Some(Command::Explain(target)) => explain(state, &target).await,
    }
}

/// Parses a batch of lines that form one atomic configuration change.
fn parse_batch(lines: &str) -> Result<Vec<Change>, OperateError> {
    let mut changes = Vec::new();
    for line in lines.lines() {
        match parse_line(line)? {
            None => {}
            Some(Command::Change(change)) => changes.push(change),
            Some(_) => return Err(OperateError::Batch(line.to_owned())),
        }
    }
    Ok(changes)
}

async fn make_changes(state: &State, changes: &[Change]) -> Result<Table, OperateError> {
    let revision = configure::change(state, changes).await?;
    state.write_self();
    let mut table = Table::line(format!("accepted at revision {revision}"));
    table.push(vec![wait_in_force(state, revision).await]);
    Ok(table)
}

/// Waits until the revision is in force on every live node. The returned text names
/// the nodes that have not confirmed it or are unreachable.
async fn wait_in_force(state: &State, revision: id::Revision) -> String {
    let start = state.now();
    loop {
        let members = state.members();
        let (live, gone): (Vec<_>, Vec<_>) =
            members.iter().filter(|m| !m.node.leaving).partition(|member| member.live);
        let behind: Vec<&id::Node> =
            live.iter().filter(|member| member.node.revision < revision).map(|member| &member.id).collect();
        let waited = state.now().since(start);
        if !behind.is_empty() && waited < IN_FORCE_TIMEOUT {
            tokio::time::sleep(Millis(50).duration()).await;
            continue;
        }
        let mut text =
            format!("in force on {} of {} live nodes after {waited}", live.len() - behind.len(), live.len());
        if !behind.is_empty() {
            text = format!("{text}; not heard from {}", join_names(&behind));
        }
        let recent: Vec<String> = gone.iter().map(|m| format!("{} of {}", m.id, m.node.hall)).collect();
        if !recent.is_empty() {
            text = format!("{text}; out of reach: {}", join_names(&recent));
        }
        return text;
    }
}

async fn plan_change(state: &State, change: &Change) -> Result<Table, OperateError> {
    let here = state.config.lock().revision;
    let value = state.store.get(KEY, Purpose::Operator).await.map_err(ConfigureError::Store)?;
    let document = read_document(value.as_ref())?;
    let next = apply_changes(here, &document, std::slice::from_ref(change), id::Proposal(0))?;
    let mut table = Table::new(&["entry", "now", "then"]);
    let delta = next.delta(document.revision);
    for (key, slot) in delta.entries {
        let show = |entry: Option<&Entry>| entry.map_or("-".to_owned(), describe_entry);
        table.push(vec![key.to_string(), show(document.get(&key)), show(slot.entry.as_ref())]);
    }
    Ok(table)
}

fn describe_entry(entry: &Entry) -> String {
    match entry {
        Entry::Domain { hall } => format!("hall {hall}"),
        Entry::Runner { domain, address, fence, drained } => {
            let drained = if *drained { ", drained" } else { "" };
            format!("domain {domain}, address {address}, fence {fence:?}{drained}")
        }
        Entry::Group { domain, model, size, accounts } => {
            let accounts = if accounts.is_empty() { "all".to_owned() } else { join_names(accounts) };
            format!("domain {domain}, model {model}, size {size}, accounts {accounts}")
        }
        Entry::Service { addresses } => join_names(addresses),
        Entry::Account { share, limit, .. } => format!("share {share}, limit {limit}"),
    }
}

async fn list_subject(state: &State, subject: Subject) -> Table {
    match subject {
        Subject::Groups => list_groups(state),
        Subject::Runners => list_runners(state).await,
        Subject::Nodes => list_nodes(state),
        Subject::Services => list_entries(state, Kind::Service, "addresses"),
        Subject::Accounts => list_entries(state, Kind::Account, "terms"),
        Subject::Domains => list_entries(state, Kind::Domain, "place"),
        Subject::Halls => list_halls(state),
    }
}

fn list_entries(state: &State, kind: Kind, about: &str) -> Table {
    let mut table = Table::new(&["name", about]);
    for (name, entry) in state.config.lock().list_kind(kind) {
        table.push(vec![name.to_owned(), describe_entry(entry)]);
    }
    table
}

fn group_row(state: &State, id: &id::Group) -> Option<Group> {
    match state.table.lock().get(&Key::Group(id.clone())).map(|held| &held.row.body) {
        Some(Body::Group(Some(group))) => Some(group.clone()),
        _ => None,
    }
}

fn list_groups(state: &State) -> Table {
    let mut table =
        Table::new(&["name", "domain", "model", "size", "generation", "state", "running", "members"]);
    crate::views::refresh(state);
    let view = state.view.borrow().clone();
    let config = state.config.lock().clone();
    for (name, entry) in config.list_kind(Kind::Group) {
        let Entry::Group { domain, model, size, .. } = entry else { continue };
        let row = name.parse().ok().and_then(|id| group_row(state, &id));
        let seen = view.groups.iter().find(|group| group.id.as_str() == name);
        let condition = match (&row, seen) {
            (None, _) => "waiting",
            (Some(row), _) if row.group.phase == Phase::Drain => "draining",
            (_, Some(group)) if group.condition == Condition::Open => "serving",
            _ => "stopped",
        };
        let members: Vec<_> =
            row.iter().flat_map(|row| &row.group.members).map(|p| p.runner.clone()).collect();
        table.push(vec![
            name.to_owned(),
            domain.to_string(),
            model.to_string(),
            size.to_string(),
            row.map_or("-".to_owned(), |row| row.group.generation.to_string()),
            condition.to_owned(),
            seen.map_or(0, |group| group.load.running).to_string(),
            join_names(&members),
        ]);
    }
    table
}

/// Lists the runners of all halls. A node knows only those of its own hall, so one
/// live node of each other hall is queried.
async fn list_runners(state: &State) -> Table {
    let mut table = list_hall_runners(state);
    let members = state.members();
    let halls: BTreeSet<&id::Hall> = members.iter().map(|member| &member.node.hall).collect();
    for hall in halls.into_iter().filter(|hall| **hall != state.settings.hall) {
        let mut live = members.iter().filter(|member| member.live && member.node.hall == *hall);
        let Some(member) = live.next() else {
            table.push(unreachable_hall_row(&table, hall));
            continue;
        };
        match state.client.call::<(), Table>(member.node.peer, "/runners", &(), HALL_QUERY_TIMEOUT).await {
            Ok(theirs) => table.rows.extend(theirs.rows),
            Err(_) => table.push(unreachable_hall_row(&table, hall)),
        }
    }
    table
}

/// Returns the placeholder row for a hall that cannot be queried.
fn unreachable_hall_row(table: &Table, hall: &id::Hall) -> Vec<String> {
    let mut row = vec!["-".to_owned(); table.columns.len()];
    if let Some(note) = row.last_mut() {
        *note = format!("{hall} is out of reach");
    }
    row
}

/// Lists the runners of this hall.
pub fn list_hall_runners(state: &State) -> Table {
    let mut table =
        Table::new(&["name", "domain", "group", "answers", "stage", "generation", "watchers", "note"]);
    let members = state.members();
    let config = state.config.lock().clone();
    let rows = state.table.lock();
    for (name, entry) in config.list_kind(Kind::Runner) {
        let Entry::Runner { domain, drained, .. } = entry else { continue };
        let (Ok(runner), Some(hall)) = (name.parse::<id::Runner>(), config.find_hall(domain)) else {
            continue;
        };
        if *hall != state.settings.hall {
            continue;
        }
        let known = gather_runner(&rows, &list_live(&members, hall), &runner);
        let role = known.seen.as_ref().and_then(|seen| seen.role.clone());
        let mut notes = Vec::new();
        if *drained {
            notes.push("drained".to_owned());
        }
        if known.is_leaving() {
            notes.push("leaving".to_owned());
        }
        if !known.missed.is_empty() {
            notes.push(format!("missed by {}", join_names(&known.missed)));
        }
        table.push(vec![
            name.to_owned(),
            domain.to_string(),
            role.as_ref().map_or("-".to_owned(), |role| role.group.to_string()),
            if known.is_reachable(state.now()) { "yes" } else { "no" }.to_owned(),
            known.seen.as_ref().map_or("-".to_owned(), |seen| format!("{:?}", seen.stage).to_lowercase()),
            role.as_ref().map_or("-".to_owned(), |role| role.generation.to_string()),
            (known.reached.len() + known.missed.len()).to_string(),
            join_names(&notes),
        ]);
    }
    table
}

fn list_nodes(state: &State) -> Table {
    let mut table = Table::new(&["name", "hall", "state", "revision", "address"]);
    for member in state.members() {
        let condition = match (member.live, member.node.leaving) {
            (true, _) => "live",
            (false, true) => "left",
            (false, false) => "out of reach",
        };
        table.push(vec![
            member.id.to_string(),
            member.node.hall.to_string(),
            condition.to_owned(),
            member.node.revision.to_string(),
            member.node.peer.to_string(),
        ]);
    }
    table
}

fn list_halls(state: &State) -> Table {
    let mut halls: std::collections::BTreeMap<id::Hall, (usize, usize, id::Revision)> = Default::default();
    for member in state.members() {
        let lowest = (0, 0, member.node.revision);
        let (live, known, revision) = halls.entry(member.node.hall.clone()).or_insert(lowest);
        *live += usize::from(member.live);
        *known += 1;
        *revision = (*revision).min(member.node.revision);
    }
    let mut table = Table::new(&["name", "live", "known", "lowest-revision"]);
    for (hall, (live, known, revision)) in halls {
        table.push(vec![hall.to_string(), live.to_string(), known.to_string(), revision.to_string()]);
    }
    table
}

fn apply_show_options(mut table: Table, show: &Show) -> Result<Table, OperateError> {
    let find = |table: &Table, name: &str| {
        table
            .columns
            .iter()
            .position(|column| column == name)
            .ok_or_else(|| OperateError::Column { name: name.to_owned(), known: join_names(&table.columns) })
    };
    if let Some((column, value)) = &show.filter {
        let at = find(&table, column)?;
        table.rows.retain(|row| row[at] == *value);
    }
    if let Some(column) = &show.order {
        let at = find(&table, column)?;
        table.rows.sort_by(|a, b| a[at].cmp(&b[at]));
    }
    if !show.columns.is_empty() {
        let picked: Result<Vec<usize>, _> = show.columns.iter().map(|name| find(&table, name)).collect();
        let picked = picked?;
        let pick = |row: &Vec<String>| picked.iter().map(|at| row[*at].clone()).collect();
        table = Table { columns: show.columns.clone(), rows: table.rows.iter().map(pick).collect() };
    }
    Ok(table)
}

async fn explain(state: &State, target: &Target) -> Result<Table, OperateError> {
    let config = state.config.lock().clone();
    let (key, name) = match target {
        Target::Group(group) => (config::Key::new(Kind::Group, group), group.to_string()),
        Target::Runner(runner) => (config::Key::new(Kind::Runner, runner), runner.to_string()),
    };
    let domain = match config.get(&key) {
        Some(Entry::Group { domain, .. } | Entry::Runner { domain, .. }) => domain.clone(),
        _ => return Err(OperateError::Missing(key.to_string())),
    };
    let document = load_document(state, &domain).await?;
    let mut table = Table::new(&["when", "generation", "by", "group", "what", "why", "passed over"]);
    let now = state.now();
    for event in document.events.iter().filter(|event| involves_target(event, target)) {
        let passed: Vec<String> =
            event.passed.iter().map(|passed| format!("{}: {}", passed.option, passed.reason)).collect();
        table.push(vec![
            format!("{} ago", now.since(event.at)),
            event.generation.to_string(),
            event.by.to_string(),
            event.group.to_string(),
            event.action.to_string(),
            event.cause.to_string(),
            passed.join("; "),
        ]);
    }
    let holds = state.holds.lock().get(&domain).cloned().unwrap_or_default();
    for hold in holds.iter().filter(|hold| hold.group.as_str() == name) {
        for passed in &hold.passed {
            let blank = || "-".to_owned();
            let what = format!("waits, {} is not possible", passed.option);
            table.push(vec![
                "now".to_owned(),
                blank(),
                blank(),
                name.clone(),
                what,
                passed.reason.clone(),
                blank(),
            ]);
        }
    }
    Ok(table)
}

fn involves_target(event: &Event, target: &Target) -> bool {
    use cottoncrank::domain::{Action, Cause};
    match target {
        Target::Group(group) => event.group == *group,
        Target::Runner(runner) => {
            let acted = match &event.action {
                Action::Form(members) => members.contains(runner),
                Action::Replace { out, into } => out == runner || into == runner,
                Action::Reload | Action::Drain | Action::Dissolve => false,
            };
            let caused = match &event.cause {
                Cause::Missing { runner: about, .. } | Cause::Restarted(about) | Cause::Leaving(about) => {
                    about == runner
                }
                Cause::Configured(_) | Cause::Drained => false,
            };
            acted || caused
        }
    }
}

async fn load_document(state: &State, domain: &id::Domain) -> Result<Document, OperateError> {
    if let Some(held) = state.documents.lock().get(domain) {
        return Ok(held.document.clone());
    }
    read_domain(state, domain, Purpose::Operator).await.map(|held| held.document).map_err(OperateError::Store)
}
