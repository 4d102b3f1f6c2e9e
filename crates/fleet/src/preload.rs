//! Bringing the model on the host of a runner that stands by into its accelerator.
//!
//! A runner joins a group of the model that it served last within a fifth of a second,
//! and one of a model on its host seven times slower. One that stands by and has never
//! served therefore joins a group of its own, which never opens: it takes a lost
//! member's place as fast as the others come back, and its host is free to hold
//! another model.

use crate::catalog::Model;
use crate::issuer::Issuer;
use crate::order::Order;
use crate::runner::Epoch;
use crate::snapshot::{Draft, name_solo};

/// Orders free runners that have never served to join their own groups.
///
/// `top` is the highest epoch given out: whatever group a runner is planned for later
/// has a higher one, so this order does no harm when it is carried out late.
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
