//! What a term does first: it writes the plans again that the store has lost.

use cottoncrank::id;
use cottoncrank_fleet::adopt::adopt;
use cottoncrank_fleet::plan::Document;

use super::{EndError, MAX_WRITES, RETRY_INTERVAL, Term, Write};
use crate::era;
use crate::plans::StoredPlan;

impl Term {
    /// Writes the plans again that the store has lost. Groups serve according to them, and their epochs
    /// are in use.
    pub(super) async fn restore_plans(&mut self) -> Result<(), EndError> {
        let mut writes = Vec::new();
        for (domain, document) in era::list_carried_plans(&self.node, self.lease_position.era()) {
            let stored = self.plans.stored.get(&domain);
            if self.plans.closed.contains(&domain)
                || stored.is_some_and(|stored| stored.document.version >= document.version)
            {
                continue;
            }
            let position = stored.and_then(|stored| stored.position);
            self.plans
                .stored
                .insert(domain.clone(), StoredPlan { position, shared: false, document: document.clone() });
            writes.push((domain, document, vec!["restored, the store had lost it".to_owned()]));
        }
        writes.extend(self.adopt_groups());
        for writes in writes.chunks(MAX_WRITES) {
            self.restore(writes).await?;
        }
        Ok(())
    }

    /// Writes plans that the store has lost, again if it refuses.
    async fn restore(&mut self, writes: &[(id::Domain, Document, Vec<String>)]) -> Result<(), EndError> {
        loop {
            self.check_lease()?;
            self.renew_lease().await?;
            self.check_duty()?;
            match self.write(writes).await? {
                Write::Done => return Ok(()),
                Write::Refused => tokio::time::sleep(RETRY_INTERVAL.duration()).await,
                // The plans held now are the older ones, which must not be planned from.
                Write::Unsure => return Err(EndError::Unrestored),
            }
        }
    }

    /// Adopts groups that serve but are in no plan, because the store has lost their plan, and returns
    /// the plans with them. A domain with a group whose members are only partly known is closed
    /// until the plans are read again.
    fn adopt_groups(&mut self) -> Vec<(id::Domain, Document, Vec<String>)> {
        let Some(catalog) = self.node.catalog.lock().clone() else { return Vec::new() };
        let adoption = adopt(&catalog.services, &self.node.roster.lock(), &self.plans.list_documents());
        for domain in &adoption.incomplete {
            log::warn!(
                "decider: {domain}: a group that is in no plan has missing members; the domain is not planned"
            );
        }
        self.plans.closed.extend(adoption.incomplete);
        let plans = adoption.plans.into_iter().filter(|(domain, _)| !self.plans.closed.contains(domain));
        let reason = || vec!["adopt serving groups, the store had lost their plan".to_owned()];
        let plans: Vec<_> = plans.map(|(domain, document)| (domain, document, reason())).collect();
        for (domain, document, _) in &plans {
            let stored = self.plans.stored.get(domain);
            let (position, version) =
                stored.map_or((None, 0), |stored| (stored.position, stored.document.version));
            let document = Document { version, ..document.clone() };
            self.plans.stored.insert(domain.clone(), StoredPlan { position, shared: false, document });
        }
        plans
    }
}
