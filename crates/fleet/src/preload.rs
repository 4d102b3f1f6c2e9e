//! Preloads the model on the host of a spare runner into its accelerator.
//!
//! A runner joins a group of the model that it served last within a fifth of a second; for a model
//! on its host it takes seven times as long. A spare runner that has never served therefore joins a
//! solo group, which never opens: it then replaces a lost member as fast as the other members
//! rejoin, and its host is free to hold another model.

use crate::catalog::Model;
use crate::issuer::Issuer;
use crate::order::Order;
use crate::runner::Epoch;
use crate::snapshot::{Draft, name_solo};

/// Orders free runners that have never served to join their solo groups.
///
/// `last_epoch` is the highest epoch issued: every group that a runner is planned for later has a
/// higher one, so this order does no harm when it is executed late.
pub(crate) fn order_preloads(models: &[Model], drafts: &[Draft], last_epoch: Epoch, issuer: &mut Issuer) {
    for runner in drafts.iter().flat_map(Draft::list_free) {
        let fresh = runner.served.is_none() && runner.membership.is_none();
        let Some(model) = models.iter().find(|model| runner.staged.contains(&model.name)) else { continue };
        let replaced = issuer.last_staged(runner).is_some_and(|asked| *asked != model.name);
        if fresh && !replaced {
            let members = vec![runner.id.clone()];
            issuer.issue(
                &runner.id,
                Order::Join(name_solo(&runner.id), last_epoch, model.name.clone(), members),
            );
        }
    }
}
